"""Describe recent placements and the scheduler's estimate of each endpoint."""

import msgspec

from burdockwall.process.scheduling.dispatcher import Dispatcher, Explanation
from burdockwall.types import EndpointId


class EndpointStatus(msgspec.Struct, frozen=True):
    """One endpoint as this instance sees it; loads are in calls."""

    endpoint: str
    pool: str
    health: str
    running: int
    queued: int
    others: float
    allowed: int
    capacity: int
    slowness: float


class PlacementPage(msgspec.Struct, frozen=True):
    """The endpoints and the latest placements, the newest last."""

    endpoints: list[EndpointStatus]
    placements: list[Explanation]


def describe_placements(dispatcher: Dispatcher) -> PlacementPage:
    """Describe every endpoint and the latest placements."""
    names = sorted(dispatcher.scheduler.router.targets)
    endpoints = [_describe_endpoint(dispatcher, name) for name in names]
    return PlacementPage(endpoints, list(dispatcher.explanations))


def _describe_endpoint(dispatcher: Dispatcher, name: EndpointId) -> EndpointStatus:
    router = dispatcher.scheduler.router
    pool = router.targets[name].pool
    ejector = router.pools[pool].ejector
    load = router.loads[name]
    return EndpointStatus(
        endpoint=name,
        pool=pool,
        health=ejector.records[name].health.value,
        running=load.running,
        queued=load.queued,
        others=round(load.others, 1),
        allowed=load.allowed,
        capacity=load.capacity,
        slowness=round(ejector.compute_slowness(name, dispatcher.clock()), 2),
    )
