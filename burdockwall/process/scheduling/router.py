"""The choice of a job's endpoint by prefix affinity, load, health and distance."""

import random

import msgspec

from burdockwall.process.scheduling.affinity import PrefixTable
from burdockwall.process.scheduling.health import Ejector
from burdockwall.process.scheduling.jobs import Asset, Job, Target
from burdockwall.process.scheduling.load import LoadEstimate
from burdockwall.process.scheduling.policy import Policy, Routing
from burdockwall.process.scheduling.ring import Ring
from burdockwall.types import (
    EndpointId,
    EndpointRole,
    FailureDomain,
    PoolName,
    RouteKind,
)

# Endpoints considered for a job besides those with its prefix: the first ones after its
# key on the ring, and random ones of the own failure domain and of the whole pool.
HOMES = 2
RANDOM_CANDIDATES = 2
SERVICE_TIME_GAIN = 0.1
INITIAL_SERVICE_S = 0.02


class AssetGroup(msgspec.Struct):
    """The endpoints of a pool that serve one asset."""

    endpoints: list[EndpointId]
    in_own_domain: list[EndpointId]
    ring: Ring
    next_index: int = 0


class PoolState(msgspec.Struct):
    """The endpoints of a pool, their health and the pool's mean service time."""

    targets: dict[EndpointId, Target]
    ejector: Ejector
    groups: dict[Asset, AssetGroup] = msgspec.field(default_factory=dict)
    service_s: float = INITIAL_SERVICE_S


class Choice(msgspec.Struct, frozen=True):
    """The endpoint chosen for a job, the reason and the expected cost in seconds.

    `moved_tokens` are tokens of the prefix to import from `cache_source`.
    """

    endpoint: EndpointId
    reason: str
    cost_s: float = 0.0
    cached_tokens: int = 0
    cache_source: EndpointId | None = None
    moved_tokens: int = 0


