"""Choose the endpoint of a request by the time that it is expected to take there.

Made for 50 and more instances whose reports are old on arrival, for requests that cost
1 to 30 times as much as each other, and for 2,200 endpoints: a choice compares only a
few candidates, and what isn't known of an endpoint is assumed to be as at the others.
"""

import itertools
import random
from collections.abc import Callable, Iterable, Set

from burdockwall.connection.round_trips import RoundTrips
from burdockwall.process.endpoints import ListedEndpoint
from burdockwall.process.scheduling.affinity import PrefixTable
from burdockwall.process.scheduling.balance import Balancer, ReportedLoad
from burdockwall.process.scheduling.cost_estimate import CostEstimator
from burdockwall.process.scheduling.endpoint_health import EndpointHealth
from burdockwall.process.scheduling.freed_slots import FreedSlots
from burdockwall.process.scheduling.home import HomeFinder
from burdockwall.process.scheduling.policy import Policy, create_policy
from burdockwall.process.scheduling.reports import CacheKey
from burdockwall.process.scheduling.request_size import RequestSize
from burdockwall.process.scheduling.request_work import ExpectedTime, RequestWork
from burdockwall.process.scheduling.slowdown import Slowdown
from burdockwall.process.scheduling.work_left import (
    SentWork,
    WorkLeft,
    compute_wait_s,
)
from burdockwall.settings import Settings
from burdockwall.types import Address, EndpointId, FailureDomain

# The value of the setting that places requests by work left.
BY_WORK = "work"
# Random candidates of a choice, from all endpoints and from the own domain. More of
# them did not shorten waits where reports are old (docs/design/placement.md).
RANDOM_CANDIDATES = 1
NEAR_CANDIDATES = 1
# More are compared if a request is expected to wait at the best of them for longer than
# it runs. At shorter waits, more candidates let instances with the same old report fill
# one endpoint.
MORE_CANDIDATES = 3
# Draws for each of them, since some find endpoints that may not be used.
DRAWS = 4
# Of a service with at most this many endpoints, all are compared.
FEW_ENDPOINTS = 8
# An engine in another failure domain must be better by this share of the cost, since
# the bytes of prompts between domains are expensive.
FAR_SHARE = 0.05
# Plain services' endpoints whose expected times differ by less than this, or by this
# share of the cost, are equal, and one is drawn: instances with the same reports or in
# the same failure domain must not all choose one endpoint.
TIE_S = 0.002
TIE_SHARE = 0.05
# Why an endpoint is compared, for the log.
HOLDS_PREFIX = "holds the prefix"
FREED = "freed a slot"
LESS_LOADED = "less loaded"
# Time in which a connection is opened within a region.
CONNECT_S = 0.002
# The part of an earlier turn's prompt that is expected to be cached at the endpoint of
# its program, where nothing is known for certain.
HOME_CACHED_SHARE = 0.7
# What a plain service's answer is expected to gain where its object was handled before,
# as a share of its cost.
HOME_GAIN = 0.35
# The least part of an answer's time that counts as its cost, however long the wait that
# was expected.
LEAST_COST_SHARE = 0.2
LEAST_WEIGHT = 0.01
ERROR_GAIN = 0.02

# The total time of a request at an endpoint in seconds, and its parts.
Compared = tuple[float, ListedEndpoint, ExpectedTime]


