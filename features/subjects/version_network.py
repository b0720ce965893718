"""Streams taken up on virtual time, while instances are cut off and versions join."""

from dataclasses import dataclass

from burdockwall.fakes.network import FakeNetwork, NetworkConditions
from burdockwall.machine import Receive, Send, Tick
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
from burdockwall.process.scheduling.resumption import decide_sole_version
from burdockwall.process.sole_versions import LedVersions, SoleVersion
from burdockwall.process.version_checks import (
    AnswerSoleVersion,
    AskSoleVersion,
    AskVersion,
    ConfirmLeadership,
    LeaderInstalled,
    LeadershipConfirmed,
    LeadershipUnconfirmed,
    VersionAnswered,
    VersionAsker,
    VersionOwner,
    WithdrawVersion,
)
from burdockwall.process.version_client import ANSWER_LIMIT_S
from burdockwall.request.stream_binding import LIST_SKEW_S
from burdockwall.types import (
    Address,
    CallId,
    EndpointId,
    FailureDomain,
    Incarnation,
    InstanceId,
    ServiceName,
    SoftwareVersion,
    Term,
)

SERVICE = ServiceName("s")
CONTROL = tuple(InstanceId(f"control-{number}") for number in (1, 2, 3))
ENTRIES = tuple(InstanceId(f"entry-{number}") for number in (1, 2, 3, 4))
# A stream has broken off and is taken up within this time.
STREAM_S = 4.0
LIST_INTERVAL_S = 1.0
PUBLISH_INTERVAL_S = 0.1
STREAM_INTERVAL_S = 0.02
# The platform's list shows a server so long after it has started or ended.
LAG_S = 0.8
DRAIN_S = 3.0
# The lease of a leader ends before another one is elected.
LEASE_S = 0.5
ELECTION_S = 0.8
CONFIRM_S = 0.004
DAY_S = 200.0
FAULT_INTERVAL_S = 6.0
RELEASE_INTERVAL_S = 25.0
# Lists and answers may lie in a buffer while an instance stands still.
CONDITIONS = NetworkConditions(
    loss_probability=0.02,
    duplicate_probability=0.05,
    late_probability=0.1,
    late_max_s=3.0,
)


@dataclass(slots=True)
class VersionCounts:
    """The streams that went on at their version, at another one, or were refused."""

    right: int = 0
    wrong: int = 0
    refused: int = 0


@dataclass(frozen=True, slots=True)
class Server:
    """A server from its start to its end, and when the list shows it."""

    endpoint: ListedEndpoint
    started_at: float
    leaves_at: float

    def is_up(self, now: float) -> bool:
        """Return whether the server runs requests."""
        return self.started_at <= now < self.leaves_at + DRAIN_S

    def list_at(self, now: float) -> list[ListedEndpoint]:
        """Return its entry in the list at a time, or none."""
        return [self.endpoint] if self.is_up(now - LAG_S) else []


@dataclass(slots=True)
class Taker:
    """A request that takes up a stream, and what its instance's lists said."""

    instance: InstanceId
    begun: SoftwareVersion
    listed: SoftwareVersion
    since: float


