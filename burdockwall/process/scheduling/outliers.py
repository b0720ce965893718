"""Decide which endpoints are ejected, of what all instances report.

Made for endpoints that fail a part of their requests, hang, alternate between up and
down or become slow while their health is good, in numbers that no single instance can
judge. Runs at the leader of the control state, which answers each report with its
marks. An endpoint is compared with the others of its service: what all of them do alike
is the fault of requests, of load or of the network.
"""

import math
from collections.abc import Callable, Iterable
from enum import Enum

import logbook
import msgspec

from burdockwall.machine import Receive, Send, Tick
from burdockwall.process.endpoints import ListedEndpoint
from burdockwall.process.scheduling.endpoint_health import RAMP_S
from burdockwall.process.scheduling.health_reports import (
    EndpointMark,
    HealthSample,
    MarkEndpoints,
    ReportHealth,
)
from burdockwall.types import EndpointId, InstanceId, ServiceName, Term

# The weight of what was observed halves in this time.
HALF_LIFE_S = 5.0
# An endpoint with fewer failures, or a lower share of them, is not ejected. At 2
# failures in 100 by chance, 4 of 16 come less than once in 3,000 samples.
MIN_FAILURES = 4.0
MIN_FAILURE_SHARE = 0.25
# An endpoint that was ejected lately needs only this part of either: otherwise one that
# fails little more than the share would serve for long after each return.
RELAPSE_PART = 0.5
# Its share of failures must be this many times that of the service's other endpoints.
FAILURE_RATIO = 3.0
# An endpoint is slow if its times are this many times those of the others, by the mean
# of their logarithms over at least so many answers.
SLOW_RATIO = 4.0
MIN_SLOW_ANSWERS = 16.0
# The first ejection of an endpoint lasts this long; each further one twice as long.
FIRST_EJECTION_S = 5.0
EJECTION_LIMIT_S = 40.0
# After this time without an ejection the next one counts as the first.
FORGIVEN_AFTER_S = 60.0
# At most one in so many endpoints of a service is ejected or returning, but always one.
EJECTED_DIVISOR = 3
# Failures count as an endpoint's own only if two instances see them, unless there is
# one only: the path of one instance may be at fault.
MIN_ACCUSERS = 2
ACCUSERS_S = 10.0
JUDGE_INTERVAL_S = 0.5
_logger = logbook.Logger("endpoints")


class Reason(Enum):
    """Why an endpoint is ejected."""

    FAILURES = "failures"
    SLOW = "slow"


class _Tally(msgspec.Struct):
    """Decayed counts of what was observed at one endpoint or several."""

    answered: float = 0.0
    failed: float = 0.0
    log_time: float = 0.0

    @property
    def failure_share(self) -> float:
        total = self.answered + self.failed
        return self.failed / total if total else 0.0

    @property
    def mean_log_time(self) -> float:
        return self.log_time / self.answered if self.answered else 0.0

    def decay(self, factor: float) -> None:
        self.answered *= factor
        self.failed *= factor
        self.log_time *= factor

    def add(self, other: "_Tally | HealthSample", sign: int = 1) -> None:
        self.answered += sign * other.answered
        self.failed += sign * other.failed
        self.log_time += sign * other.log_time


class _Record(msgspec.Struct):
    """What is known of one endpoint.

    `accuser` and `other_accuser` are the latest two instances that saw failures.
    """

    tally: _Tally
    updated_at: float
    started_ms: int | None = None
    accuser: tuple[InstanceId, float] | None = None
    other_accuser: tuple[InstanceId, float] | None = None
    ejections: int = 0
    returns_at: float = -math.inf

    def decay(self, now: float) -> None:
        self.tally.decay(0.5 ** ((now - self.updated_at) / HALF_LIFE_S))
        self.updated_at = now

    def accuse(self, sender: InstanceId, now: float) -> None:
        if self.accuser is not None and self.accuser[0] != sender:
            self.other_accuser = self.accuser
        self.accuser = (sender, now)

    def count_accusers(self, now: float) -> int:
        known = (self.accuser, self.other_accuser)
        return sum(each is not None and now - each[1] <= ACCUSERS_S for each in known)

    def is_marked(self, now: float) -> bool:
        return now < self.returns_at + RAMP_S

    def has_relapsed(self, now: float) -> bool:
        return now - self.returns_at <= FORGIVEN_AFTER_S