class WorkBalancer(Balancer):
    """Chooses the endpoint with the least expected time among a few candidates."""

    def __init__(
        self,
        own_domain: FailureDomain,
        generator: random.Random,
        is_connected: Callable[[Address], bool],
        policy: Policy,
        health: EndpointHealth | None = None,
        round_trips: RoundTrips | None = None,
    ) -> None:
        super().__init__(own_domain, generator, is_connected, health)
        self.policy = policy
        self.round_trips = round_trips or RoundTrips()
        self.costs = CostEstimator(policy)
        self.work_left = WorkLeft()
        self.prefixes = PrefixTable(policy)
        self.homes = HomeFinder()
        self.freed = FreedSlots()
        # Of the logarithms of costs, for the metrics.
        self.mean_error = 0.0
        # By whether the request runs on an engine.
        self._slowdowns = {True: Slowdown(), False: Slowdown()}
        self._tickets = itertools.count(1)

    def choose(
        self,
        endpoints: Iterable[ListedEndpoint],
        affinity: str,
        now: float,
        excluded: Set[EndpointId] = frozenset(),
        work: RequestWork | None = None,
    ) -> ListedEndpoint | None:
        """Return the endpoint for a request, or None if there is none."""
        if work is None:
            return super().choose(endpoints, affinity, now, excluded)

        def is_usable(endpoint: ListedEndpoint) -> bool:
            return endpoint.name not in excluded and self.weigh(endpoint, now) > 0

        listed = list(endpoints)
        home = self.homes.find(listed, affinity, is_usable) if affinity else None
        copies = self._count_cached(work.size, now)
        freed = self.freed.list_endpoints(now)
        candidates = self._list_candidates(listed, home, copies, freed, is_usable)
        is_few = len(listed) <= FEW_ENDPOINTS
        if not candidates:
            usable = [item for item in listed if item.name not in excluded]
            healthy = [item for item in usable if is_usable(item)]
            candidates = [(item, "few are left") for item in healthy or usable]
        best = self._find_cheapest(candidates, work, home, copies, is_few, now)
        expected = work.expected
        if expected is not None and expected.wait_s > expected.cost_s:
            drawn = self._draw(listed, MORE_CANDIDATES, False, is_usable)
            candidates += [(item, "others would make it wait") for item in drawn]
            best = self._find_cheapest(candidates, work, home, copies, is_few, now)
        return best

    def _find_cheapest(
        self,
        candidates: list[tuple[ListedEndpoint, str]],
        work: RequestWork,
        home: ListedEndpoint | None,
        copies: dict[EndpointId, float],
        is_few: bool,
        now: float,
    ) -> ListedEndpoint | None:
        compared: list[Compared] = []
        for endpoint, reason in candidates:
            expected = self._expect(work, endpoint, home, copies, reason, now)
            total_s = self._compute_total_s(work.size, endpoint, home, expected, now)
            compared.append((total_s, endpoint, expected))
        if not compared:
            return None
        least_s, best, work.expected = min(compared, key=lambda item: item[0])
        if not work.size.on_engine:
            limit_s = least_s + max(TIE_S, TIE_SHARE * work.expected.cost_s)
            equal = [item for item in compared if item[0] <= limit_s]
            _, best, work.expected = self._draw_equal(equal, is_few, now)
        return best

    def _draw_equal(self, equal: list[Compared], is_few: bool, now: float) -> Compared:
        """Draw one of the endpoints that are expected to take the same time."""
        if is_few:
            # Each of a few gets a large share, and one that hangs looks free.
            hung = self.work_left.is_overdue
            equal = [item for item in equal if not hung(item[1].name, now)] or equal
        # Where nobody waits, freed slots would keep shares as they are by chance.
        equal = [item for item in equal if item[2].reason != FREED] or equal
        return equal[int(self.generator.random() * len(equal))]

    def _list_candidates(
        self,
        listed: list[ListedEndpoint],
        home: ListedEndpoint | None,
        copies: dict[EndpointId, float],
        freed: set[EndpointId],
        is_usable: Callable[[ListedEndpoint], bool],
    ) -> list[tuple[ListedEndpoint, str]]:
        found: dict[EndpointId, tuple[ListedEndpoint, str]] = {}
        if home is not None:
            found[home.name] = (home, "endpoint of the program")
        if len(listed) <= FEW_ENDPOINTS:
            for item in listed:
                if is_usable(item):
                    reason = HOLDS_PREFIX if item.name in copies else LESS_LOADED
                    found.setdefault(item.name, (item, reason))
            return list(found.values())
        if copies or freed:
            for item in listed:
                if item.name in copies and is_usable(item):
                    found.setdefault(item.name, (item, HOLDS_PREFIX))
                elif item.name in freed and is_usable(item):
                    found.setdefault(item.name, (item, FREED))
        for near, count in ((False, RANDOM_CANDIDATES), (True, NEAR_CANDIDATES)):
            for endpoint in self._draw(listed, count, near, is_usable):
                found.setdefault(endpoint.name, (endpoint, LESS_LOADED))
        return list(found.values())

    def _draw(
        self,
        listed: list[ListedEndpoint],
        count: int,
        near: bool,
        is_usable: Callable[[ListedEndpoint], bool],
    ) -> list[ListedEndpoint]:
        """Draw up to `count` random endpoints, `near` ones of the own domain only."""
        drawn: list[ListedEndpoint] = []
        for _ in range(count * DRAWS if listed else 0):
            endpoint = listed[int(self.generator.random() * len(listed))]
            if near and endpoint.failure_domain != self.own_domain:
                continue
            if endpoint not in drawn and is_usable(endpoint):
                drawn.append(endpoint)
                if len(drawn) == count:
                    break
        return drawn

    def _count_cached(self, size: RequestSize, now: float) -> dict[EndpointId, float]:
        """Return the tokens of the prompt that endpoints are known to have cached."""
        cached: dict[EndpointId, float] = {}
        for part in size.parts:
            for endpoint, tokens in self.prefixes.list_copies(part.key, now):
                known = cached.get(endpoint, 0.0) + min(tokens, part.tokens)
                cached[endpoint] = min(size.prompt_tokens, known)
        key = _get_program_key(size)
        if key is not None and size.continues:
            for endpoint, tokens in self.prefixes.list_copies(key, now):
                known = min(size.prompt_tokens, float(tokens))
                cached[endpoint] = max(cached.get(endpoint, 0.0), known)
        return cached

    def _expect(
        self,
        work: RequestWork,
        endpoint: ListedEndpoint,
        home: ListedEndpoint | None,
        copies: dict[EndpointId, float],
        reason: str,
        now: float,
    ) -> ExpectedTime:
        size = work.size
        cached = copies.get(endpoint.name, 0.0)
        if endpoint is home and size.continues:
            # Other instances have probably sent the earlier turns there.
            cached = max(cached, HOME_CACHED_SHARE * size.count_earlier_tokens())
        freed = endpoint.name in self.freed.list_endpoints(now)
        load = self.work_left.estimate(endpoint.name, endpoint.slots, now, freed)
        return ExpectedTime(
            endpoint.name,
            reason,
            self.costs.estimate(size, now, cached).mean_s,
            compute_wait_s(load, endpoint.slots, size.tokens, work.memory_tokens),
            load.pace,
            load.requests / max(1, endpoint.slots),
            cached,
        )

    def _compute_total_s(
        self,
        size: RequestSize,
        endpoint: ListedEndpoint,
        home: ListedEndpoint | None,
        expected: ExpectedTime,
        now: float,
    ) -> float:
        """Return the expected time in seconds, and what speaks against an endpoint."""
        slowed = self._slowdowns[size.on_engine].compute(expected.occupancy)
        total_s = (expected.cost_s * slowed + expected.wait_s) * expected.pace
        total_s /= max(LEAST_WEIGHT, self.weigh(endpoint, now))
        total_s += self._compute_distance_s(size, endpoint, expected)
        if not self.is_connected(endpoint.address):
            total_s += CONNECT_S
        if size.on_engine:
            total_s += self._compute_delay_s(size, endpoint, expected)
        if endpoint is home:
            total_s -= self._compute_home_gain_s(size, endpoint, expected)
        return total_s

    def _compute_delay_s(
        self, size: RequestSize, endpoint: ListedEndpoint, expected: ExpectedTime
    ) -> float:
        """Return by how much a prompt that is read delays those that run there."""
        others = min(1.0, expected.occupancy) * endpoint.slots
        read = max(0.0, size.prompt_tokens - expected.cached_tokens)
        return read * self.costs.rates.read_token_s * others

    def _compute_distance_s(
        self, size: RequestSize, endpoint: ListedEndpoint, expected: ExpectedTime
    ) -> float:
        """Return the time that the way to an endpoint costs, and its bytes."""
        is_far = endpoint.failure_domain != self.own_domain
        distance_s = self.round_trips.get(endpoint.address)
        if distance_s is None:
            distance_s = self.policy.far_s if is_far else 0.0
        if is_far and size.on_engine:
            distance_s += FAR_SHARE * expected.cost_s
        return distance_s

    def _compute_home_gain_s(
        self, size: RequestSize, endpoint: ListedEndpoint, expected: ExpectedTime
    ) -> float:
        """Return the time that later requests gain where this one goes to its home."""
        if not size.on_engine:
            return HOME_GAIN * expected.cost_s
        read = max(0.0, size.prompt_tokens - expected.cached_tokens)
        read_s = read * self.costs.rates.read_token_s
        delay_s = self._compute_delay_s(size, endpoint, expected)
        return HOME_CACHED_SHARE * (read_s + delay_s)

    # What is observed.

    def record_work_start(
        self, endpoint: EndpointId, work: RequestWork, now: float
    ) -> None:
        """Count a request that was sent, and its expected cost."""
        super().record_work_start(endpoint, work, now)
        self.freed.use(endpoint)
        if work.expected is None or work.expected.endpoint != endpoint:
            return
        work.ticket = next(self._tickets)
        work.started_at = now
        work.completed = False
        sent = SentWork(
            work.expected.cost_s, now, work.size.tokens, work.expected.wait_s
        )
        self.work_left.record_start(endpoint, work.ticket, sent)

    def record_work_end(
        self, endpoint: EndpointId, work: RequestWork, now: float
    ) -> None:
        """Count a request that has ended, and learn from it if it was completed."""
        super().record_work_end(endpoint, work, now)
        if not work.ticket:
            return
        self.work_left.record_end(endpoint, work.ticket)
        if work.completed and not self.work_left.has_waiting(endpoint):
            self.freed.add(endpoint, now)
        work.ticket = 0
        if work.completed and work.expected is not None:
            self._learn(endpoint, work.size, work.expected, now - work.started_at, now)

    def _learn(
        self,
        endpoint: EndpointId,
        size: RequestSize,
        expected: ExpectedTime,
        elapsed_s: float,
        now: float,
    ) -> None:
        pace = (expected.pace + self.work_left.get_pace(endpoint, now)) / 2
        usual_s = elapsed_s / pace
        run_s = max(usual_s - expected.wait_s, LEAST_COST_SHARE * usual_s)
        slowdown = self._slowdowns[size.on_engine]
        cost_s = run_s / slowdown.compute(expected.occupancy)
        error = self.costs.record(size, cost_s, expected.cached_tokens, now)
        slowdown.learn(expected.occupancy, error)
        self.mean_error += (abs(error) - self.mean_error) * ERROR_GAIN
        self.work_left.record_cost(cost_s, size.tokens)
        for part in size.parts:
            self.prefixes.record(part.key, endpoint, part.tokens, now)
        key = _get_program_key(size)
        if key is not None:
            self.prefixes.record(key, endpoint, int(size.tokens), now)

    def record_report(
        self, endpoint: EndpointId, report: ReportedLoad, now: float
    ) -> None:
        """Record the load that an endpoint reported with its answer."""
        super().record_report(endpoint, report, now)
        self.work_left.record_report(endpoint, report, now)

    def record_failure(self, endpoint: EndpointId, now: float) -> bool:
        """Count a failure; return whether the endpoint is avoided from now on.

        An endpoint that started again has neither its load nor its cached prefixes.
        """
        self.work_left.forget_report(endpoint)
        self.prefixes.distrust_endpoint(endpoint, now)
        return super().record_failure(endpoint, now)

    def list_gauges(self) -> list[tuple[str, Callable[[], float]]]:
        """List the gauges of the choice of endpoints."""
        return [("cost_estimate_error", lambda: self.mean_error)]

    def drop_unlisted(self, listed: set[EndpointId]) -> None:
        """Drop the state of unlisted endpoints with no request of this instance."""
        super().drop_unlisted(listed)
        self.work_left.retain(listed)
        self.homes.retain(listed)


def _get_program_key(size: RequestSize) -> CacheKey | None:
    if not size.on_engine or not size.program:
        return None
    return CacheKey(f"program {size.program}")


def create_balancer(
    settings: Settings,
    generator: random.Random,
    is_connected: Callable[[Address], bool],
    health: EndpointHealth | None = None,
    round_trips: RoundTrips | None = None,
) -> Balancer:
    """Create the balancer that the settings ask for."""
    domain = settings.failure_domain
    if settings.schedule_placement == BY_WORK:
        policy = create_policy(settings)
        return WorkBalancer(
            domain, generator, is_connected, policy, health, round_trips
        )
    return Balancer(domain, generator, is_connected, health)
