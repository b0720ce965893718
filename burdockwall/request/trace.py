"""The record of one request for its log line and metrics."""

import msgspec

MS_PER_S = 1000
MS_DECIMALS = 1


class RequestTrace(msgspec.Struct):
    """The details and times of one request; times are seconds of the process's clock.

    `begun_at` is when the stores had reserved the turn, if the request has one, and the
    wait for the customer's rate began, for a request of the kind `rate_kind`.
    `admitted_at` is when the rate admitted the request, `sent_at` when it was last sent
    to an endpoint, and `answered_at` when the answer was complete and its turn was to
    be stored. `software` is the version of the endpoint's software. A request that
    takes up a stream has `resumed_from`, the request that began it, and `last_event`,
    the last event that the caller received. `rate_limit_per_s` is the request rate that
    the answer of the endpoint named. `fingerprint` is set if an endpoint broke the
    answer off, as hexadecimal digits.
    `extra_answers` counts answers to other requests that the endpoint sent first.
    `placement` is why the endpoint was chosen, and `expected_ms` the time that the
    request was expected to take there; both are empty where counts decide.
    """

    request: str
    started_at: float
    customer: str = ""
    program: str = ""
    route: str = ""
    endpoint: str = ""
    first_byte_at: float | None = None
    code: int = 0
    status: int = 0
    configuration: int = 0
    begun_at: float | None = None
    sent_at: float | None = None
    answered_at: float | None = None
    failures: list[str] = msgspec.field(default_factory=list)
    detail: str = ""
    admitted_at: float | None = None
    admission: str = ""
    rate_kind: str = ""
    software: str = ""
    resumed_from: str = ""
    last_event: str = ""
    rate_limit_per_s: float | None = None
    fingerprint: str = ""
    placement: str = ""
    expected_ms: float | None = None
    extra_answers: int = 0

    def describe(self, now: float) -> dict[str, object]:
        """Return the fields of the request's log line.

        Times are milliseconds since the start of the request.
        """
        return {
            "request": self.request,
            "customer": self.customer,
            "program": self.program,
            "route": self.route,
            "endpoint": self.endpoint,
            "software": self.software,
            "rate_limit_per_s": self.rate_limit_per_s,
            "resumed_from": self.resumed_from,
            "last_event": self.last_event,
            "configuration": self.configuration,
            "code": self.code,
            "status": self.status,
            "detail": self.detail,
            "failures": "; ".join(self.failures),
            "fingerprint": self.fingerprint,
            "extra_answers": self.extra_answers,
            "placement": self.placement,
            "expected_ms": self.expected_ms,
            "admission": self.admission,
            "rate_kind": self.rate_kind,
            "admitted_ms": self._measure_ms(self.admitted_at),
            "begun_ms": self._measure_ms(self.begun_at),
            "sent_ms": self._measure_ms(self.sent_at),
            "first_byte_ms": self._measure_ms(self.first_byte_at),
            "answered_ms": self._measure_ms(self.answered_at),
            "total_ms": self._measure_ms(now),
        }

    def _measure_ms(self, at: float | None) -> float | None:
        if at is None:
            return None
        return round((at - self.started_at) * MS_PER_S, MS_DECIMALS)
