"""Many instances on virtual time that share endpoints which name rate limits."""

import bisect
import random
from dataclasses import dataclass, field

from burdockwall.fakes.network import FakeNetwork, NetworkConditions
from burdockwall.process.endpoint_limits.holder import (
    Ask,
    Decided,
    LimitedListed,
    ObserveAnswer,
    OwnerInstalled,
    PermitHolder,
)
from burdockwall.process.endpoint_limits.messages import AskPermits, GrantPermits
from burdockwall.process.endpoint_limits.owner import PermitOwner
from burdockwall.types import CallId, EndpointId, Incarnation, InstanceId, Term

WINDOW_S = 4.0
# The bound of the rule: this multiple of what the limit allows, and some requests.
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5
# Time after a limit is first named at which the bound holds.
CONTACT_S = 3.0
ANSWER_S = 0.05
LIST_INTERVAL_S = 1.0
LEADER_SILENCE_S = 0.3
TICK_S = 0.05


@dataclass(slots=True)
class LimitedEndpoint:
    """An endpoint, the limit that its answers name, and when it was sent requests."""

    name: EndpointId
    rate_per_s: float | None = None
    named_at: float | None = None
    arrivals: list[float] = field(default_factory=list)

    def find_excess(self, begins_at: float, rate_per_s: float, ends_at: float) -> float:
        """Return by how many requests the fullest window is over the bound."""
        allowed = EXCESS_FACTOR * rate_per_s * WINDOW_S + EXCESS_REQUESTS
        times = [at for at in self.arrivals if begins_at <= at < ends_at]
        fullest = max(
            (
                bisect.bisect_left(times, first + WINDOW_S) - index
                for index, first in enumerate(times)
            ),
            default=0,
        )
        return fullest - allowed


class PermitNetwork:
    """Entry instances with holders, and control instances of which one leads."""

    def __init__(
        self,
        seed: int,
        instances: int,
        endpoints: int = 1,
        conditions: NetworkConditions | None = None,
    ) -> None:
        self.random = random.Random(seed)
        self.network = FakeNetwork(seed, conditions, self._perform)
        self.entries = [InstanceId(f"entry-{n}") for n in range(instances)]
        self.control = [InstanceId(f"control-{n}") for n in range(3)]
        self.holders: dict[InstanceId, PermitHolder] = {}
        self.owners: dict[InstanceId, PermitOwner] = {}
        self.term = Term(1)
        self.leader: InstanceId | None = self.control[0]
        self.endpoints = [
            LimitedEndpoint(EndpointId(f"endpoint-{n}")) for n in range(endpoints)
        ]
        self.refused = 0
        self.asked = 0
        self._calls: dict[CallId, tuple[InstanceId, LimitedEndpoint]] = {}
        self._incarnation = 0
        self._listed: frozenset[EndpointId] = frozenset()
        for instance in self.control:
            self.start_control(instance)
        for instance in self.entries:
            self.start_entry(instance)
        self.network.schedule(LIST_INTERVAL_S, self._publish)

    def start_control(self, instance: InstanceId) -> None:
        """Start a control instance."""
        owner = PermitOwner(lambda: self.term if self.leader == instance else None)
        self.owners[instance] = owner
        self.network.start(instance, [(owner, (AskPermits,))], TICK_S)

    def start_entry(self, instance: InstanceId) -> None:
        """Start an entry instance, or start it again."""
        self._incarnation += 1
        holder = PermitHolder(Incarnation(self._incarnation))
        self.holders[instance] = holder
        self.network.start(instance, [(holder, (GrantPermits,))], TICK_S)
        self._install_owner(instance)
        # An instance serves callers only once it has the list of endpoints.
        self.network.apply(instance, holder, LimitedListed(self._listed))

    def _install_owner(self, instance: InstanceId) -> None:
        event = OwnerInstalled(self.leader, self.term, len(self.entries))
        self.network.apply(instance, self.holders[instance], event)

    def change_leader(self) -> None:
        """Let the leader crash; another one leads a new term after a while."""
        former = self.leader
        assert former is not None
        self.network.crash(former)
        others = [item for item in self.control if item != former]
        following = self.random.choice(others)

        def elect() -> None:
            self.leader = following
            self.term = Term(self.term + 1)
            self.start_control(former)
            for instance in self.entries:
                self._install_owner(instance)

        self.network.schedule(LEADER_SILENCE_S, elect)

    def roll(self, first: int, gap_s: float) -> None:
        """Stop and start each entry instance in turn."""
        for index, instance in enumerate(self.entries):
            at = first + index * gap_s
            self.network.schedule(at, lambda item=instance: self.network.crash(item))
            restart = at + gap_s / 2
            self.network.schedule(restart, lambda item=instance: self.start_entry(item))

    def _publish(self) -> None:
        if self.leader is not None and self.network.nodes[self.leader].up:
            self._listed = self.owners[self.leader].limits.list_limited()
            for instance in self.entries:
                holder = self.holders[instance]
                self.network.apply(instance, holder, LimitedListed(self._listed))
        self.network.schedule(LIST_INTERVAL_S, self._publish)

    def set_limit(self, endpoint: LimitedEndpoint, rate_per_s: float | None) -> None:
        """Let the answers of an endpoint name a limit from now on, or none."""
        endpoint.rate_per_s = rate_per_s
        endpoint.named_at = self.network.now

    def request(self, endpoint: LimitedEndpoint) -> None:
        """Let a request at a random instance ask for an endpoint."""
        instance = self.random.choice(self.entries)
        if not self.network.nodes[instance].up:
            return
        self.asked += 1
        call = CallId(self.asked)
        self._calls[call] = (instance, endpoint)
        holder = self.holders[instance]
        self.network.apply(instance, holder, Ask(call, endpoint.name))

    def _perform(self, instance: InstanceId, action: Decided, now: float) -> None:
        _, endpoint = self._calls.pop(action.call)
        if not action.permitted:
            self.refused += 1
            return
        endpoint.arrivals.append(now)
        rate_per_s = endpoint.rate_per_s
        observed = ObserveAnswer(endpoint.name, rate_per_s)

        def answer() -> None:
            self.network.apply(instance, self.holders[instance], observed)

        self.network.schedule(ANSWER_S, answer)

    def load(self, rate_per_s: float, seconds: float) -> None:
        """Send requests for random endpoints at a rate, and run to their end."""
        start = self.network.now
        for number in range(int(rate_per_s * seconds)):
            delay_s = number / rate_per_s
            self.network.schedule(
                delay_s, lambda: self.request(self.random.choice(self.endpoints))
            )
        self.network.run_until(start + seconds)


