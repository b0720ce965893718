"""The work left at each endpoint, from own requests and from the endpoints' reports.

Made for 50 and more instances with less than one request each in flight at an endpoint:
nearly all that an instance knows are reports, most of them older than a second.
"""

import math

import msgspec

from burdockwall.process.scheduling.balance import ReportedLoad
from burdockwall.types import EndpointId

# What an instance knows of other instances' requests at an endpoint becomes useless
# within the time that a few requests take.
LEAST_REPORT_LIFE_S = 0.2
MOST_REPORT_LIFE_S = 5.0
# Weight of a new report in the mean over all endpoints.
MEAN_GAIN = 0.05
COST_GAIN = 0.02
# An endpoint's pace is averaged over this time, since it changes many times a second,
# and after this time without a report the usual pace is assumed.
PACE_AVERAGE_S = 0.5
PACE_LIFE_S = 5.0
# Weight of what was known of the pace a moment before a new report.
FORMER_PACE_SHARE = 0.5
PACE_LIMITS = (0.1, 100.0)
# A request that runs longer than expected still has this share of its expected cost
# left, since costs have a long tail.
OVERDUE_SHARE = 0.3
# A request that takes this many times as long as expected, and longer than this, shows
# that its endpoint may hang.
OVERDUE_FACTOR = 4.0
LEAST_OVERDUE_S = 0.1
INITIAL_COST_S = 0.1
# Even a report of this moment misses requests that are on their way.
LEAST_DEVIATION = 0.5


class SentWork(msgspec.Struct):
    """A request in flight at an endpoint, with what was expected of it."""

    cost_s: float
    started_at: float
    tokens: float = 0.0
    wait_s: float = 0.0

    def compute_left_s(self, speed: float, now: float) -> float:
        """Return the expected cost that is left, at a speed of work a second."""
        done_s = (now - self.started_at) * speed - self.wait_s
        return max(self.cost_s - done_s, OVERDUE_SHARE * self.cost_s)


class _Report(msgspec.Struct):
    """What an endpoint reported last; `others` are requests of other instances."""

    others: float
    received_at: float
    pace: float
    waiting: int

    def read_pace(self, now: float) -> float:
        """Return the pace, which becomes the usual one as the report grows old."""
        age_s = max(0.0, now - self.received_at)
        return 1.0 + (self.pace - 1.0) * math.exp(-age_s / PACE_LIFE_S)


class _Endpoint(msgspec.Struct):
    own: dict[int, SentWork] = msgspec.field(default_factory=dict)
    report: _Report | None = None


class EndpointLoad(msgspec.Struct, frozen=True):
    """The load that is expected at an endpoint; `deviation` is that of `requests`."""

    requests: float
    deviation: float
    work_s: float
    pace: float
    tokens: float


