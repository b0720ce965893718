"""Run a cluster of control replicas on fakes and check its invariants."""

import random
from dataclasses import dataclass, field

from burdockwall.fakes.files import CrashPoint, FakeFiles
from burdockwall.fakes.network import FakeNetwork, NetworkConditions
from burdockwall.process.control.archive import AuditArchive
from burdockwall.process.control.audit import verify_audit
from burdockwall.process.control.commands import (
    IssueKey,
    Outcome,
    SubmitConfiguration,
    WithdrawKey,
)
from burdockwall.process.control.consensus import Consensus
from burdockwall.process.control.consensus_state import Timing
from burdockwall.process.control.copier import COPY_MESSAGES, AuditCopier
from burdockwall.process.control.entries import (
    HardState,
    Member,
    Membership,
    MembershipChange,
    VoterId,
)
from burdockwall.process.control.events import (
    AskRead,
    CallRefused,
    CallUnknown,
    MembershipChanged,
    Propose,
    ReplicaRole,
    RoleChanged,
)
from burdockwall.process.control.journal import Entry, Identity, Journal
from burdockwall.process.control.messages import CONTROL_MESSAGES
from burdockwall.process.control.replica import (
    CallDone,
    CommandApplied,
    Flush,
    FlushRequested,
    Replica,
    StateReplaced,
    encode_command,
)
from burdockwall.process.control.state import ControlState
from burdockwall.types import CallId, CustomerId, InstanceId, OperatorId, Term, Version
from burdockwall.version.keys import compute_digest
from features.subjects.control_state import print_customers

CLUSTER = "cluster"
COMPACT_ENTRIES = 12


class ShortAuditState(ControlState):
    """State with so few audit records that replicas must copy them from each other."""

    max_audit_records = 30


class BrokenInvariant(AssertionError):
    """An invariant of the cluster is violated."""


@dataclass(slots=True)
class Node:
    """One instance: its disk, and its replica while it runs."""

    name: InstanceId
    files: FakeFiles
    member: Member
    replica: Replica | None = None
    copier: AuditCopier | None = None
    start_count: int = 0


@dataclass(slots=True)
class Call:
    """A pending call, and the latest version acknowledged before it was made."""

    command: object
    version: int
    node: InstanceId


@dataclass(slots=True)
class Observed:
    """Events observed on all replicas, across their restarts."""

    leaders: dict[int, VoterId] = field(default_factory=dict)
    applied: dict[int, tuple[int, str]] = field(default_factory=dict)
    acknowledged: dict[str, tuple[int, Outcome]] = field(default_factory=dict)
    outcomes: dict[str, Outcome] = field(default_factory=dict)
    version: int = 0
    reads: int = 0
    refused: int = 0
    unknown: int = 0


class CrashingCopier:
    """Copier that stops its instance if a crash is due during its write."""

    def __init__(self, cluster: "ControlCluster", node: Node) -> None:
        self.cluster = cluster
        self.node = node

    def handle(self, event, now: float) -> list:
        try:
            return self.node.copier.handle(event, now)
        except CrashPoint:
            self.cluster.crash(self.node)
            return []


