"""Control replicas on virtual time, with the network delay of a deployment."""

import random
import time
from dataclasses import dataclass, field
from typing import Any

import msgspec

from burdockwall.fakes.files import FakeFiles
from burdockwall.fakes.network import FakeNetwork, NetworkConditions
from burdockwall.machine import Send
from burdockwall.process.control.commands import IssueKey, SubmitConfiguration
from burdockwall.process.control.consensus import Consensus
from burdockwall.process.control.entries import (
    Entry,
    HardState,
    Member,
    Membership,
    MembershipChange,
    VoterId,
)
from burdockwall.process.control.events import Propose
from burdockwall.process.control.journal import Identity, Journal
from burdockwall.process.control.messages import CONTROL_MESSAGES
from burdockwall.process.control.replica import (
    CallDone,
    Flush,
    FlushRequested,
    Replica,
    encode_command,
)
from burdockwall.process.control.state import ControlState
from burdockwall.types import (
    CallId,
    CustomerId,
    InstanceId,
    OperatorId,
    Term,
    Version,
)
from burdockwall.version.configuration import (
    Configuration,
    Customer,
    print_configuration,
)
from burdockwall.version.keys import compute_digest

OPERATOR = OperatorId("operator")
CUSTOMER = CustomerId("customer")


def build_submission() -> SubmitConfiguration:
    """Build the submission of a configuration with the customer that owns all keys."""
    text = print_configuration(Configuration(customers=(Customer(CUSTOMER),)))
    return SubmitConfiguration(
        operator=OPERATOR, submission="first", based_on=Version(0), text=text
    )


def build_key(number: int) -> IssueKey:
    """Build a command that issues a key with a unique digest."""
    return IssueKey(
        operator=OPERATOR,
        submission=f"submission-{number:026d}",
        customer=CUSTOMER,
        digest=compute_digest(str(number)),
    )


class CountingNetwork(FakeNetwork):
    """A network that counts the bytes of sent messages."""

    sent_bytes = 0

    def send(self, sender: InstanceId, action: Send) -> None:
        """Send a message and count its encoded size."""
        self.sent_bytes += len(msgspec.msgpack.encode(action.message))
        super().send(sender, action)


@dataclass(slots=True)
class LoadResult:
    """Cost of a run of changes.

    `acknowledged_after_s` is the time from the proposal to the acknowledgement of each
    change, and `elapsed_s` the virtual time of the run.
    """

    acknowledged_after_s: list[float] = field(default_factory=list)
    elapsed_s: float = 0.0
    processor_s: float = 0.0
    sent_bytes: int = 0


class BenchmarkCluster:
    """A cluster of voters with an elected leader, and the times of its changes.

    Each sync of a journal takes `sync_s` of virtual time.
    """

    def __init__(self, seed: int, voters: int, one_way_s: float, sync_s: float) -> None:
        self.sync_s = sync_s
        conditions = NetworkConditions(one_way_s * 0.9, one_way_s * 1.1)
        self.network = CountingNetwork(seed, conditions, self._perform)
        self.replicas: dict[InstanceId, Replica] = {}
        self.proposed_at: dict[CallId, float] = {}
        self.acknowledged_after_s: list[float] = []
        self.on_acknowledged = lambda: None
        names = [InstanceId(f"control-{number}") for number in range(1, voters + 1)]
        members = Membership(
            tuple(Member(VoterId(name), name, voting=True) for name in names)
        )
        first = Entry(Term(0), 1, MembershipChange(members))
        for name, member in zip(names, members.members, strict=True):
            journal = Journal(FakeFiles(random.Random(seed)))
            identity = Identity(member.voter, name)
            journal.create(identity, [HardState("cluster"), first])
            recovered = journal.recover()
            generator = random.Random(f"{seed} {name}")
            consensus = Consensus(member, recovered, names, generator)
            replica = Replica(consensus, journal, ControlState(), recovered)
            self.replicas[name] = replica
            self.network.start(name, [(replica, CONTROL_MESSAGES)])
        self.network.run_until(10.0)
        self.leader = next(
            name for name, item in self.replicas.items() if item.consensus.is_leader
        )

    def _perform(self, instance: InstanceId, action: Any, now: float) -> None:
        replica = self.replicas[instance]
        match action:
            case FlushRequested():
                self.network.schedule(
                    self.sync_s,
                    lambda: self.network.apply(instance, replica, Flush()),
                )
            case CallDone(call=call) if call in self.proposed_at:
                self.acknowledged_after_s.append(now - self.proposed_at.pop(call))
                self.on_acknowledged()
            case _:
                pass

    def propose(self, number: int) -> None:
        """Propose a change at the leader.

        Number 0 submits the configuration, and every other number issues a key.
        """
        call = CallId(number + 1)
        self.proposed_at[call] = self.network.now
        command = build_key(number) if number else build_submission()
        data = encode_command(command, self.network.now)
        self.network.apply(self.leader, self.replicas[self.leader], Propose(call, data))

    def run(self, count: int, in_flight: int) -> LoadResult:
        """Run changes, `in_flight` at a time, until all are acknowledged."""
        self.propose(0)
        self.network.run_until(self.network.now + 1.0)
        self.acknowledged_after_s = []
        started_at, bytes_before = self.network.now, self.network.sent_bytes
        processor_before_s = time.process_time()
        next_number = 1

        def propose_next() -> None:
            nonlocal next_number
            if next_number <= count:
                next_number += 1
                self.propose(next_number - 1)

        self.on_acknowledged = propose_next
        for _ in range(in_flight):
            propose_next()
        ended_at = started_at
        while len(self.acknowledged_after_s) < count:
            self.network.run_until(self.network.now + 0.005)
            ended_at = self.network.now
        return LoadResult(
            self.acknowledged_after_s,
            ended_at - started_at,
            time.process_time() - processor_before_s,
            self.network.sent_bytes - bytes_before,
        )