LIMITS = (0.5, 1.0, 3.0, 6.4, 20.0)
INSTANCES = (2, 6, 9, 64, 200)


@dataclass(frozen=True, slots=True)
class FaultOutcome:
    """The worst excess over the bound in a run with drawn faults, in requests."""

    seed: int
    excess: float
    description: str


def run_faults(seed: int) -> FaultOutcome:
    """Run a load through drawn messages, rolls, changes of the leader and limits."""
    draw = random.Random(seed)
    instances = draw.choice(INSTANCES)
    conditions = NetworkConditions(
        loss_probability=draw.choice((0.0, 0.02, 0.2)),
        duplicate_probability=draw.choice((0.0, 0.05)),
        late_probability=draw.choice((0.0, 0.1)),
        late_max_s=draw.choice((0.1, 1.0)),
    )
    subject = PermitNetwork(seed, instances, draw.choice((1, 3)), conditions)
    load = draw.uniform(10, 200)
    subject.load(load, 2)
    rate_per_s = draw.choice(LIMITS)
    for endpoint in subject.endpoints:
        subject.set_limit(endpoint, rate_per_s)
    named_at = subject.network.now
    if draw.random() < 0.5:
        subject.roll(2, draw.uniform(0.1, 2.0))
    for _ in range(draw.randrange(4)):
        subject.network.schedule(draw.uniform(3, 18), subject.change_leader)
    if draw.random() < 0.3:
        cut = draw.sample(subject.entries, max(1, instances // 3))
        for instance in cut:
            subject.network.schedule(
                draw.uniform(2, 10), lambda item=instance: subject.network.isolate(item)
            )
        subject.network.schedule(14, subject.network.heal)
    subject.load(load, 20)
    begins_at, ends_at = named_at + CONTACT_S, subject.network.now
    excess = max(
        endpoint.find_excess(begins_at, rate_per_s, ends_at)
        for endpoint in subject.endpoints
    )
    description = f"{instances} instances, {rate_per_s} a second, load {load:.0f}"
    return FaultOutcome(seed, excess, description)