class ControlCluster:
    """Replicas, a client and faults, all driven by one seed."""

    consensus_class = Consensus
    journal_class = Journal
    state_class = ShortAuditState

    def __init__(
        self, seed: int, voters: int = 3, conditions: NetworkConditions | None = None
    ):
        self.rng = random.Random(seed)
        self.seed = seed
        self.network = FakeNetwork(
            seed, conditions or NetworkConditions(), self.perform
        )
        self.observed = Observed()
        self.calls: dict[CallId, Call] = {}
        self.to_resend: list[object] = []
        self.count = 0
        self.nodes: dict[InstanceId, Node] = {}
        self.create_nodes(voters)

    # Instances.

    def create_nodes(self, voters: int) -> None:
        names = [InstanceId(f"control-{number}") for number in range(1, voters + 1)]
        self.names = names
        for name in names:
            self.add_node(name)
        members = Membership(tuple(node.member for node in self.nodes.values()))
        records = [
            HardState(CLUSTER, Term(1)),
            Entry(Term(1), 1, MembershipChange(members)),
        ]
        for node in self.nodes.values():
            self.create_files(node, records)
            self.start(node)

    def add_node(self, name: InstanceId) -> Node:
        files = FakeFiles(random.Random(self.rng.random()))
        node = Node(name, files, Member(VoterId(f"{name}.0"), name, voting=True))
        self.nodes[name] = node
        return node

    def create_files(self, node: Node, records: list) -> None:
        journal = self.journal_class(node.files)
        journal.create(Identity(node.member.voter, node.name), records)

    def start(self, node: Node) -> None:
        journal = self.journal_class(node.files)
        recovered = journal.recover()
        consensus = self.consensus_class(
            node.member,
            recovered,
            self.names,
            random.Random(self.rng.random()),
            Timing(),
            COMPACT_ENTRIES,
        )
        archive = AuditArchive(node.files)
        state = self.state_class()
        node.replica = Replica(consensus, journal, state, recovered, archive)
        others = [name for name in self.names if name != node.name]
        node.copier = AuditCopier(archive, state, lambda: others)
        node.start_count += 1
        copier = CrashingCopier(self, node)
        machines = [(node.replica, CONTROL_MESSAGES), (copier, COPY_MESSAGES)]
        self.network.start(node.name, machines)

    def is_up(self, node: Node) -> bool:
        return self.network.nodes[node.name].up

    def crash(self, node: Node) -> None:
        if not self.is_up(node):
            return
        self.network.crash(node.name)
        node.files.crash()
        for call in [key for key, call in self.calls.items() if call.node == node.name]:
            self.drop_call(call)

    def restart(self, node: Node) -> None:
        if self.is_up(node):
            return
        try:
            self.start(node)
        except CrashPoint:
            node.files.crash()

    def replace(self, node: Node) -> None:
        """Lose the disk of a node; restart it as a learner with another identity."""
        self.crash(node)
        node.files.delete_all()
        node.member = Member(VoterId(f"{node.name}.{node.start_count}"), node.name)
        self.create_files(node, [HardState()])
        self.start(node)

    def list_up(self) -> list[Node]:
        return [node for node in self.nodes.values() if self.is_up(node)]

    def find_leader(self) -> Node | None:
        """Return the leader of the latest term, or None."""
        leaders = [
            node
            for node in self.list_up()
            if node.replica and node.replica.consensus.is_leader
        ]
        terms = [node.replica.consensus.state.term for node in leaders]
        return leaders[terms.index(max(terms))] if leaders else None

    # Actions of the replicas.

    def perform(self, instance: InstanceId, action: object, now: float) -> None:
        node = self.nodes[instance]
        match action:
            case FlushRequested():
                start_number = node.start_count
                delay = self.rng.uniform(0.0002, 0.004)
                self.network.schedule(delay, lambda: self.flush(node, start_number))
            case CommandApplied():
                self.check_applied(node)
            case StateReplaced():
                self.check_applied(node)
            case RoleChanged(role=ReplicaRole.LEADER, term=term):
                self.check_leader(node, term)
            case CallDone(call=call, outcome=outcome):
                self.finish_call(call, outcome, node)
            case CallRefused(call=call):
                self.observed.refused += 1
                self.drop_call(call)
            case CallUnknown(call=call):
                self.observed.unknown += 1
                self.drop_call(call)
            case RoleChanged() | MembershipChanged():
                pass

    def flush(self, node: Node, start_number: int) -> None:
        if node.start_count != start_number or not self.is_up(node):
            return
        try:
            self.network.apply(node.name, node.replica, Flush())
        except CrashPoint:
            self.crash(node)

    # Invariants.

    def check_leader(self, node: Node, term: int) -> None:
        voter = node.member.voter
        first = self.observed.leaders.setdefault(term, voter)
        if first != voter:
            raise BrokenInvariant(f"term {term} has leaders {first} and {voter}")

    def check_applied(self, node: Node) -> None:
        replica = node.replica
        chain = replica.state.audit[-1].chain if replica.state.audit else ""
        applied = (replica.applied_term, chain)
        index = replica.applied_index
        first = self.observed.applied.setdefault(index, applied)
        # The audit chain covers all commands and outcomes up to this entry.
        if first != applied:
            raise BrokenInvariant(f"entry {index} differs on {node.name}")

    def finish_call(self, call: CallId, outcome: Outcome | None, node: Node) -> None:
        pending = self.calls.pop(call, None)
        if pending is None:
            return
        if outcome is None:
            self.observed.reads += 1
            if node.replica.state.version < pending.version:
                raise BrokenInvariant(f"{node.name} served a stale read")
            return
        submission = pending.command.submission
        first = self.observed.outcomes.setdefault(submission, outcome)
        if first != outcome:
            raise BrokenInvariant(f"{submission} got {first} and {outcome}")
        index = node.replica.applied_index
        self.observed.acknowledged.setdefault(submission, (index, outcome))
        self.observed.version = max(self.observed.version, outcome.version)

    def drop_call(self, call: CallId) -> None:
        pending = self.calls.pop(call, None)
        if pending is not None and pending.command is not None:
            self.to_resend.append(pending.command)

    # The client.

    def propose(self, node: Node, command: object) -> None:
        self.count += 1
        call = CallId(self.count)
        self.calls[call] = Call(command, self.observed.version, node.name)
        data = encode_command(command, self.network.now)
        self.network.apply(node.name, node.replica, Propose(call, data))

    def read(self, node: Node) -> None:
        self.count += 1
        call = CallId(self.count)
        self.calls[call] = Call(None, self.observed.version, node.name)
        self.network.apply(node.name, node.replica, AskRead(call))

    def build_command(self, node: Node) -> object:
        state = node.replica.state
        operator = OperatorId(str(node.name))
        submission = f"s{self.count}"
        number = self.rng.randint(0, 30)
        digest = compute_digest(f"key {number}")
        match self.rng.randint(0, 3):
            case 0:
                names = " ".join(sorted(self.rng.sample("abcd", 2)))
                return SubmitConfiguration(
                    operator=operator,
                    submission=submission,
                    based_on=Version(state.version),
                    text=print_customers(names),
                )
            case 1 | 2:
                return IssueKey(
                    operator=operator,
                    submission=submission,
                    customer=CustomerId(self.rng.choice("abcd")),
                    digest=digest,
                )
            case _:
                return WithdrawKey(
                    operator=operator, submission=submission, digest=digest
                )

    def make_random_call(self) -> None:
        """Propose, resend or read on a random instance."""
        up = self.list_up()
        if not up:
            return
        leader = self.find_leader()
        node = leader if leader and self.rng.random() < 0.6 else self.rng.choice(up)
        if self.to_resend and self.rng.random() < 0.5:
            self.propose(node, self.to_resend.pop(0))
        elif self.rng.random() < 0.3:
            self.read(node)
        else:
            self.propose(node, self.build_command(node))

    # Time.

    def run(self, seconds: float, calls_per_s: float = 8.0, fault=None) -> None:
        """Run for a virtual time, with random client calls and faults."""
        end = self.network.now + seconds
        while self.network.now < end:
            pause = self.rng.expovariate(calls_per_s)
            self.network.run_until(min(end, self.network.now + pause))
            self.make_random_call()
            if fault is not None:
                fault()

    def settle(self, seconds: float = 12.0) -> None:
        """End all faults, and check that all replicas have all acknowledged changes."""
        self.network.heal()
        self.network.conditions = NetworkConditions()
        for node in self.nodes.values():
            node.files.crash_at_operation = None
            node.files.space_left = None
            failed = node.replica.consensus.state.role is ReplicaRole.FAILED
            if failed:
                self.crash(node)
            self.restart(node)
        self.network.run_until(self.network.now + seconds)
        leader = self.find_leader()
        if leader is None:
            raise BrokenInvariant("no leader after all faults have ended")
        before = len(self.observed.acknowledged)
        self.propose(leader, self.build_command(leader))
        self.network.run_until(self.network.now + 3.0)
        if len(self.observed.acknowledged) != before + 1:
            raise BrokenInvariant("no change is accepted after all faults have ended")
        self.check_settled()

    def check_settled(self) -> None:
        states = [node.replica.state for node in self.nodes.values()]
        if len({state.encode() for state in states}) != 1:
            raise BrokenInvariant("the replicas hold different states")
        for submission, (_, outcome) in self.observed.acknowledged.items():
            stored = states[0].outcomes.get(submission)
            if stored is None or stored.outcome != outcome:
                raise BrokenInvariant(f"acknowledged {submission} is lost")
        if states[0].version < self.observed.version:
            raise BrokenInvariant("the version is lower than an acknowledged one")
        last = states[0].audit[-1].index
        for node in self.nodes.values():
            records = node.copier.list_records(1, last)
            if len(records) != last or not verify_audit(records):
                raise BrokenInvariant(f"the audit trail of {node.name} has gaps")
