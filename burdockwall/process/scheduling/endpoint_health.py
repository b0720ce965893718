"""Know which endpoints serve badly, of what all instances together have seen.

Made for endpoints that fail a part of their requests, hang, alternate between up and
down or become slow while their health is good. Each instance sees too few requests to
tell; it reports them to the leader, whose marks it follows (outliers.py). A failure
counts only once this instance has heard from some endpoint since, so that one that is
cut off itself accuses none.
"""

import math
from collections.abc import Callable

import logbook
import msgspec

from burdockwall.machine import Receive, Send, Tick
from burdockwall.process.scheduling.health_reports import (
    HealthSample,
    MarkEndpoints,
    ReportHealth,
)
from burdockwall.types import EndpointId, Incarnation, InstanceId, RouteName

REPORT_INTERVAL_S = 1.0
# A report has at most this many endpoints; the others follow in the next one.
MAX_SAMPLES = 64
# A failure without any contact since is dropped after this time.
PENDING_LIMIT_S = 5.0
# A request that ran out of time counts as unanswered if its endpoint was silent for
# this long; a shorter silence says more about the caller's deadline.
SILENCE_S = 0.5
# After its ejection an endpoint gets a share of its requests that grows from
# RAMP_START to 1 within RAMP_S.
RAMP_S = 5.0
RAMP_START = 0.1
# Weight of a new time in the usual one of its route.
ROUTE_GAIN = 0.05
MIN_TIME_S = 0.001
_logger = logbook.Logger("endpoints")


def compute_ramp(returned_s: float) -> float:
    """Return the weight of an endpoint that returned so many seconds ago."""
    if returned_s < 0:
        return 0.0
    return min(1.0, RAMP_START + (1.0 - RAMP_START) * returned_s / RAMP_S)


class _Counts(msgspec.Struct):
    answered: int = 0
    failed: int = 0
    log_time: float = 0.0


class EndpointHealth:
    """What one instance has seen of endpoints, and the leader's marks.

    `get_contact` returns when this instance last heard from any endpoint.
    """

    def __init__(
        self,
        incarnation: Incarnation,
        get_contact: Callable[[], float],
        speaks: Callable[[InstanceId], bool],
    ) -> None:
        self.incarnation = incarnation
        self.get_contact = get_contact
        self.speaks = speaks
        self._leader: InstanceId | None = None
        self._counts: dict[EndpointId, _Counts] = {}
        self._pending: list[tuple[float, EndpointId]] = []
        self._route_times: dict[RouteName, float] = {}
        self._returns_at: dict[EndpointId, float] = {}
        self._report_at = 0.0

    def install_leader(self, leader: InstanceId | None) -> None:
        """Report to this leader from now on."""
        self._leader = leader

    # What requests observe.

    def record_answered(
        self, endpoint: EndpointId, route: RouteName, elapsed_s: float
    ) -> None:
        """Record an answer whose head came after `elapsed_s`."""
        log_time = math.log(max(MIN_TIME_S, elapsed_s))
        usual = self._route_times.setdefault(route, log_time)
        self._route_times[route] = usual + (log_time - usual) * ROUTE_GAIN
        counts = self._counts.setdefault(endpoint, _Counts())
        counts.answered += 1
        counts.log_time += log_time - usual

    def record_failed(self, endpoint: EndpointId, now: float) -> None:
        """Record that an endpoint failed a request or did not answer it."""
        self._pending.append((now, endpoint))

    def forget_failures(self) -> None:
        """Drop the failures not reported yet, since this instance was cut off."""
        self._pending = []
        for counts in self._counts.values():
            counts.failed = 0

    def drop_unconfigured(self, routes: set[RouteName]) -> None:
        """Drop the usual times of all routes but these."""
        self._route_times = {
            name: usual for name, usual in self._route_times.items() if name in routes
        }

    # What the leader decides.

    def get_weight(self, endpoint: EndpointId, now: float) -> float:
        """Return the share of its usual requests that an endpoint gets, 0 to 1."""
        returns_at = self._returns_at.get(endpoint)
        return 1.0 if returns_at is None else compute_ramp(now - returns_at)

    def count_ejected(self, now: float) -> int:
        """Count the endpoints that are ejected."""
        return sum(returns_at > now for returns_at in self._returns_at.values())

    def handle(self, event: Tick | Receive, now: float) -> list[Send]:
        """Handle an event and return the reports to send."""
        match event:
            case Tick() if now >= self._report_at:
                self._report_at = now + REPORT_INTERVAL_S
                return self._report(now)
            case Receive(message=MarkEndpoints() as message):
                if message.incarnation == self.incarnation:
                    self._install_marks(message, now)
            case _:
                pass
        return []

    def _install_marks(self, message: MarkEndpoints, now: float) -> None:
        """Use the marks; those of an earlier leader run out on their own."""
        for mark in message.marks:
            if mark.returns_s > 0 and self.get_weight(mark.endpoint, now) > 0:
                extra = {"endpoint": mark.endpoint, "returns_s": mark.returns_s}
                _logger.notice("endpoint avoided for its failures", extra=extra)
            self._returns_at[mark.endpoint] = now + mark.returns_s

    def _count_pending(self, now: float) -> None:
        contact_at = self.get_contact()
        waiting = []
        for failed_at, endpoint in self._pending:
            if contact_at >= failed_at:
                self._counts.setdefault(endpoint, _Counts()).failed += 1
            elif now - failed_at < PENDING_LIMIT_S:
                waiting.append((failed_at, endpoint))
        self._pending = waiting

    def _report(self, now: float) -> list[Send]:
        self._returns_at = {
            name: returns_at
            for name, returns_at in self._returns_at.items()
            if now < returns_at + RAMP_S
        }
        self._count_pending(now)
        if self._leader is None or not self.speaks(self._leader):
            self._counts = {}
            return []
        samples = []
        for name in list(self._counts)[:MAX_SAMPLES]:
            counts = self._counts.pop(name)
            sample = HealthSample(name, counts.answered, counts.failed, counts.log_time)
            samples.append(sample)
        return [Send(self._leader, ReportHealth(self.incarnation, samples))]
