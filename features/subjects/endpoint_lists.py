"""Lists of endpoints, published to instances of two builds over a faulty network."""

from burdockwall.connection.message_queue import measure_bytes
from burdockwall.fakes.network import FakeNetwork, NetworkConditions
from burdockwall.machine import Send
from burdockwall.process.endpoints import (
    AskEndpoints,
    EndpointChanges,
    EndpointFollower,
    EndpointList,
    EndpointPublisher,
    ListedEndpoint,
    ListFollower,
    PublishEndpoints,
)
from burdockwall.types import (
    Address,
    EndpointId,
    FailureDomain,
    Incarnation,
    InstanceId,
    ServiceName,
    Term,
)

PUBLISH_INTERVAL_S = 0.1
FAULT_INTERVAL_S = 2.0
START_S = 3.0


class CountingNetwork(FakeNetwork):
    """A network that counts the bytes sent to each instance."""

    def __init__(self, seed: int, conditions: NetworkConditions) -> None:
        super().__init__(seed, conditions)
        self.bytes_to: dict[InstanceId, int] = {}

    def send(self, sender: InstanceId, action: Send) -> None:
        size = measure_bytes(action.message)
        self.bytes_to[action.to] = self.bytes_to.get(action.to, 0) + size
        super().send(sender, action)


class EndpointLists:
    """Two control instances, one of them leading, and instances that follow its list.

    Of the instances, those with odd numbers read no changes if `mixed` is set.
    """

    def __init__(self, seed: int, endpoints: int, mixed: bool = False) -> None:
        self.network = CountingNetwork(seed, NetworkConditions())
        self.random = self.network.random
        self.control = [InstanceId(f"control-{n}") for n in range(2)]
        self.entries = [InstanceId(f"entry-{n}") for n in range(12)]
        self.reading = frozenset(self.entries[::2] if mixed else self.entries)
        self.term, self.leader = Term(1), self.control[0]
        self.publishers: dict[InstanceId, EndpointPublisher] = {}
        self.followers: dict[InstanceId, EndpointFollower] = {}
        self.incarnations = dict.fromkeys(self.entries, 1)
        self.added = 0
        self.listed: dict[EndpointId, ListedEndpoint] = {}
        for _ in range(endpoints):
            self._add_endpoint()
        for instance in self.control:
            publisher = self.publishers[instance] = EndpointPublisher()
            self.network.start(instance, [(publisher, (AskEndpoints,))])
        for instance in self.entries:
            self._start(instance)
        self._publish()
        self.run(START_S)

    def run(self, seconds: float) -> None:
        self.network.run_until(self.network.now + seconds)

    def _add_endpoint(self) -> None:
        self.added += 1
        name = EndpointId(f"endpoint-{self.random.randrange(10**6):06}-{self.added}")
        self.listed[name] = ListedEndpoint(
            name,
            ServiceName(f"service-{self.added % 3}"),
            Address(f"10.0.{self.added // 250}.{self.added % 250}:80"),
            FailureDomain("a"),
            8,
            started_ms=self.added,
        )

    def _start(self, instance: InstanceId) -> None:
        follower = self.followers[instance] = EndpointFollower()
        kinds = (EndpointList, EndpointChanges)
        if instance not in self.reading:
            kinds = (EndpointList,)
        self.network.start(instance, [(follower, kinds)])

    def _publish(self) -> None:
        followers = [
            ListFollower(instance, Incarnation(self.incarnations[instance]))
            for instance in self.entries
        ]
        event = PublishEndpoints(
            self.term,
            sorted(self.listed.values(), key=lambda endpoint: endpoint.name),
            followers,
            read_changes=self.reading,
        )
        self.network.apply(self.leader, self.publishers[self.leader], event)
        self.network.schedule(PUBLISH_INTERVAL_S, self._publish)

    def change_one(self) -> None:
        """Add, remove or mark an endpoint."""
        match self.random.randrange(3):
            case 0:
                self._add_endpoint()
            case 1:
                del self.listed[self.random.choice(list(self.listed))]
            case _:
                name = self.random.choice(list(self.listed))
                was = self.listed[name]
                self.listed[name] = ListedEndpoint(
                    was.name,
                    was.service,
                    was.address,
                    was.failure_domain,
                    was.slots,
                    not was.leaving,
                )

    def measure_bytes_per_s(self, seconds: float, interval_s: float | None) -> float:
        """Return what an instance is sent each second, with changes at intervals."""
        before = dict(self.network.bytes_to)
        until = self.network.now + seconds
        while self.network.now < until:
            self.run(interval_s or seconds)
            if interval_s is not None:
                self.change_one()
        most = max(
            self.network.bytes_to[instance] - before[instance]
            for instance in self.entries
        )
        return most / seconds

    def run_faults(self, count: int) -> None:
        for _ in range(count):
            self._fail()
            for _ in range(self.random.randrange(1, 6)):
                self.change_one()
                self.run(self.random.uniform(0.0, FAULT_INTERVAL_S / 5))
        self.network.conditions = NetworkConditions()
        self.network.heal()

    def _fail(self) -> None:
        self.network.heal()
        match self.random.randrange(4):
            case 0:
                self.leader = self.random.choice(self.control)
                self.term = Term(self.term + 1)
            case 1:
                instance = self.random.choice(self.entries)
                self.incarnations[instance] += 1
                self._start(instance)
            case 2:
                self.network.isolate(self.random.choice(self.entries))
            case _:
                self.network.conditions = NetworkConditions(
                    loss_probability=0.3, late_probability=0.3, late_max_s=0.4
                )

    def list_different(self) -> list[InstanceId]:
        """List the instances whose list is not the leader's."""
        latest = sorted(self.listed.values(), key=lambda endpoint: endpoint.name)
        return [
            instance
            for instance in self.entries
            if self.followers[instance].listed != latest
        ]
