"""Run a fleet on virtual time and check its invariants continuously."""

import sys
from dataclasses import dataclass, field
from typing import Any

from burdockwall.fakes.control import FakeControlLog, FakeSource
from burdockwall.fakes.network import FakeNetwork, NetworkConditions
from burdockwall.process.control.commands import (
    AnyCommand,
    AssignShards,
    IssueKey,
    Outcome,
    SubmitConfiguration,
    WithdrawKey,
)
from burdockwall.process.membership.agent import (
    AGENT_MESSAGES,
    Agent,
    InstallState,
    Leave,
)
from burdockwall.process.membership.messages import InstanceDetails
from burdockwall.process.membership.planner import Propose
from burdockwall.process.membership.registrar import (
    REGISTRAR_MESSAGES,
    AwaitInForce,
    Registrar,
)
from burdockwall.process.membership.rollout import InForce
from burdockwall.process.membership.timing import CLOCK_RATE_MARGIN, KEY_STOP_S
from burdockwall.types import (
    Address,
    CallId,
    CustomerId,
    FailureDomain,
    Incarnation,
    InstanceId,
    KeyDigest,
    OperatorId,
    Role,
    Version,
)
from burdockwall.version.configuration import (
    Configuration,
    Customer,
    print_configuration,
)
from burdockwall.version.keys import compute_digest
from burdockwall.version.shards import CopyConfirmed, LeaseRenewed, ShardsInstalled

CUSTOMER = CustomerId("customer-1")
OPERATOR = OperatorId("operator")
SHARDS = 12
FAN_OUT = 3
STEP_S = 0.25
LEAVE_DELAY_S = 8.0
COPY_RETRY_S = 1.0
QUIET_S = 20.0
SETTLE_LIMIT_S = 180.0


@dataclass
class IncarnationState:
    """State that the test tracks of one incarnation of an instance."""

    incarnation: Incarnation
    version: Version = Version(0)
    primaries: frozenset[int] = frozenset()
    copies: set[tuple[int, InstanceId]] = field(default_factory=set)


