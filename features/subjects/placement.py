"""A placement planner with endpoints that load assets at the weight store's rate."""

from burdockwall.machine import Tick
from burdockwall.process.scheduling.jobs import Asset
from burdockwall.process.scheduling.placement import (
    AssetSize,
    LoadOrder,
    ObserveDemand,
    ObserveEndpoint,
    OrderKind,
    PlacementPolicy,
    create_planner,
)
from burdockwall.types import EndpointId, FencingNumber, ModelName

WEIGHT_BYTES = 30e9
TRANSFER_S = 30.0


class PlacementSubject:
    """Endpoints that carry out the planner's orders, with counts of the changes."""

    def __init__(self, count: int, model: str, **changes) -> None:
        policy = PlacementPolicy(**changes)
        sizes = tuple(AssetSize(self.get_asset(name), WEIGHT_BYTES) for name in "ab")
        self.planner = create_planner(policy, sizes, FencingNumber(0))
        self.now = 0.0
        self.loaded = {
            EndpointId(f"e{number}"): {self.get_asset(model)} for number in range(count)
        }
        self.pending_loads: list[tuple[float, LoadOrder]] = []
        self.loads: list[float] = []
        self.numbers: list[int] = []
        self.report()

    def get_asset(self, name: str) -> Asset:
        return Asset(ModelName(name))

    def report(self) -> None:
        for endpoint, assets in self.loaded.items():
            event = ObserveEndpoint(endpoint, tuple(sorted(assets, key=str)))
            self.planner.handle(event, self.now)

    def step(self, demand: dict[str, float]) -> None:
        self.now += 1.0
        for name, work_s in demand.items():
            event = ObserveDemand(self.get_asset(name), work_s)
            self.planner.handle(event, self.now)
        for order in self.planner.handle(Tick(), self.now):
            self.numbers.append(order.number)
            if order.kind is OrderKind.UNLOAD:
                self.loaded[order.endpoint].discard(order.asset)
            else:
                self.loads.append(self.now)
                self.pending_loads.append((self.now + TRANSFER_S, order))
        for loaded_at, order in [
            item for item in self.pending_loads if item[0] <= self.now
        ]:
            self.pending_loads.remove((loaded_at, order))
            if order.endpoint in self.loaded:
                self.loaded[order.endpoint].add(order.asset)
        self.report()

    def run(self, demand: dict[str, float], seconds: int) -> None:
        for _ in range(seconds):
            self.step(demand)

    def swing(self, seconds: int) -> None:
        for number in range(seconds):
            sign = 1 if number // 120 % 2 else -1
            self.step({"a": 5.0 * (1 + 0.25 * sign), "b": 5.0 * (1 - 0.25 * sign)})

    def list_holders(self, name: str) -> list[EndpointId]:
        asset = self.get_asset(name)
        return [endpoint for endpoint, assets in self.loaded.items() if asset in assets]

    def lose(self, name: str) -> None:
        endpoint = self.list_holders(name)[0]
        del self.loaded[endpoint]
        self.planner.handle(ObserveEndpoint(endpoint, gone=True), self.now)
