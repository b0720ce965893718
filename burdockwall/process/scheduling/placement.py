"""Decide which endpoint loads which model, adapter and version.

The planner runs on the instance that sends the orders. It follows demand with a
decaying sum, changes each endpoint at most once per `hold_s`, and loads one asset at a
time, since all loads share the rate of the weight store.
"""

from enum import Enum

import msgspec

from burdockwall.machine import Tick
from burdockwall.process.scheduling.jobs import Asset
from burdockwall.types import EndpointId, FencingNumber

NEGLIGIBLE_DEMAND_S = 1e-9


class OrderKind(Enum):
    """The kind of an order to an endpoint."""

    LOAD = "load"
    UNLOAD = "unload"


class LoadOrder(msgspec.Struct, frozen=True):
    """An order to load or unload an asset; one with a higher number replaces it."""

    endpoint: EndpointId
    kind: OrderKind
    asset: Asset
    number: FencingNumber


class PlacementPolicy(msgspec.Struct, frozen=True):
    """The parameters of placement; times in seconds, sizes in bytes.

    An endpoint whose `slots` are all loaded is changed only if the new asset has no
    copy yet, or if its demand per copy is over `gain_ratio` times the demand per copy
    that the unloaded asset would have.
    """

    slots: int = 1
    store_bytes_per_s: float = 1e9
    hold_s: float = 120.0
    half_life_s: float = 60.0
    gain_ratio: float = 1.5
    least_copies: int = 2


class AssetSize(msgspec.Struct, frozen=True):
    """The size of an asset's weights in bytes."""

    asset: Asset
    weight_bytes: float


class ObserveDemand(msgspec.Struct, frozen=True):
    """Reports the demand for an asset since the last report, in engine seconds."""

    asset: Asset
    work_s: float


class ObserveEndpoint(msgspec.Struct, frozen=True):
    """Reports which assets an endpoint has loaded, or that it is gone."""

    endpoint: EndpointId
    loaded: tuple[Asset, ...] = ()
    gone: bool = False


class _EndpointAssets(msgspec.Struct):
    """The assets loaded or being loaded by an endpoint, and its last change."""

    loaded: tuple[Asset, ...]
    changed_at: float = float("-inf")
    loading: Asset | None = None


