"""Assign endpoints to requests: the asynchronous shell around the scheduler."""

import hashlib
import random
from collections import deque
from collections.abc import Callable

import anyio
import msgspec
from msgspec.structs import replace

from burdockwall.errors import Code, RequestRefused
from burdockwall.machine import Tick
from burdockwall.process.endpoint_limits.client import EndpointLimits
from burdockwall.process.scheduling.jobs import (
    Asset,
    Cancel,
    EndProgram,
    Event,
    Finish,
    Job,
    Outcome,
    Placement,
    Reject,
    ReleaseCache,
    Result,
    Start,
    Submit,
    Target,
    TargetsInstalled,
    parse_asset,
)
from burdockwall.process.scheduling.policy import Policy
from burdockwall.process.scheduling.reports import CacheKey
from burdockwall.process.scheduling.scheduler import Scheduler
from burdockwall.process.waiters import Waiters
from burdockwall.types import (
    CallId,
    CustomerId,
    EndpointId,
    FailureDomain,
    ModelName,
    PoolName,
    ProgramId,
    RouteKind,
)
from burdockwall.version.configuration import Configuration, Endpoint, Route

REFUSED_RETRY_S = 1.0
EXPLANATIONS_LIMIT = 100
RELEASES_LIMIT = 1024
# One call asks for permits of at most this many endpoints.
MAX_PERMIT_ASKS = 3
BYTES_PER_TOKEN = 4


class DispatchRequest(msgspec.Struct, frozen=True):
    """One call that needs an endpoint; its prompt is estimated from `body_bytes`."""

    customer: CustomerId
    program: ProgramId
    route: Route
    endpoints: tuple[Endpoint, ...]
    excluded: frozenset[EndpointId] = frozenset()
    body_bytes: int = 0
    weight: float = 1.0
    cache_key: CacheKey = CacheKey("")
    model: ModelName = ModelName("")
    limited: bool = False


class Dispatch(msgspec.Struct, frozen=True):
    """A call and the endpoint assigned to it."""

    call: CallId
    endpoint: Endpoint
    key: CacheKey
    placement: Placement
    started_at: float

    def list_headers(self) -> list[tuple[bytes, bytes]]:
        """List the headers that give an engine the call's priority and cache key."""
        headers = [
            (b"priority-level", str(self.placement.level).encode()),
            (b"cache-key", self.key.encode()),
        ]
        if self.placement.cache_source is not None:
            headers.append((b"cache-source", self.placement.cache_source.encode()))
        return headers


class Explanation(msgspec.Struct, frozen=True):
    """The endpoint of a call and the reason for it, as shown to operators."""

    customer: str
    program: str
    route: str
    endpoint: str
    reason: str
    level: int
    waited_s: float
    expected_cached_tokens: int


def compute_cache_key(customer: CustomerId, program: ProgramId) -> CacheKey:
    """Compute the key under which engines cache the prefix of a history."""
    text = f"{customer}\0{program}"
    return CacheKey(hashlib.sha256(text.encode()).hexdigest()[:32])


