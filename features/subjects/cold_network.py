"""Instances on virtual time that share an endpoint which restarts cold."""

import bisect
import random
from dataclasses import dataclass, field

from burdockwall.fakes.network import FakeNetwork
from burdockwall.process.cold_endpoints.leader import LeaderColdEndpoints
from burdockwall.process.cold_endpoints.view import ColdView
from burdockwall.process.endpoint_limits.holder import (
    Ask,
    Decided,
    OwnerInstalled,
    PermitHolder,
    Suspect,
)
from burdockwall.process.endpoint_limits.messages import AskPermits, GrantPermits
from burdockwall.process.endpoint_limits.owner import PermitOwner
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
from burdockwall.process.membership.missed_updates import VersionNamed
from burdockwall.types import (
    Address,
    CallId,
    EndpointId,
    FailureDomain,
    Incarnation,
    InstanceId,
    ServiceName,
    Term,
)
from burdockwall.version.deployment import ColdRule

NAME, SERVICE = EndpointId("endpoint"), ServiceName("engines")
DOMAIN = FailureDomain("a")
RULE = ColdRule(start_s=6.0, per_s=4.0)
RULES = {SERVICE: RULE}
BOUND = 1.5 * RULE.per_s + 5
LAG_S = 0.8
DOWN_S = 0.4
WORK_S = 0.5
ELECTION_S = 1.0
CONNECT_S = 0.002


@dataclass(slots=True)
class RestartingEndpoint:
    """An endpoint that is cold for a time after each start."""

    started_at: float = -1000.0
    up: bool = True
    starts: list[float] = field(default_factory=lambda: [-1000.0])
    arrivals: list[float] = field(default_factory=list)
    cold_arrivals: list[float] = field(default_factory=list)

    def get_left_s(self, at: float) -> float:
        """Return how long the endpoint stayed cold at a time."""
        started_at = max(start for start in self.starts if start <= at)
        return max(0.0, started_at + RULE.start_s - at)

    def count_fullest_second(self) -> int:
        """Return the most requests of any second while the endpoint was cold."""
        times = self.cold_arrivals
        return max(
            (bisect.bisect_left(times, at + 1) - n for n, at in enumerate(times)),
            default=0,
        )