class VersionNetwork:
    """Four entry instances, three control instances and the servers of a service.

    Without `confirms`, an instance relies on its own lists, as before.
    """

    def __init__(self, seed: int, confirms: bool = True) -> None:
        self.confirms = confirms
        self.counts = VersionCounts()
        self.network = FakeNetwork(seed, CONDITIONS, self._perform)
        self.random = self.network.random
        self.servers: list[Server] = []
        self.term = Term(1)
        self.leader: InstanceId | None = CONTROL[0]
        self.followers: dict[InstanceId, EndpointFollower] = {}
        self.askers: dict[InstanceId, VersionAsker] = {}
        self.owners: dict[InstanceId, VersionOwner] = {}
        self.publishers: dict[InstanceId, EndpointPublisher] = {}
        self.led: dict[InstanceId, LedVersions] = {}
        self._lists: dict[InstanceId, list[ListedEndpoint]] = {}
        self._takers: dict[tuple[InstanceId, CallId], Taker] = {}
        self._calls = 0
        self._release(1)
        for instance in CONTROL:
            self._start_control(instance)
        for number, instance in enumerate(ENTRIES, 1):
            self._start_entry(instance, number)

    def run(self) -> VersionCounts:
        """Run a day."""
        self._read_list()
        self._begin_stream()
        self._fail()
        self.network.run_until(DAY_S)
        self.network.heal()
        self.network.run_until(DAY_S + ANSWER_LIMIT_S)
        return self.counts

    # Servers.

    def _release(self, number: int) -> None:
        """Start servers of a new version; those of the one before leave sometime."""
        software = SoftwareVersion(f"v{number}")
        now = self.network.now
        lasts_s = self.random.uniform(1.0, 1.5) * RELEASE_INTERVAL_S
        for each in (1, 2):
            endpoint = ListedEndpoint(
                EndpointId(f"e-{number}-{each}"),
                SERVICE,
                Address("127.0.0.1:1"),
                FailureDomain("d"),
                8,
                software=software,
            )
            starts_at = now + self.random.uniform(0.0, 2.0) if number > 1 else -60.0
            self.servers.append(Server(endpoint, starts_at, now + lasts_s))
        self.network.schedule(RELEASE_INTERVAL_S, lambda: self._release(number + 1))

    # Control instances.

    def _start_control(self, instance: InstanceId) -> None:
        def get_led_term() -> Term | None:
            return self.term if self.leader == instance else None

        self.led[instance] = LedVersions()
        self.publishers[instance] = EndpointPublisher()
        self.owners[instance] = VersionOwner(self.led[instance], get_led_term)
        machines = [
            (self.owners[instance], (AskSoleVersion,)),
            (self.publishers[instance], (AskEndpoints,)),
        ]
        self.network.start(instance, machines, 0.05)
        self._publish(instance)

    def _read_list(self) -> None:
        self.network.schedule(LIST_INTERVAL_S, self._read_list)
        self._read_at(self.leader)

    def _read_at(self, leader: InstanceId | None) -> None:
        if leader is None:
            return
        now = self.network.now
        listed = [item for server in self.servers for item in server.list_at(now)]
        self._lists[leader] = listed
        versions = [(item.service, item.software) for item in listed]
        self.led[leader].install(self.term, versions, now)

    def _publish(self, instance: InstanceId) -> None:
        self.network.schedule(PUBLISH_INTERVAL_S, lambda: self._publish(instance))
        if self.leader != instance or instance not in self._lists:
            return
        followers = [ListFollower(item, Incarnation(0)) for item in ENTRIES]
        event = PublishEndpoints(
            self.term,
            self._lists[instance],
            followers,
            sole_since=self.led[instance].list_since(self.term),
            # The others run an earlier build.
            read_changes=frozenset(ENTRIES[::2]),
        )
        self.network.apply(instance, self.publishers[instance], event)

    def _confirm(self, instance: InstanceId, question: int, term: Term) -> None:
        confirmed = self.leader == instance and self.term == term
        kind = LeadershipConfirmed if confirmed else LeadershipUnconfirmed
        self.network.apply(instance, self.owners[instance], kind(question))

    def _replace_leader(self) -> None:
        """End the leader's lease, and elect another one later."""
        former, self.leader = self.leader, None
        if former is None:
            return
        self._lists.pop(former, None)

        def elect() -> None:
            self.leader = self.random.choice(CONTROL)
            self.term = Term(self.term + 1)
            self._lists.pop(self.leader, None)
            self._read_at(self.leader)
            for instance in ENTRIES:
                delay_s = self.random.uniform(0.0, 1.0)
                self.network.schedule(delay_s, lambda to=instance: self._tell(to))

        self.network.schedule(ELECTION_S - LEASE_S, elect)

    def _tell(self, instance: InstanceId) -> None:
        event = LeaderInstalled(self.leader)
        self.network.apply(instance, self.askers[instance], event)

    def _fail(self) -> None:
        self.network.schedule(FAULT_INTERVAL_S, self._fail)
        self.network.heal()
        match self.random.randrange(8):
            case 0:
                self._replace_leader()
            case 1 if self.leader is not None:
                self.network.isolate(self.leader)
                self.network.schedule(LEASE_S, self._replace_leader)
            case 2 | 3 | 4 | 5:
                self.network.isolate(self.random.choice(ENTRIES))
            case _:
                pass

    # Entry instances, streams and those who take them up.

    def _start_entry(self, instance: InstanceId, number: int) -> None:
        self.followers[instance] = EndpointFollower()
        self.askers[instance] = VersionAsker(Incarnation(number))
        machines = [
            (self.followers[instance], (EndpointList, EndpointChanges)),
            (self.askers[instance], (AnswerSoleVersion,)),
        ]
        self.network.start(instance, machines, 0.05)
        self._tell(instance)

    def _begin_stream(self) -> None:
        self.network.schedule(STREAM_INTERVAL_S, self._begin_stream)
        instance = self.random.choice(ENTRIES)
        listed = self.followers[instance].list_accepting(SERVICE)
        names = {item.name for item in listed}
        up = [
            server.endpoint.software
            for server in self.servers
            if server.endpoint.name in names and server.is_up(self.network.now)
        ]
        if not up:
            return
        begun = self.random.choice(up)
        taker = self.random.choice(ENTRIES)
        lasts_s = STREAM_S * self.random.random() ** 3
        self.network.schedule(lasts_s, lambda: self._take_up(taker, begun))

    def _take_up(self, instance: InstanceId, begun: SoftwareVersion) -> None:
        now = self.network.now
        since = now - STREAM_S - LIST_SKEW_S
        listed = self.followers[instance].find_sole_version(SERVICE, since, now)
        if listed is None or not self.confirms:
            self._decide(listed, begun)
            return
        self._calls += 1
        call = CallId(self._calls)
        self._takers[instance, call] = Taker(instance, begun, listed, since)
        asker = self.askers[instance]
        self.network.apply(instance, asker, AskVersion(call, SERVICE))
        self.network.schedule(ANSWER_LIMIT_S, lambda: self._give_up(instance, call))

    def _give_up(self, instance: InstanceId, call: CallId) -> None:
        self.network.apply(instance, self.askers[instance], WithdrawVersion(call))
        self._finish(instance, call, None)

    def _finish(
        self, instance: InstanceId, call: CallId, sole: SoleVersion | None
    ) -> None:
        taker = self._takers.pop((instance, call), None)
        if taker is not None:
            version = decide_sole_version(taker.listed, sole, taker.since)
            self._decide(version, taker.begun)

    def _decide(self, version: SoftwareVersion | None, begun: SoftwareVersion) -> None:
        if version is None:
            self.counts.refused += 1
        elif version == begun:
            self.counts.right += 1
        else:
            self.counts.wrong += 1

    def _perform(self, instance: InstanceId, action: object, now: float) -> None:
        match action:
            case ConfirmLeadership(question=question):
                term = self.term
                self.network.schedule(
                    CONFIRM_S, lambda: self._confirm(instance, question, term)
                )
            case VersionAnswered(call=call, sole=sole):
                self._finish(instance, call, sole)
            case _:
                assert not isinstance(action, Send)