class OutlierDetector:
    """The ejected endpoints of all services while this instance leads a term.

    `get_term` returns the term that this instance leads, or None.
    """

    def __init__(self, get_term: Callable[[], Term | None]) -> None:
        self.get_term = get_term
        self.term: Term | None = None
        self._services: dict[ServiceName, list[EndpointId]] = {}
        self._service_of: dict[EndpointId, ServiceName] = {}
        self._records: dict[EndpointId, _Record] = {}
        self._reporters: dict[InstanceId, float] = {}
        # The services with new reports, and the marked endpoints with their returns.
        self._unjudged: set[ServiceName] = set()
        self._judge_at = 0.0
        self._marked: dict[EndpointId, float] = {}

    def install(self, endpoints: Iterable[ListedEndpoint], now: float) -> None:
        """Use the endpoints of the latest list.

        One that has started anew is judged anew; if it was ejected, it returns now.
        """
        services: dict[ServiceName, list[EndpointId]] = {}
        records = {}
        for endpoint in endpoints:
            if not endpoint.leaving:
                services.setdefault(endpoint.service, []).append(endpoint.name)
            record = self._records.get(endpoint.name)
            if record is None or record.started_ms != endpoint.started_ms:
                returns_at = -math.inf if record is None else record.returns_at
                record = _Record(_Tally(), now, endpoint.started_ms)
                record.returns_at = min(now, returns_at)
            records[endpoint.name] = record
        self._records = records
        self._services = services
        self._service_of = {
            name: service for service, names in services.items() for name in names
        }

    def count_ejected(self, now: float) -> int:
        """Count the endpoints that are ejected."""
        return sum(returns_at > now for returns_at in self._marked.values())

    def handle(self, event: Tick | Receive, now: float) -> list[Send]:
        """Handle an event and return the marks to send."""
        term = self.get_term()
        if term != self.term:
            self.term = term
            self._records = {}
            self._reporters = {}
            self._marked = {}
        match event:
            case Tick() if now >= self._judge_at:
                self._judge_at = now + JUDGE_INTERVAL_S
                self._judge_all(now)
                return []
            case Receive(sender=sender, message=ReportHealth() as report):
                return self._handle_report(sender, report, now)
            case _:
                return []

    def _handle_report(
        self, sender: InstanceId, report: ReportHealth, now: float
    ) -> list[Send]:
        if self.term is None:
            return []
        self._reporters[sender] = now
        for sample in report.samples:
            record = self._records.get(sample.endpoint)
            if record is None:
                continue
            record.decay(now)
            record.tally.add(sample)
            if sample.failed:
                record.accuse(sender, now)
            if sample.endpoint in self._service_of:
                self._unjudged.add(self._service_of[sample.endpoint])
        marks = [
            EndpointMark(name, returns_at - now)
            for name, returns_at in self._marked.items()
        ]
        return [Send(sender, MarkEndpoints(self.term, report.incarnation, marks))]

    def _judge_all(self, now: float) -> None:
        self._reporters = {
            name: at for name, at in self._reporters.items() if now - at <= ACCUSERS_S
        }
        for service in sorted(self._unjudged):
            if service in self._services:
                self._judge(service, now)
        self._unjudged.clear()
        self._marked = {
            name: record.returns_at
            for name, record in self._records.items()
            if record.is_marked(now)
        }

    def _judge(self, service: ServiceName, now: float) -> None:
        """Eject the worst endpoints of a service, as far as its others remain."""
        names = [name for name in self._services[service] if name in self._records]
        total = _Tally()
        for name in names:
            record = self._records[name]
            record.decay(now)
            total.add(record.tally)
        marked = sum(self._records[name].is_marked(now) for name in names)
        allowed = max(1, len(names) // EJECTED_DIVISOR) if len(names) > 1 else 0
        suspects = sorted(
            names,
            key=lambda name: (-self._records[name].tally.failure_share, name),
        )
        for name in suspects:
            record = self._records[name]
            if marked >= allowed and not record.is_marked(now):
                continue
            reason = self._find_reason(record, total, now)
            if reason is not None:
                marked += not record.is_marked(now)
                total.add(record.tally, -1)
                self._eject(name, record, reason, now)

    def _find_reason(self, record: _Record, total: _Tally, now: float) -> Reason | None:
        if record.returns_at > now:
            return None
        own = record.tally
        others = _Tally(total.answered, total.failed, total.log_time)
        others.add(own, -1)
        if others.answered < 1.0:
            return None
        needed = min(MIN_ACCUSERS, len(self._reporters))
        part = RELAPSE_PART if record.has_relapsed(now) else 1.0
        limit = max(part * MIN_FAILURE_SHARE, FAILURE_RATIO * others.failure_share)
        if own.failed >= part * MIN_FAILURES and own.failure_share >= limit:
            return Reason.FAILURES if record.count_accusers(now) >= needed else None
        slower = own.mean_log_time - others.mean_log_time
        enough = min(own.answered, others.answered) >= MIN_SLOW_ANSWERS
        return Reason.SLOW if enough and slower >= math.log(SLOW_RATIO) else None

    def _eject(
        self, name: EndpointId, record: _Record, reason: Reason, now: float
    ) -> None:
        if not record.has_relapsed(now):
            record.ejections = 0
        lasts_s = min(EJECTION_LIMIT_S, FIRST_EJECTION_S * 2**record.ejections)
        extra = {
            "endpoint": name,
            "reason": reason.value,
            "failure_share": round(record.tally.failure_share, 3),
            "slower": round(math.exp(record.tally.mean_log_time), 2),
            "ejected_s": lasts_s,
        }
        _logger.notice("endpoint ejected", extra=extra)
        record.ejections += 1
        record.returns_at = now + lasts_s
        # The endpoint is judged anew by what it does after its return.
        record.tally = _Tally()