class FleetSubject:
    """Simulated fleet with random faults; `faults` lists the violated invariants."""

    agent_type: type[Agent] = Agent
    registrar_type: type[Registrar] = Registrar

    def __init__(
        self, seed: int, conditions: NetworkConditions | None = None, entries: int = 6
    ) -> None:
        self.seed = seed
        self.network = FakeNetwork(seed, conditions, self.perform)
        self.random = self.network.random
        self.log = FakeControlLog()
        self.log.on_commit = self.check_views
        self.control = [InstanceId(f"control-{i}") for i in range(1, 4)]
        self.entries = [InstanceId(f"entry-{i}") for i in range(1, entries + 1)]
        self.states: dict[InstanceId, IncarnationState] = {}
        self.agents: dict[InstanceId, Agent] = {}
        self.registrars: dict[InstanceId, Registrar] = {}
        self.faults: list[str] = []
        self.withdrawn_at: dict[KeyDigest, float] = {}
        self.in_force_reports: list[InForce] = []
        self.views: dict[int, Any] = {}
        self.copied: set[tuple[int, InstanceId, Incarnation]] = set()
        self.submissions = 0
        self.assigned_at = 0.0
        for instance in self.control + self.entries:
            self.start(instance)
        self.log.elect(self.control[0])

    # The fleet.

    def start(self, instance: InstanceId) -> None:
        former = self.states.get(instance)
        state = IncarnationState(Incarnation(former.incarnation + 1 if former else 1))
        self.states[instance] = state
        number = int(instance.rpartition("-")[2])
        control = instance in self.control
        details = InstanceDetails(
            instance,
            state.incarnation,
            Role.CONTROL if control else Role.ENTRY,
            "region-1",
            FailureDomain("abc"[number % 3]),
            Address(f"10.0.0.{number}:1"),
            Address(f"10.0.0.{number}:2"),
        )
        agent = self.agent_type(details, self.control, FAN_OUT)
        self.agents[instance] = agent
        machines = [(agent, AGENT_MESSAGES)]
        if control:
            source = FakeSource(instance, self.log)
            registrar = self.registrar_type(instance, source, agent.member_list, SHARDS)
            self.registrars[instance] = registrar
            machines.append((registrar, REGISTRAR_MESSAGES))
        node = self.network.start(instance, machines)
        margin = CLOCK_RATE_MARGIN
        node.clock_rate = self.random.uniform(1 - margin, 1 + margin)
        node.clock_offset_s = self.random.uniform(-1000, 1000)

    def crash(self, instance: InstanceId) -> None:
        self.network.crash(instance)
        if self.log.leader == instance:
            self.log.remove_leader()
            self.network.schedule(self.random.uniform(0.3, 2.0), self.elect)

    def leave(self, instance: InstanceId) -> None:
        state = self.states[instance]

        def end() -> None:
            if self.states[instance] is state and self.is_up(instance):
                self.crash(instance)

        self.network.apply(instance, self.agents[instance], Leave())
        self.network.schedule(LEAVE_DELAY_S, end)

    def elect(self) -> None:
        up = [name for name in self.control if self.network.nodes[name].up]
        if up and self.log.leader is None:
            self.log.elect(self.random.choice(up))

    def is_up(self, instance: InstanceId) -> bool:
        return self.network.nodes[instance].up

    def holds_lease(self, instance: InstanceId) -> bool:
        if not self.is_up(instance):
            return False
        clock = self.network.read_clock(instance)
        return clock < self.agents[instance].lease.until

    # The shell's part: performing actions.

    def perform(self, instance: InstanceId, action: Any, now: float) -> None:
        state = self.states[instance]
        match action:
            case InstallState(replica=replica):
                if replica.version <= state.version:
                    self.report_fault(f"{instance} went from {state.version}")
                state.version = replica.version
            case ShardsInstalled(shards=shards):
                state.primaries = frozenset(
                    shard
                    for shard, view in shards.views.items()
                    if view.primary == instance
                )
                self.check_primaries()
                self.copy_joining(instance, shards)
            case LeaseRenewed():
                self.check_primaries()
            case Propose(command=command):
                self.propose(command)
            case InForce():
                self.check_in_force(action)

    def propose(self, command: AssignShards) -> None:
        term = self.log.term

        def commit() -> None:
            if self.log.term == term:
                self.log.commit(command, self.network.now)

        # A tenth of the proposals is lost. Commits are often slow on every fifth seed.
        if self.random.random() < 0.9:
            slow = self.random.random() < (0.9 if self.seed % 5 == 0 else 0.2)
            low, high = (0.5, 3.0) if slow else (0.005, 0.1)
            self.network.schedule(self.random.uniform(low, high), commit)

    def copy_joining(self, instance: InstanceId, shards: Any) -> None:
        state = self.states[instance]
        for shard in state.primaries:
            view = shards.views[shard]
            for joining in view.joining:
                delay = self.random.uniform(0.1, 2.0)
                event = CopyConfirmed(shard, view.number, joining)
                self.network.schedule(
                    delay, self.build_copy_action(instance, state, event)
                )

    def build_copy_action(
        self, instance: InstanceId, state: IncarnationState, event: CopyConfirmed
    ):
        def copy() -> None:
            view = self.views[event.shard]
            target = event.instance
            if self.states[instance] is not state or view.number != event.number:
                return
            is_primary = event.shard in state.primaries and self.holds_lease(instance)
            incarnation = self.states[target].incarnation
            if not view.includes(target, incarnation) or not self.is_up(instance):
                return
            if not is_primary or not self.is_up(target):
                self.network.schedule(COPY_RETRY_S, copy)
                return
            self.copied.add((event.shard, target, incarnation))
            self.network.apply(instance, self.agents[instance], event)

        return copy

    # Operators.

    def submit(self, command_type: Any, **values: Any) -> Outcome | None:
        if self.log.leader is None:
            return None
        self.submissions += 1
        command = command_type(
            operator=OPERATOR, submission=f"submission-{self.submissions}", **values
        )
        return self.log.commit(command, self.network.now)

    def submit_configuration(self, rate: float) -> None:
        text = print_configuration(
            Configuration(customers=(Customer(CUSTOMER, rate_per_s=rate),))
        )
        version = self.log.state.version
        self.submit(SubmitConfiguration, based_on=version, text=text)

    def issue_key(self, name: str) -> None:
        digest = compute_digest(name)
        self.submit(IssueKey, customer=CUSTOMER, digest=digest)

    def withdraw_key(self) -> None:
        digests = sorted(self.log.state.keys)
        if not digests:
            return
        digest = self.random.choice(digests)
        outcome = self.submit(WithdrawKey, digest=digest)
        leader = self.log.leader
        if outcome is None or outcome.code or leader is None:
            return
        self.withdrawn_at[digest] = self.network.now
        call = CallId(self.submissions)
        event = AwaitInForce(call, outcome.version)
        self.network.apply(leader, self.registrars[leader], event)

    # Invariants.

    def report_fault(self, text: str) -> None:
        self.faults.append(f"seed {self.seed} at {self.network.now:.3f}: {text}")

    def check_primaries(self) -> None:
        acting: dict[int, InstanceId] = {}
        for instance in self.entries:
            if not self.holds_lease(instance):
                continue
            for shard in self.states[instance].primaries:
                other = acting.setdefault(shard, instance)
                if other != instance:
                    self.report_fault(f"shard {shard}: {other} and {instance} act")

    def check_keys(self) -> None:
        now = self.network.now
        for instance in self.entries:
            if not self.holds_lease(instance):
                continue
            for digest in self.agents[instance].replica.keys:
                withdrawn_at = self.withdrawn_at.get(digest)
                if withdrawn_at is not None and now > withdrawn_at + KEY_STOP_S:
                    self.report_fault(
                        f"{instance} admits a key {now - withdrawn_at:.1f} s after its"
                        " withdrawal"
                    )

    def check_in_force(self, report: InForce) -> None:
        self.in_force_reports.append(report)
        for instance in self.entries:
            version = self.agents[instance].replica.version
            if self.holds_lease(instance) and version < report.version:
                self.report_fault(f"{instance} runs {version}, not {report.version}")

    def check_views(self, command: AnyCommand, outcome: Outcome) -> None:
        if not isinstance(command, AssignShards) or outcome.code:
            return
        for view in command.views:
            former = self.views.get(view.shard)
            # A resent command has the outcome of the first one and may be outdated.
            if former is not None and former.number >= view.number:
                continue
            if former is not None:
                self.check_view(former, view)
            self.views[view.shard] = view
            self.assigned_at = self.network.now

    def check_view(self, former: Any, view: Any) -> None:
        former_holders = list(zip(former.holders, former.incarnations, strict=True))
        complete = former_holders[: 1 + len(former.backups)]
        confirmed_copies = [
            item
            for item in former_holders[len(complete) :]
            if (view.shard, *item) in self.copied
        ]
        holders = list(zip(view.holders, view.incarnations, strict=True))
        replicas = holders[: 1 + len(view.backups)]
        alive = [item for item in complete if self.is_alive(*item)]
        for position, item in enumerate(replicas):
            if item in complete or item in confirmed_copies:
                continue
            # The shard may restart empty once no complete copy is left.
            if position == 0 and not alive:
                continue
            self.report_fault(f"shard {view.shard}: {item[0]} has no copy")
        for item in replicas[1:]:
            if item in confirmed_copies:
                continue
            if item not in complete:
                self.report_fault(f"shard {view.shard}: backup {item[0]} has no copy")

    def is_alive(self, instance: InstanceId, incarnation: Incarnation) -> bool:
        is_current = self.states[instance].incarnation == incarnation
        return is_current and self.is_up(instance)

    def check_settled(self) -> None:
        if self.network.now - self.assigned_at < QUIET_S:
            self.report_fault(f"shards still move after {SETTLE_LIMIT_S} s")
        latest = self.log.state.version
        for instance in self.entries:
            if self.agents[instance].replica.version != latest:
                self.report_fault(f"{instance} does not run {latest}")
            if not self.holds_lease(instance):
                self.report_fault(f"{instance} has no lease")
        served = set()
        for instance in self.entries:
            served |= self.states[instance].primaries
        if len(served) != SHARDS:
            self.report_fault(f"{SHARDS - len(served)} shards have no primary")
        wanted = min(2, len(self.entries) - 1)
        lacking = [v.shard for v in self.views.values() if len(v.backups) < wanted]
        if lacking:
            self.report_fault(f"shards {lacking} lack backups")

    # Running the fleet.

    def run(self, seconds: float) -> None:
        end = self.network.now + seconds
        while self.network.now < end and not self.faults:
            self.network.run_until(min(end, self.network.now + STEP_S))
            self.check_primaries()
            self.check_keys()

    def run_faults(self, seconds: float) -> None:
        self.run(3.0)
        self.submit_configuration(1.0)
        for number in range(20):
            self.issue_key(f"{self.seed}-{number}")
        end = self.network.now + seconds
        while self.network.now < end and not self.faults:
            self.apply_random_event()
            self.run(self.random.uniform(0.1, 1.5))

    def apply_random_event(self) -> None:
        """Apply one random fault, repair or operator command."""
        choice = self.random.random()
        everyone = self.control + self.entries
        if choice < 0.2:
            self.withdraw_key()
        elif choice < 0.3:
            self.submit_configuration(self.random.uniform(1, 9))
        elif choice < 0.36:
            self.leave(self.random.choice(self.entries))
        elif choice < 0.44:
            self.crash(self.random.choice(self.entries))
        elif choice < 0.47:
            self.crash(self.random.choice(self.control))
        elif choice < 0.62:
            for instance in everyone:
                if not self.is_up(instance) and self.random.random() < 0.6:
                    self.start(instance)
        elif choice < 0.72:
            self.network.isolate(self.random.choice(everyone))
        elif choice < 0.82:
            self.network.cut(*self.random.sample(everyone, 2))
        elif choice < 0.92:
            self.network.heal()
        else:
            self.log.remove_leader()
            self.network.schedule(self.random.uniform(0.1, 1.5), self.elect)

    def run_without_faults(self) -> None:
        self.network.heal()
        self.network.conditions = NetworkConditions()
        for instance in self.control + self.entries:
            if self.agents[instance].leaving or not self.is_up(instance):
                self.start(instance)
        if self.log.leader is None:
            self.elect()
        self.assigned_at = self.network.now
        end = self.network.now + SETTLE_LIMIT_S
        while not self.faults and self.network.now < end:
            self.run(5.0)
            if self.network.now - self.assigned_at >= QUIET_S:
                break
        if not self.faults:
            self.check_settled()


def run_seed(
    seed: int, subject_type: type[FleetSubject] = FleetSubject
) -> FleetSubject:
    # On every third seed, long delays reorder messages widely.
    high_s = 1.2 if seed % 3 == 0 else 0.08
    conditions = NetworkConditions(
        0.001, high_s, loss_probability=0.05, duplicate_probability=0.05
    )
    subject = subject_type(seed, conditions)
    subject.run_faults(25.0)
    if not subject.faults and seed % 2:
        subject.run_without_faults()
    return subject


def main(first: int, count: int) -> int:
    """Run COUNT seeds from FIRST: python -m features.subjects.fleet FIRST COUNT."""
    faults = [
        fault for seed in range(first, first + count) for fault in run_seed(seed).faults
    ]
    print("\n".join(faults))
    print(f"{count} seeds from {first}, {len(faults)} faults")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
