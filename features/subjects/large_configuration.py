"""Changes of a large configuration in a fleet whose entry instances have thin links."""

from enum import Enum
from typing import Any

from burdockwall.fakes.control import FakeSource
from burdockwall.fakes.thin_fleet import WARM_UP_S, ThinFleet
from burdockwall.machine import Message
from burdockwall.process.membership.agent import Agent
from burdockwall.process.membership.lag import LagsChanged
from burdockwall.process.membership.messages import (
    AskDocument,
    ChangesOutline,
    GiveDocument,
    InstanceDetails,
    OutlineReceived,
    SnapshotOutline,
)
from burdockwall.process.membership.publisher import Publisher
from burdockwall.process.membership.registrar import Registrar
from burdockwall.types import InstanceId

SETTLE_S = 12.0
OUTLINE_MESSAGES = (
    ChangesOutline,
    SnapshotOutline,
    OutlineReceived,
    AskDocument,
    GiveDocument,
)


class LargeConfiguration(ThinFleet):
    """A fleet that has started; `numbers` are the configurations put since."""

    def __init__(self, seed: int, entries: int, routes: int = 40) -> None:
        super().__init__(seed, entries, routes)
        self.numbers: list[int] = []
        self.cut: list[InstanceId] = []
        self.lags: list[LagsChanged] = []
        self.run(WARM_UP_S)
        self.lags.clear()
        assert len(self.list_relays()) == -(-entries // max(20, int(entries**0.5) + 1))

    def perform(self, instance: InstanceId, action: Any, now: float) -> None:
        if isinstance(action, LagsChanged):
            self.lags.append(action)
        super().perform(instance, action, now)

    def add_routes(self, count: int) -> None:
        self.table.add_routes(count)
        self.numbers.append(self.put_configuration())

    def change_routes(self, count: int, interval_s: float) -> None:
        for _ in range(count):
            self.run(interval_s)
            self.table.change_route()
            self.numbers.append(self.put_configuration())

    def settle(self) -> None:
        self.run(SETTLE_S)

    def list_slowest_s(self) -> list[float]:
        return [round(self.find_slowest_s(number), 3) for number in self.numbers]

    def cut_off(self, instances: list[InstanceId]) -> None:
        """Let instances stand still, to all others."""
        for instance in instances:
            self.network.isolate(instance)
            self.cut.append(instance)

    def start_again(self, within_s: float) -> None:
        self.numbers = [self.table.number]
        self.restart_entries(within_s)

    def list_late(self, limit_s: float) -> list[InstanceId]:
        """List the instances not cut off that had a configuration late."""
        return [
            instance
            for instance in self.entries
            for number in self.numbers
            if instance not in self.cut
            and self.delays_s.get(number, {}).get(instance, float("inf")) > limit_s
        ]

    def measure_relay(self, count: int, interval_s: float) -> int:
        """Return the bytes that the busiest relay sends during some changes."""
        before = dict(self.network.sent_bytes)
        self.change_routes(count, interval_s)
        self.run(interval_s)
        return self.count_relay_bytes(before)


class EarlierAgent(Agent):
    """An agent of a build that knows only whole documents."""

    reads_outlines = False

    def __init__(self, details: InstanceDetails, control: list[InstanceId]) -> None:
        super().__init__(details, control)
        self.publisher = EarlierPublisher(self.replica, self.member_list)


class EarlierPublisher(Publisher):
    """A publisher of such a build."""

    def _build_state_update(self, progress, now):
        return self._build_whole(progress.state, now)


class EarlierRegistrar(Registrar):
    """A registrar of such a build."""

    def _create_publisher(self) -> Publisher:
        return EarlierPublisher(self.source, self.member_list)


class Builds(Enum):
    """Which instances run the earlier build."""

    LEADER = "the leader"
    CONTROL = "all control instances but the leader"
    HALF_OF_ENTRIES = "every second entry instance"
    ENTRIES = "all entry instances"


class MixedFleet(LargeConfiguration):
    """A fleet in which some instances run a build that knows only whole documents."""

    def __init__(self, seed: int, entries: int, builds: Builds) -> None:
        self.builds = builds
        super().__init__(seed, entries)

    def is_earlier(self, instance: InstanceId) -> bool:
        match self.builds:
            case Builds.LEADER:
                return instance == self.control[0]
            case Builds.CONTROL:
                return instance in self.control[1:]
            case Builds.HALF_OF_ENTRIES:
                return instance in self.entries[::2]
            case Builds.ENTRIES:
                return instance in self.entries

    def create_agent(self, details: InstanceDetails) -> Agent:
        if self.is_earlier(details.instance):
            return EarlierAgent(details, self.control)
        return super().create_agent(details)

    def list_messages(self, instance: InstanceId) -> tuple[type[Message], ...]:
        messages = super().list_messages(instance)
        if not self.is_earlier(instance):
            return messages
        return tuple(item for item in messages if item not in OUTLINE_MESSAGES)

    def create_registrar(self, instance: InstanceId) -> Registrar:
        if not self.is_earlier(instance):
            return super().create_registrar(instance)
        source = FakeSource(instance, self.log)
        member_list = self.agents[instance].member_list
        return EarlierRegistrar(instance, source, member_list, plans_shards=False)