class ColdNetwork:
    """Entry instances, and control instances of which one leads."""

    def __init__(self, seed: int, instances: int) -> None:
        self.random = random.Random(seed)
        self.network = FakeNetwork(seed, perform=self._perform)
        self.entries = [InstanceId(f"entry-{n}") for n in range(instances)]
        self.control = [InstanceId(f"control-{n}") for n in range(3)]
        self.endpoint = RestartingEndpoint()
        self.term = Term(1)
        self.leader = self.control[0]
        self.ended: float | None = None
        self.evacuated = False
        self.refused = 0
        self.checks = 0
        self.holders: dict[InstanceId, PermitHolder] = {}
        self.leaders: dict[InstanceId, LeaderColdEndpoints] = {}
        self.publishers: dict[InstanceId, EndpointPublisher] = {}
        self._lists: dict[InstanceId, list[ListedEndpoint]] = {}
        self._calls: dict[CallId, InstanceId] = {}
        self._in_flight: dict[CallId, InstanceId] = {}
        for instance in self.control:
            self._start_control(instance)
        for number, instance in enumerate(self.entries):
            self._start_entry(instance, number)
        self._read_list(self.leader)

    def _start_control(self, instance: InstanceId) -> None:
        def get_term() -> Term | None:
            return self.term if self.leader == instance else None

        cold = LeaderColdEndpoints(
            lambda: self.network.now, get_term, LAG_S, lambda: self.network.now
        )
        cold.judge.install_rules(RULES)
        cold.list_evacuation_ends = lambda: {DOMAIN: self.ended} if self.ended else {}
        self.leaders[instance] = cold
        self.publishers[instance] = EndpointPublisher()
        owner = PermitOwner(get_term, cold)
        machines = [
            (owner, (AskPermits,)),
            (self.publishers[instance], (AskEndpoints,)),
        ]
        self.network.start(instance, machines, 0.05)
        self._work(instance)

    def _start_entry(self, instance: InstanceId, number: int) -> None:
        follower = EndpointFollower()
        view = ColdView(follower, lambda domain: self.ended)
        view.install_rules(RULES)
        holder = self.holders[instance] = PermitHolder(Incarnation(number), view)
        lists = (EndpointList, EndpointChanges)
        machines = [(follower, lists), (holder, (GrantPermits, AskPermits))]
        self.network.start(instance, machines, 0.05)
        self._install_owner(instance)

    def _install_owner(self, instance: InstanceId) -> None:
        count = len(self.entries)
        peers = tuple(item for item in self.entries if item != instance)
        event = OwnerInstalled(self.leader, self.term, count, count, peers)
        self.network.apply(instance, self.holders[instance], event)

    # The leader.

    def _read_list(self, instance: InstanceId) -> None:
        if self.leader != instance:
            return
        seen_at = self.network.now - LAG_S
        started_at = max(start for start in self.endpoint.starts if start <= seen_at)
        listed = ListedEndpoint(
            NAME,
            SERVICE,
            Address("127.0.0.1:1"),
            DOMAIN,
            8,
            started_ms=int(started_at * 1000),
            cold_left_s=self.endpoint.get_left_s(seen_at),
        )
        cold = self.leaders[instance]
        self._lists[instance] = cold.record_list([listed], self.network.now)
        self.network.schedule(1.0, lambda: self._read_list(instance))

    def _work(self, instance: InstanceId) -> None:
        """Publish the list and make health requests, as a leader does."""
        self.network.schedule(0.1, lambda: self._work(instance))
        cold, now = self.leaders[instance], self.network.now
        if self.leader != instance or instance not in self._lists:
            return
        followers = [ListFollower(item, Incarnation(0)) for item in self.entries]
        marked = cold.mark(self._lists[instance])
        event = PublishEndpoints(
            self.term,
            marked,
            followers,
            cold.judge.ended,
            # The others run an earlier build.
            read_changes=frozenset(self.entries[::2]),
        )
        self.network.apply(instance, self.publishers[instance], event)
        for endpoint in cold.judge.start_checks(now):
            self.checks += 1
            if self.endpoint.up:
                left_s = self.endpoint.get_left_s(now)
                cold.judge.record_health(endpoint.name, left_s, now, now)
            else:
                cold.judge.record_suspicion(endpoint.name, now)

    def freeze_leader(self) -> None:
        """Let the leader hear and say nothing; another one leads after a while."""
        former = self.leader
        self.network.isolate(former)

        def elect() -> None:
            others = [item for item in self.control if item != former]
            self.leader = self.random.choice(others)
            self.term = Term(self.term + 1)
            self._read_list(self.leader)
            for instance in self.entries:
                self._install_owner(instance)

        self.network.schedule(ELECTION_S, elect)

    def cut_off(self, count: int) -> None:
        """Cut some entry instances off from all others."""
        for instance in self.random.sample(self.entries, count):
            self.network.isolate(instance)

    # The endpoint and its requests.

    def restart(self) -> None:
        """Reset the endpoint's connections; it is back soon and is cold then."""
        self.endpoint.up = False
        broken, self._in_flight = sorted(set(self._in_flight.values())), {}
        for instance in broken:
            self._suspect(instance)

        def start() -> None:
            self.endpoint.up = True
            self.become_cold()

        self.network.schedule(DOWN_S, start)

    def become_cold(self) -> None:
        """Begin a cold time."""
        self.endpoint.starts.append(self.network.now)

    def end_evacuation_after(self, delay_s: float) -> None:
        """Evacuate the domain until it has just become cold."""
        self.evacuated = True

        def end() -> None:
            self.become_cold()
            self.ended = self.network.now
            self.evacuated = False

        self.network.schedule(delay_s, end)

    def _suspect(self, instance: InstanceId) -> None:
        self.network.apply(instance, self.holders[instance], Suspect(NAME))

    def find_closed_after(self, delay_s: float, idle_since: float) -> None:
        """Let each instance find a connection closed that was idle since a time."""

        def find() -> None:
            for instance in self.entries:
                event = Suspect(NAME, idle_since)
                self.network.apply(instance, self.holders[instance], event)

        self.network.schedule(delay_s, find)

    def count_needing(self) -> int:
        """Count the instances at which requests to the endpoint need permits."""
        now = self.network.now
        return sum(item.needs_permit(NAME, now) for item in self.holders.values())

    def _request(self, number: int) -> None:
        if self.evacuated:
            return
        instance = self.random.choice(self.entries)
        call = CallId(number)
        self._calls[call] = instance
        self.network.apply(instance, self.holders[instance], Ask(call, NAME))

    def _perform(
        self, instance: InstanceId, action: Decided | VersionNamed, now: float
    ) -> None:
        if isinstance(action, VersionNamed):
            return
        self._calls.pop(action.call)
        if not action.permitted:
            self.refused += 1
            return
        self.network.schedule(CONNECT_S, lambda: self._arrive(instance, action.call))

    def _arrive(self, instance: InstanceId, call: CallId) -> None:
        endpoint, now = self.endpoint, self.network.now
        if not endpoint.up:
            self._suspect(instance)
            return
        endpoint.arrivals.append(now)
        if endpoint.get_left_s(now) > 0:
            endpoint.cold_arrivals.append(now)
        self._in_flight[call] = instance
        self.network.schedule(WORK_S, lambda: self._in_flight.pop(call, None))

    def load(self, rate_per_s: float, seconds: float) -> None:
        """Send requests at a rate, and run to their end."""
        start = self.network.now
        for number in range(int(rate_per_s * seconds)):
            call = int(start * 1e6) + number
            delay_s = number / rate_per_s
            self.network.schedule(delay_s, lambda call=call: self._request(call))
        self.network.run_until(start + seconds)


@dataclass(frozen=True, slots=True)
class ColdOutcome:
    """The fullest second of a run with drawn faults."""

    seed: int
    fullest: int
    description: str


def run_faults(seed: int, instances: int) -> ColdOutcome:
    """Restart the endpoint while the leader freezes or instances are cut off."""
    draw = random.Random(seed)
    subject = ColdNetwork(seed, instances)
    restart_s, freeze_s = draw.uniform(5, 8), draw.uniform(3, 12)
    cut = draw.randrange(instances) if draw.random() < 0.5 else 0
    subject.network.schedule(restart_s, subject.restart)
    subject.network.schedule(freeze_s, subject.freeze_leader)
    if cut:
        subject.network.schedule(0.5, lambda: subject.cut_off(cut))
    subject.load(12, 20)
    description = f"{restart_s=:.2f} {freeze_s=:.2f} {cut=}"
    return ColdOutcome(seed, subject.endpoint.count_fullest_second(), description)