def run_days(seeds: range, confirms: bool) -> VersionCounts:
    """Run a day with each seed, and add the counts up."""
    total = VersionCounts()
    for seed in seeds:
        counts = VersionNetwork(seed, confirms).run()
        total.right += counts.right
        total.wrong += counts.wrong
        total.refused += counts.refused
    return total


class LeaderUnderTest:
    """A leader that is asked once."""

    def __init__(self, version: str) -> None:
        self.term: Term | None = Term(1)
        self.led = LedVersions()
        self.owner = VersionOwner(self.led, lambda: self.term)
        self._list(version, 0.0)

    def _list(self, versions: str, now: float) -> None:
        listed = [(SERVICE, SoftwareVersion(item)) for item in versions.split()]
        self.led.install(Term(1), listed, now)

    def ask(self, now: float, event: str) -> str:
        """Ask, let something happen, and describe the answer."""
        asked = AskSoleVersion(Incarnation(1), CallId(1), SERVICE)
        (confirm,) = self.owner.handle(Receive(ENTRIES[0], asked), now)
        assert isinstance(confirm, ConfirmLeadership)
        confirmed: LeadershipConfirmed | LeadershipUnconfirmed
        confirmed = LeadershipConfirmed(confirm.question)
        match event:
            case "a majority does not confirm it":
                confirmed = LeadershipUnconfirmed(confirm.question)
            case "another one leads before it is confirmed":
                self.term = None
            case "v2 is listed before it is confirmed":
                self._list("v1 v2", now)
            case _:
                assert event == "a majority confirms it", event
        return self._describe(self.owner.handle(confirmed, now))

    def _describe(self, actions: list) -> str:
        if not actions:
            return "nothing"
        (send,) = actions
        answer = send.message
        if answer.software is None:
            return "several"
        return f"{answer.software} since {answer.age_s:g} s"


class TwoQuestions:
    """Two requests of an instance, for which the leader is asked."""

    def __init__(self) -> None:
        self.asker = VersionAsker(Incarnation(1))
        self.asker.handle(LeaderInstalled(CONTROL[0]), 0.0)
        for number in (1, 2):
            self.asker.handle(AskVersion(CallId(number), SERVICE), 0.0)
        self.answered: list[int] = []

    def answer_first(self) -> None:
        """Answer the first question."""
        answer = AnswerSoleVersion(
            Incarnation(1), CallId(1), SoftwareVersion("v1"), 20.0
        )
        for action in self.asker.handle(Receive(CONTROL[0], answer), 0.1):
            assert isinstance(action, VersionAnswered)
            self.answered.append(action.call)

    def list_asked_again(self, now: float) -> list[int]:
        """List the questions that are asked again at a time."""
        sends = self.asker.handle(Tick(), now)
        return [send.message.call for send in sends]