class PlacementPlanner(msgspec.Struct):
    """Plans changes one at a time, within the rate of the weight store."""

    policy: PlacementPolicy
    sizes: dict[Asset, float]
    endpoints: dict[EndpointId, _EndpointAssets] = msgspec.field(default_factory=dict)
    demand_s: dict[Asset, float] = msgspec.field(default_factory=dict)
    store_free_at: float = 0.0
    last_number: int = 0
    _decayed_at: float = 0.0

    def handle(
        self, event: ObserveDemand | ObserveEndpoint | Tick, now: float
    ) -> list[LoadOrder]:
        """Handle an event and return the orders to send."""
        match event:
            case ObserveDemand(asset=asset, work_s=work_s):
                self._decay_demand(now)
                self.demand_s[asset] = self.demand_s.get(asset, 0.0) + work_s
            case ObserveEndpoint():
                self._observe(event)
            case Tick():
                self._decay_demand(now)
                return self._plan(now)
        return []

    def _observe(self, event: ObserveEndpoint) -> None:
        if event.gone:
            self.endpoints.pop(event.endpoint, None)
            return
        hosted = self.endpoints.setdefault(
            event.endpoint, _EndpointAssets(event.loaded)
        )
        hosted.loaded = event.loaded
        if hosted.loading in event.loaded:
            hosted.loading = None

    def _decay_demand(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._decayed_at)
        self._decayed_at = max(self._decayed_at, now)
        factor = 0.5 ** (elapsed_s / self.policy.half_life_s)
        for asset in self.demand_s:
            self.demand_s[asset] *= factor

    def _plan(self, now: float) -> list[LoadOrder]:
        if now < self.store_free_at:
            return []
        wanted = self._choose_asset()
        if wanted is None:
            return []
        endpoint = self._choose_endpoint(wanted, now)
        return [] if endpoint is None else self._order(endpoint, wanted, now)

    def _count_copies(self, asset: Asset) -> int:
        return sum(
            asset in hosted.loaded or hosted.loading == asset
            for hosted in self.endpoints.values()
        )

    def _compute_need(self, asset: Asset) -> float:
        """Return the demand per copy; infinite for a wanted asset without a copy."""
        demand = self.demand_s.get(asset, 0.0)
        copies = self._count_copies(asset)
        return demand / copies if copies else float("inf") if demand > 0 else 0.0

    def _choose_asset(self) -> Asset | None:
        ranked = sorted(
            (
                asset
                for asset in self.sizes
                if self.demand_s.get(asset, 0.0) > NEGLIGIBLE_DEMAND_S
            ),
            key=lambda asset: (-self._compute_need(asset), _get_sort_key(asset)),
        )
        return ranked[0] if ranked else None

    def _choose_endpoint(self, wanted: Asset, now: float) -> EndpointId | None:
        best: tuple[float, EndpointId] | None = None
        for name in sorted(self.endpoints):
            hosted = self.endpoints[name]
            if wanted in hosted.loaded or hosted.loading is not None:
                continue
            if now - hosted.changed_at < self.policy.hold_s:
                continue
            loss = self._compute_loss(hosted)
            if best is None or loss < best[0]:
                best = (loss, name)
        if best is None or not self._is_worthwhile(wanted, best[0]):
            return None
        return best[1]

    def _compute_loss(self, hosted: _EndpointAssets) -> float:
        """Return the demand per remaining copy if the endpoint's victim is unloaded."""
        if len(hosted.loaded) < self.policy.slots:
            return 0.0
        victim = self._choose_victim(hosted)
        demand = self.demand_s.get(victim, 0.0)
        remaining = self._count_copies(victim) - 1
        if demand <= NEGLIGIBLE_DEMAND_S:
            return 0.0
        return demand / remaining if remaining else float("inf")

    def _choose_victim(self, hosted: _EndpointAssets) -> Asset:
        return min(
            hosted.loaded,
            key=lambda asset: (self._compute_need(asset), _get_sort_key(asset)),
        )

    def _is_worthwhile(self, wanted: Asset, loss: float) -> bool:
        """Return whether a change gains enough.

        The only copy of an asset in demand is never unloaded.
        """
        copies = self._count_copies(wanted)
        if loss == float("inf"):
            return False
        if copies == 0:
            return True
        after = self.demand_s[wanted] / (copies + 1)
        if loss == 0.0:
            return copies < self.policy.least_copies or after > NEGLIGIBLE_DEMAND_S
        return self._compute_need(wanted) > self.policy.gain_ratio * loss

    def _order(
        self, endpoint: EndpointId, wanted: Asset, now: float
    ) -> list[LoadOrder]:
        hosted = self.endpoints[endpoint]
        orders = []
        if len(hosted.loaded) >= self.policy.slots:
            victim = self._choose_victim(hosted)
            orders.append(self._create_order(endpoint, OrderKind.UNLOAD, victim))
            remaining = tuple(asset for asset in hosted.loaded if asset != victim)
            hosted.loaded = remaining
        orders.append(self._create_order(endpoint, OrderKind.LOAD, wanted))
        hosted.loading = wanted
        hosted.changed_at = now
        transfer_s = self.sizes[wanted] / self.policy.store_bytes_per_s
        self.store_free_at = now + transfer_s
        return orders

    def _create_order(
        self, endpoint: EndpointId, kind: OrderKind, asset: Asset
    ) -> LoadOrder:
        self.last_number += 1
        return LoadOrder(endpoint, kind, asset, FencingNumber(self.last_number))


def create_planner(
    policy: PlacementPolicy, sizes: tuple[AssetSize, ...], last_number: FencingNumber
) -> PlacementPlanner:
    """Create a planner whose first order has the number after `last_number`."""
    table = {size.asset: size.weight_bytes for size in sizes}
    return PlacementPlanner(policy, table, last_number=last_number)


def _get_sort_key(asset: Asset) -> tuple[str, str, str]:
    return (asset.model, asset.adapter, asset.version)