class WorkLeft:
    """Tracks the work that was sent to endpoints and not yet seen to end."""

    def __init__(self) -> None:
        self._endpoints: dict[EndpointId, _Endpoint] = {}
        # Moving averages over all endpoints: requests of others for each slot, and the
        # first two moments of a request's cost and its tokens.
        self._others_share: float | None = None
        self._cost_s = INITIAL_COST_S
        self._cost_squared = 2 * INITIAL_COST_S**2
        self._tokens = 0.0

    def record_start(self, endpoint: EndpointId, ticket: int, work: SentWork) -> None:
        """Record a request that was sent."""
        self._endpoints.setdefault(endpoint, _Endpoint()).own[ticket] = work

    def record_end(self, endpoint: EndpointId, ticket: int) -> None:
        """Record that a request is no longer in flight."""
        state = self._endpoints.get(endpoint)
        if state is not None:
            state.own.pop(ticket, None)

    def record_cost(self, cost_s: float, tokens: float) -> None:
        """Record the cost of a request that has finished."""
        self._cost_s += (cost_s - self._cost_s) * COST_GAIN
        self._cost_squared += (cost_s**2 - self._cost_squared) * COST_GAIN
        self._tokens += (tokens - self._tokens) * COST_GAIN

    def record_report(
        self, endpoint: EndpointId, load: ReportedLoad, now: float
    ) -> None:
        """Record the load that an endpoint reported."""
        state = self._endpoints.setdefault(endpoint, _Endpoint())
        others = max(0.0, load.running + load.waiting - len(state.own))
        share = others / max(1, load.slots)
        if self._others_share is None:
            self._others_share = share
        self._others_share += (share - self._others_share) * MEAN_GAIN
        pace = max(PACE_LIMITS[0], min(PACE_LIMITS[1], load.pace))
        former = state.report
        if former is not None:
            age_s = max(0.0, now - former.received_at)
            kept = math.exp(-age_s / PACE_AVERAGE_S)
            pace += (former.pace - pace) * kept * FORMER_PACE_SHARE
        state.report = _Report(others, now, pace, load.waiting)

    def _compute_residual_s(self) -> float:
        """Return the mean cost left of a running request.

        A request that is met while it runs is more often a long one.
        """
        return self._cost_squared / (2 * max(1e-9, self._cost_s))

    def is_overdue(self, endpoint: EndpointId, now: float) -> bool:
        """Return whether an own request there takes far longer than expected."""
        state = self._endpoints.get(endpoint)
        if state is None:
            return False
        return any(
            now - work.started_at
            > LEAST_OVERDUE_S + OVERDUE_FACTOR * (work.cost_s + work.wait_s)
            for work in state.own.values()
        )

    def has_waiting(self, endpoint: EndpointId) -> bool:
        """Return whether requests waited at an endpoint by its last report."""
        state = self._endpoints.get(endpoint)
        return state is None or state.report is None or state.report.waiting > 0

    def estimate(
        self, endpoint: EndpointId, slots: int, now: float, freed: bool = False
    ) -> EndpointLoad:
        """Estimate the load of an endpoint, of which a slot was `freed` lately.

        Where its last report is old or missing, the mean of the others is assumed: an
        endpoint of which nothing is known isn't free.
        """
        mean_others = (self._others_share or 0.0) * slots
        state = self._endpoints.get(endpoint)
        if state is None:
            work_s = mean_others * self._compute_residual_s()
            tokens = mean_others * self._tokens
            return EndpointLoad(
                mean_others, math.sqrt(mean_others), work_s, 1.0, tokens
            )
        others, trust, pace = mean_others, 0.0, 1.0
        report = state.report
        if report is not None:
            age_s = max(0.0, now - report.received_at)
            trust = math.exp(-age_s / self._compute_report_life_s())
            others += (report.others - mean_others) * trust
            pace = report.read_pace(now)
        own_s = own_tokens = 0.0
        if state.own:
            speed = 1.0 / pace
            for work in state.own.values():
                own_s += work.compute_left_s(speed, now)
                own_tokens += work.tokens
        deviation = math.sqrt(others * (1.0 - trust))
        if freed:
            others = max(0.0, min(others, slots - 1.0 - len(state.own)))
            deviation = 0.0
        return EndpointLoad(
            len(state.own) + others,
            deviation,
            own_s + others * self._compute_residual_s(),
            pace,
            own_tokens + others * self._tokens,
        )

    def forget_report(self, endpoint: EndpointId) -> None:
        """Forget what an endpoint reported."""
        state = self._endpoints.get(endpoint)
        if state is not None:
            state.report = None

    def get_pace(self, endpoint: EndpointId, now: float) -> float:
        """Return the expected pace of an endpoint."""
        state = self._endpoints.get(endpoint)
        if state is None or state.report is None:
            return 1.0
        return state.report.read_pace(now)

    def _compute_report_life_s(self) -> float:
        residual_s = self._compute_residual_s()
        return max(LEAST_REPORT_LIFE_S, min(MOST_REPORT_LIFE_S, residual_s))

    def retain(self, listed: set[EndpointId]) -> None:
        """Drop unlisted endpoints that have no request of this instance."""
        self._endpoints = {
            name: state
            for name, state in self._endpoints.items()
            if name in listed or state.own
        }


def compute_wait_s(
    load: EndpointLoad, slots: int, tokens: float = 0.0, memory_tokens: int = 0
) -> float:
    """Return how long a request is expected to wait at an endpoint, at the usual pace.

    Since the number of requests there is uncertain, the wait grows before it reaches
    the slots. A request of some tokens also waits until the memory has room for it.
    """
    slots = max(1, slots)
    excess = load.requests - slots + 1
    ahead = _expect_positive(excess, max(LEAST_DEVIATION, load.deviation))
    drain_s = load.work_s / max(1.0, load.requests) / slots
    wait_s = ahead * drain_s
    if memory_tokens > 0 and load.tokens > 0:
        lacking = load.tokens + tokens - memory_tokens
        if lacking > 0:
            # Memory is freed as requests end; until then one is preempted.
            part = 1.0 + min(1.0, lacking / load.tokens)
            wait_s = max(wait_s, part * load.work_s / max(1.0, load.requests))
    return wait_s


def _expect_positive(mean: float, deviation: float) -> float:
    """Return the mean of the positive part of a normal variable."""
    z = mean / deviation
    density = math.exp(-z * z / 2) / math.sqrt(2 * math.pi)
    return deviation * density + mean * 0.5 * (1 + math.erf(z / math.sqrt(2)))