class Dispatcher:
    """Passes requests to the scheduler and lets them wait for its decisions."""

    def __init__(
        self,
        policy: Policy,
        own_domain: FailureDomain,
        queue_limit_s: float,
        clock: Callable[[], float],
        generator: random.Random,
        endpoint_limits: EndpointLimits,
    ) -> None:
        self.endpoint_limits = endpoint_limits
        self.scheduler = Scheduler(policy, own_domain, generator)
        self.queue_limit_s = queue_limit_s
        self.clock = clock
        self.explanations: deque[Explanation] = deque(maxlen=EXPLANATIONS_LIMIT)
        self.releases: deque[ReleaseCache] = deque(maxlen=RELEASES_LIMIT)
        self.endpoints: dict[EndpointId, Endpoint] = {}
        self._leaving: frozenset[EndpointId] = frozenset()
        self._evacuated: frozenset[FailureDomain] = frozenset()
        self.pool_kinds: dict[PoolName, RouteKind] = {}
        self._targets_due = False
        self._waiters: Waiters[Placement | None] = Waiters()

    def install(self, configuration: Configuration) -> None:
        """Install the endpoints of a configuration."""
        self.pool_kinds = {pool.name: pool.kind for pool in configuration.pools}
        endpoints = {item.name: item for item in configuration.endpoints}
        if endpoints != self.endpoints:
            self.endpoints = endpoints
            self._targets_due = True
        self._install_targets()

    def set_leaving(self, leaving: frozenset[EndpointId]) -> None:
        """Give no new work to endpoints that the platform reports as leaving."""
        if leaving != self._leaving:
            self._leaving = leaving
            self._targets_due = True
        self._install_targets()

    def set_evacuated(self, domains: frozenset[FailureDomain]) -> None:
        """Send nothing to the endpoints of evacuated failure domains."""
        if domains != self._evacuated:
            self._evacuated = domains
            self._targets_due = True
        self._install_targets()

    def is_evacuated(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint's failure domain is evacuated."""
        return endpoint.failure_domain in self._evacuated

    def _install_targets(self) -> None:
        if not self._targets_due:
            return
        targets = tuple(
            _create_target(item)
            for item in self.endpoints.values()
            if item.name not in self._leaving and not self.is_evacuated(item)
        )
        self.apply(TargetsInstalled(targets))
        self._targets_due = False

    def apply(self, event: Event | Tick) -> None:
        """Pass an event to the scheduler and wake the requests that it decides on."""
        for action in self.scheduler.handle(event, self.clock()):
            match action:
                case Start(call=call, placement=placement):
                    self._waiters.complete(call, placement)
                case Reject(call=call):
                    self._waiters.complete(call, None)
                case ReleaseCache():
                    self.releases.append(action)

    async def acquire(self, request: DispatchRequest) -> Dispatch:
        """Wait for an endpoint whose rate limit allows the call.

        Raise RequestRefused if there is none in time, or at once if the rate limits of
        all endpoints are reached.
        """
        limits = self.endpoint_limits
        unpermitted: frozenset[EndpointId] = frozenset()
        while len(unpermitted) < MAX_PERMIT_ASKS:
            exhausted = {
                item.name
                for item in request.endpoints
                if limits.is_exhausted(item.name)
            }
            excluded = request.excluded | unpermitted | exhausted
            limited = excluded != request.excluded
            try:
                dispatch = await self._acquire_place(
                    replace(request, excluded=excluded, limited=limited)
                )
            except RequestRefused as error:
                if error.code is Code.NO_ENDPOINT and limited:
                    break
                raise
            if await self._acquire_permit(dispatch):
                self._explain(request, dispatch.placement)
                return dispatch
            unpermitted |= {dispatch.endpoint.name}
        retry_s = limits.get_wait_s(excluded - request.excluded)
        raise RequestRefused(Code.ENDPOINTS_LIMITED, retry_after_s=retry_s)

    async def _acquire_permit(self, dispatch: Dispatch) -> bool:
        """Return whether a placed call may be sent; withdraw it if not."""
        permitted = False
        try:
            permitted = await self.endpoint_limits.acquire(dispatch.endpoint.name)
            # The order may have come while the call waited for its permit.
            permitted = permitted and not self.is_evacuated(dispatch.endpoint)
        finally:
            if not permitted:
                self._withdraw(dispatch.call)
        return permitted

    async def _acquire_place(self, request: DispatchRequest) -> Dispatch:
        call = self._waiters.create()
        job = _create_job(call, request)
        acquired = False
        try:
            self.apply(Submit(job))
            placement = await self._waiters.wait(call, self.queue_limit_s)
            endpoint = self._find_endpoint(placement)
            acquired = True
        except TimeoutError:
            raise RequestRefused(
                Code.OVERLOADED, retry_after_s=REFUSED_RETRY_S
            ) from None
        finally:
            if not acquired:
                self._withdraw(call)
        assert placement is not None
        return Dispatch(call, endpoint, job.key, placement, self.clock())

    def _find_endpoint(self, placement: Placement | None) -> Endpoint:
        endpoint = None
        if placement is not None:
            endpoint = self.endpoints.get(placement.endpoint)
        if endpoint is None:
            raise RequestRefused(Code.NO_ENDPOINT, retry_after_s=REFUSED_RETRY_S)
        return endpoint

    def _withdraw(self, call: CallId) -> None:
        """Withdraw a call whose request has ended, whether it has started or not."""
        self.apply(Cancel(call))
        self.apply(Finish(call, Outcome(Result.CANCELLED)))

    def _explain(self, request: DispatchRequest, placement: Placement) -> None:
        explanation = Explanation(
            request.customer,
            request.program,
            request.route.name,
            placement.endpoint,
            placement.reason,
            placement.level,
            placement.waited_s,
            placement.expected_cached_tokens,
        )
        self.explanations.append(explanation)

    def release(
        self, dispatch: Dispatch, result: Result, output_tokens: int = 0
    ) -> None:
        """Report how a call ended."""
        latency_s = self.clock() - dispatch.started_at
        outcome = Outcome(result, latency_s, None, output_tokens)
        self.apply(Finish(dispatch.call, outcome))

    def end_history(self, key: CacheKey) -> None:
        """Let engines drop the cache of a history that has ended."""
        self.apply(EndProgram(ProgramId(key), (key,)))

    async def run(self, interval_s: float) -> None:
        """Send a tick to the scheduler at intervals until cancelled."""
        while True:
            self.apply(Tick())
            await anyio.sleep(interval_s)


def _qualify_program(customer: CustomerId, program: ProgramId) -> ProgramId:
    # Two customers may give their programs the same name.
    return ProgramId(f"{customer}\0{program}")


def _create_job(call: CallId, request: DispatchRequest) -> Job:
    route = request.route
    is_model = route.kind is RouteKind.MODEL
    key = request.cache_key
    if not key:
        key = compute_cache_key(request.customer, request.program)
    return Job(
        call=call,
        pool=route.pool,
        customer=request.customer,
        program=_qualify_program(request.customer, request.program),
        key=key if is_model else CacheKey(""),
        priority=route.priority,
        weight=request.weight,
        kind=route.kind,
        prompt_tokens=request.body_bytes // BYTES_PER_TOKEN if is_model else 0,
        repeatable=route.repeatable,
        excluded=request.excluded,
        limited=request.limited,
        asset=_choose_asset(request) if is_model else Asset(),
    )


def _choose_asset(request: DispatchRequest) -> Asset:
    route = request.route
    return Asset(route.model or request.model, route.adapter, route.version)


def _create_target(endpoint: Endpoint) -> Target:
    return Target(
        endpoint.name,
        endpoint.pool,
        endpoint.failure_domain,
        tuple(parse_asset(text) for text in endpoint.assets),
        endpoint.role,
        endpoint.moves_cache,
    )