class Router:
    """Chooses the endpoint of each job.

    With affinity routing it compares only a few candidates, so that the cost of a
    choice does not grow with the pool.
    """

    def __init__(
        self, policy: Policy, own_domain: FailureDomain, generator: random.Random
    ) -> None:
        self.policy = policy
        self.own_domain = own_domain
        self.generator = generator
        self.prefixes = PrefixTable(policy)
        self.loads: dict[EndpointId, LoadEstimate] = {}
        self.pools: dict[PoolName, PoolState] = {}
        self.targets: dict[EndpointId, Target] = {}

    def install(self, targets: tuple[Target, ...]) -> None:
        """Replace the list of endpoints; those that stay keep their load and health."""
        self.targets = {target.endpoint: target for target in targets}
        by_pool: dict[PoolName, dict[EndpointId, Target]] = {}
        for target in targets:
            by_pool.setdefault(target.pool, {})[target.endpoint] = target
        self.pools = {
            pool: self._install_pool(pool, members) for pool, members in by_pool.items()
        }
        # The load of a removed endpoint is retained while its calls run, so that they
        # still count if the endpoint is listed again.
        still_running = {
            name: load for name, load in self.loads.items() if load.running
        }
        self.loads = still_running | {
            name: self.loads.get(name) or LoadEstimate(self.policy)
            for name in self.targets
        }

    def _install_pool(
        self, pool: PoolName, members: dict[EndpointId, Target]
    ) -> PoolState:
        former = self.pools.get(pool)
        if former is not None and former.targets == members:
            return former
        ejector = former.ejector if former is not None else Ejector(self.policy)
        ejector.install(list(members))
        return PoolState(members, ejector)

    def choose(self, job: Job, now: float) -> Choice | None:
        """Return the choice for a job, or None if no endpoint can take it."""
        pool = self.pools.get(job.pool)
        if pool is None:
            return None
        group = self._get_group(pool, job.asset)
        choice: Choice | None = None
        match self.policy.routing:
            case Routing.ROUND_ROBIN:
                choice = self._choose_round_robin(job, pool, group, now)
            case Routing.LEAST_OUTSTANDING:
                choice = self._choose_least_outstanding(job, pool, group, now)
            case Routing.AFFINITY:
                choice = self._choose_cheapest(job, pool, group, now)
        if choice is None and not job.limited:
            return self._choose_ejected(job, group)
        return choice

    def _get_group(self, pool: PoolState, asset: Asset) -> AssetGroup:
        group = pool.groups.get(asset)
        if group is None:
            serving = [
                target
                for target in pool.targets.values()
                if _serves_asset(target, asset)
            ]
            names = sorted(target.endpoint for target in serving)
            in_own_domain = sorted(
                target.endpoint
                for target in serving
                if target.failure_domain == self.own_domain
            )
            group = pool.groups[asset] = AssetGroup(names, in_own_domain, Ring(names))
        return group

    def _choose_round_robin(
        self, job: Job, pool: PoolState, group: AssetGroup, now: float
    ) -> Choice | None:
        for _ in range(len(group.endpoints)):
            endpoint = group.endpoints[group.next_index % len(group.endpoints)]
            group.next_index += 1
            if endpoint not in job.excluded and pool.ejector.admits(endpoint, now):
                return Choice(endpoint, "round robin")
        return None

    def _choose_ejected(self, job: Job, group: AssetGroup) -> Choice | None:
        """Choose an ejected endpoint at random if no other can take the job."""
        usable = [name for name in group.endpoints if name not in job.excluded]
        if not usable:
            return None
        return Choice(self.generator.choice(usable), "every endpoint is ejected")

    def _choose_least_outstanding(
        self, job: Job, pool: PoolState, group: AssetGroup, now: float
    ) -> Choice | None:
        best: Choice | None = None
        for endpoint in group.endpoints:
            if endpoint in job.excluded or not pool.ejector.admits(endpoint, now):
                continue
            load = self.loads[endpoint]
            cost = load.running + load.queued + self.generator.random()
            if best is None or cost < best.cost_s:
                best = Choice(endpoint, "least outstanding", cost)
        return best

    def _choose_cheapest(
        self, job: Job, pool: PoolState, group: AssetGroup, now: float
    ) -> Choice | None:
        copies = dict(self.prefixes.list_copies(job.key, now)) if job.key else {}
        best: Choice | None = None
        for endpoint, reason in self._list_candidates(job, group, copies).items():
            if endpoint in job.excluded or endpoint not in pool.targets:
                continue
            if not pool.ejector.admits(endpoint, now):
                continue
            choice = self._estimate(job, pool, endpoint, copies, reason, now)
            if best is None or choice.cost_s < best.cost_s:
                best = choice
        # All candidates may be ejected while other endpoints of the pool are healthy.
        return best or self._choose_round_robin(job, pool, group, now)

    def _list_candidates(
        self, job: Job, group: AssetGroup, copies: dict[EndpointId, int]
    ) -> dict[EndpointId, str]:
        candidates = {
            endpoint: f"holds {tokens} tokens of the prefix"
            for endpoint, tokens in copies.items()
            if _serves_asset(self.targets.get(endpoint), job.asset)
        }
        if job.key:
            for endpoint in group.ring.list_homes(job.key, HOMES):
                candidates.setdefault(endpoint, "home of the history")
        for names in (group.in_own_domain, group.endpoints):
            for _ in range(min(RANDOM_CANDIDATES, len(names))):
                candidates.setdefault(self.generator.choice(names), "less loaded")
        return candidates

    def _estimate(
        self,
        job: Job,
        pool: PoolState,
        endpoint: EndpointId,
        copies: dict[EndpointId, int],
        reason: str,
        now: float,
    ) -> Choice:
        load = self.loads[endpoint]
        cached = min(copies.get(endpoint, 0), job.prompt_tokens)
        moved, source = self._find_cache_source(job, pool, endpoint, copies, cached)
        computed = job.prompt_tokens - cached - moved
        cost = computed * self.policy.prefill_token_s
        cost += moved * self.policy.move_token_s
        if job.kind is RouteKind.SERVICE:
            busy = load.count_calls() / max(1, load.capacity)
            cost += pool.service_s * (1.0 + busy)
        else:
            cost += load.count_calls() * self.policy.load_call_s
            cost += self.policy.load_call_s
        cost *= pool.ejector.compute_slowness(endpoint, now)
        if pool.targets[endpoint].failure_domain != self.own_domain:
            cost += self.policy.far_s
        return Choice(endpoint, reason, cost, cached, source, moved)

    def _find_cache_source(
        self,
        job: Job,
        pool: PoolState,
        endpoint: EndpointId,
        copies: dict[EndpointId, int],
        cached: int,
    ) -> tuple[int, EndpointId | None]:
        if not copies or not pool.targets[endpoint].moves_cache:
            return 0, None
        best, source = 0, None
        for other, tokens in copies.items():
            target = pool.targets.get(other)
            if other == endpoint or target is None or not target.moves_cache:
                continue
            gained = min(tokens, job.prompt_tokens) - cached
            if gained > best:
                best, source = gained, other
        if self.policy.move_token_s >= self.policy.prefill_token_s:
            return 0, None
        return best, source

    def record_service_time(self, pool: PoolName, latency_s: float) -> None:
        """Update the mean service time of a pool of plain services."""
        state = self.pools.get(pool)
        if state is not None:
            state.service_s += (latency_s - state.service_s) * SERVICE_TIME_GAIN


def _serves_asset(target: Target | None, asset: Asset) -> bool:
    if target is None or target.role is EndpointRole.DECODE:
        return False
    if not target.assets:
        return True
    return any(asset.matches(loaded) for loaded in target.assets)
