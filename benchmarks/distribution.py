"""Measure the distribution of versions to a fleet: delay, bytes, messages, processor.

Time is virtual, with the network delays of the target fleet. Processor time is that of
the state machines and the codec, plus an estimate for the transport of each message.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from benchmarks.result import Result, create_result
from burdockwall.connection.wire import Envelope, MessagePackCodec
from burdockwall.fakes.control import FakeControlLog, FakeSource
from burdockwall.fakes.network import FakeNetwork
from burdockwall.machine import Machine, Message, Send
from burdockwall.process.control.commands import IssueKey, SubmitConfiguration
from burdockwall.process.membership.agent import AGENT_MESSAGES, Agent, InstallState
from burdockwall.process.membership.messages import InstanceDetails
from burdockwall.process.membership.planner import Propose
from burdockwall.process.membership.registrar import REGISTRAR_MESSAGES, Registrar
from burdockwall.process.membership.tree import group_members, list_relays
from burdockwall.types import (
    Address,
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
from burdockwall.version.shards import CopyConfirmed, ShardMap, ShardsInstalled

SEED = 1
CONTROL_INSTANCES = 3
FLEETS = (9, 90, 380)
CUSTOMERS = 100
REGIONS = 4
DOMAINS_PER_REGION = 4
SAME_REGION_DELAY_S = (0.001, 0.0015)
OTHER_REGION_DELAY_S = (0.02, 0.06)
CHANGE_INTERVAL_S = 86_400 / 12_000
COPY_TIME_S = 0.5
WARM_UP_S = 30.0
RUN_S = 60.0
# Headers of one message: gRPC, HTTP/2, and TCP with IP. An acknowledgement has the same
# headers.
FRAME_BYTES = 5 + 9 + 40
ACKNOWLEDGEMENT_BYTES = FRAME_BYTES + 2
# Processor time of one end. A message and its acknowledgement on an open stream take
# 0.4 ms at both ends together.
TRANSPORT_PROCESSOR_S = 0.0002
IN_FORCE_BOUND_S = 8.0
BYTES_PER_S_BOUND = 5000.0
PROCESSOR_BOUND_PERCENT = 4.4


@dataclass(slots=True)
class Usage:
    """Messages and bytes sent and received by one instance, and its processor time."""

    messages: int = 0
    wire_bytes: int = 0
    processor_s: float = 0.0


class MeasuredNetwork(FakeNetwork):
    """A network with delays by region that records the usage of each instance."""

    def __init__(self, seed: int, perform: Callable[[InstanceId, Any, float], None]):
        super().__init__(seed, perform=perform)
        self.regions: dict[InstanceId, str] = {}
        self.usage: dict[InstanceId, Usage] = {}
        self._codec = MessagePackCodec()

    def apply(self, instance: InstanceId, machine: Machine, event: Any) -> None:
        """Apply an event, and record the processor time of it and of its actions."""
        usage = self.usage[instance]
        before_s = time.process_time()
        super().apply(instance, machine, event)
        usage.processor_s += time.process_time() - before_s

    def send(self, sender: InstanceId, action: Send) -> None:
        """Count a message, and send it with the delay between the two regions."""
        if action.to == sender:
            super().send(sender, action)
            return
        size = self._measure_codec(sender, action)
        for instance in (sender, action.to):
            usage = self.usage[instance]
            usage.messages += 1
            usage.wire_bytes += size + FRAME_BYTES + ACKNOWLEDGEMENT_BYTES
        same_region = self.regions[sender] == self.regions[action.to]
        min_s, max_s = SAME_REGION_DELAY_S if same_region else OTHER_REGION_DELAY_S
        self.conditions.delay_min_s, self.conditions.delay_max_s = min_s, max_s
        super().send(sender, action)

    def _measure_codec(self, sender: InstanceId, action: Send) -> int:
        message: Any = action.message
        envelope = Envelope(sender, Incarnation(1), 1, [message])
        # apply() of the sender calls this and records the time of both encoding and
        # decoding, so the time of decoding moves from the sender to the receiver.
        data = self._codec.encode(envelope, Envelope)
        before_s = time.process_time()
        self._codec.decode(data, Envelope)
        elapsed_s = time.process_time() - before_s
        self.usage[action.to].processor_s += elapsed_s
        self.usage[sender].processor_s -= elapsed_s
        return len(data)


class MeasuredFleet:
    """A fleet of control and entry instances that measures the delay of versions.

    `missing_instances` are, per version, the entry instances that have not installed
    it yet. `installed_everywhere_after_s` is the time from the acceptance of a version
    until the last of them has installed it.
    """

    def __init__(self, followers: int) -> None:
        self.network = MeasuredNetwork(SEED, self.perform)
        self.log = FakeControlLog()
        self.control = [InstanceId(f"control-{n}") for n in range(CONTROL_INSTANCES)]
        self.entries = [InstanceId(f"entry-{n:03}") for n in range(followers)]
        self.agents: dict[InstanceId, Agent] = {}
        self.accepted_at: dict[Version, float] = {}
        self.missing_instances: dict[Version, set[InstanceId]] = {}
        self.installed_everywhere_after_s: list[float] = []
        self.submissions = 0
        for number, instance in enumerate(self.control + self.entries):
            self._start(instance, number)
        self.log.elect(self.control[0])

    def _start(self, instance: InstanceId, number: int) -> None:
        region = f"region-{number % REGIONS}"
        domain = f"{region}-{number // REGIONS % DOMAINS_PER_REGION}"
        is_control = instance in self.control
        details = InstanceDetails(
            instance,
            Incarnation(1_764_800_000_000_000_000 + number),
            Role.CONTROL if is_control else Role.ENTRY,
            region,
            FailureDomain(domain),
            Address(f"10.1.{number // 250}.{number % 250}:8082"),
            Address(f"10.1.{number // 250}.{number % 250}:8080"),
        )
        agent = Agent(details, self.control)
        self.agents[instance] = agent
        self.network.regions[instance] = region
        self.network.usage[instance] = Usage()
        machines: list[tuple[Machine, tuple[type[Message], ...]]] = [
            (agent, AGENT_MESSAGES)
        ]
        if is_control:
            source = FakeSource(instance, self.log)
            registrar = Registrar(instance, source, agent.member_list)
            machines.append((registrar, REGISTRAR_MESSAGES))
        self.network.start(instance, machines)

    def perform(self, instance: InstanceId, action: Any, now: float) -> None:
        """Commit proposals, and record the version that an instance installs."""
        match action:
            case Propose(command=command):
                self.log.commit(command, now)
            case ShardsInstalled(shards=shards):
                self._confirm_copies(instance, shards)
            case InstallState(replica=replica):
                self._record_installed(instance, replica.version, now)

    def _confirm_copies(self, instance: InstanceId, shards: ShardMap) -> None:
        for view in shards.views.values():
            for joining in view.joining:
                if view.primary == instance:
                    event = CopyConfirmed(view.shard, view.number, joining)
                    self.network.schedule(
                        COPY_TIME_S, self._create_copy_confirmation(instance, event)
                    )

    def _create_copy_confirmation(
        self, instance: InstanceId, event: CopyConfirmed
    ) -> Callable[[], None]:
        return lambda: self.network.apply(instance, self.agents[instance], event)

    def _record_installed(
        self, instance: InstanceId, version: Version, now: float
    ) -> None:
        for missing in list(self.missing_instances):
            if missing > version:
                continue
            self.missing_instances[missing].discard(instance)
            if not self.missing_instances[missing]:
                del self.missing_instances[missing]
                self.installed_everywhere_after_s.append(
                    now - self.accepted_at[missing]
                )

    def change_state(self) -> None:
        """Issue a key or change one customer, alternately."""
        self.submissions += 1
        number = self.submissions
        if number % 2:
            self._submit_customers(number)
        else:
            self.log.commit(
                IssueKey(
                    operator=OperatorId("operator"),
                    submission=str(number),
                    customer=CustomerId("customer-0000"),
                    digest=KeyDigest(f"{number:064x}"),
                ),
                self.network.now,
            )
        version = self.log.state.version
        self.accepted_at[version] = self.network.now
        self.missing_instances[version] = set(self.entries)

    def _submit_customers(self, number: int) -> None:
        customers = tuple(
            Customer(
                CustomerId(f"customer-{item:04}"),
                rate_per_s=10.0 + (number if item == number % CUSTOMERS else 0),
            )
            for item in range(CUSTOMERS)
        )
        command = SubmitConfiguration(
            operator=OperatorId("operator"),
            submission=str(number),
            based_on=self.log.state.version,
            text=print_configuration(Configuration(customers=customers)),
        )
        self.log.commit(command, self.network.now)

    def run(self) -> None:
        """Warm up, then change the state at the rate of the target fleet."""
        self.network.run_until(WARM_UP_S / 2)
        self.change_state()
        self.network.run_until(WARM_UP_S)
        self.installed_everywhere_after_s.clear()
        for instance in self.network.usage:
            self.network.usage[instance] = Usage()
        while self.network.now < WARM_UP_S + RUN_S:
            # The random interval spreads the changes over the time between two ticks.
            wait_s = self.network.random.uniform(0.9, 1.1) * CHANGE_INTERVAL_S
            self.network.run_until(self.network.now + wait_s)
            self.change_state()
        self.network.run_until(self.network.now + CHANGE_INTERVAL_S)

    def list_relays(self) -> list[InstanceId]:
        """List the entry instances that relay versions to others."""
        leader = self.agents[self.control[0]]
        groups = group_members(leader.member_list.list_entries())
        if all(len(group) == 1 for group in groups):
            return []
        return [relay for relay in list_relays(groups) if relay in self.entries]


def measure() -> list[Result]:
    """Measure fleets of the present size, of the target size, and between them."""
    results: list[Result] = []
    for followers in FLEETS:
        results += _measure_fleet(followers)
    return results


def _measure_fleet(followers: int) -> list[Result]:
    fleet = MeasuredFleet(followers)
    fleet.run()
    name = f"distribution_{followers}"
    unfinished = len(fleet.missing_instances)
    slowest = (
        max(fleet.installed_everywhere_after_s) if not unfinished else float("inf")
    )
    relays = fleet.list_relays()
    leaves = [item for item in fleet.entries if item not in relays]
    results = [
        create_result(f"{name}_in_force", slowest, "s", SEED, bound=IN_FORCE_BOUND_S),
    ]
    results += _measure_role(fleet, f"{name}_leader", [fleet.control[0]])
    results += _measure_role(fleet, f"{name}_leaf", leaves)
    if relays:
        results += _measure_role(fleet, f"{name}_relay", relays)
    return results


def _measure_role(
    fleet: MeasuredFleet, name: str, instances: list[InstanceId]
) -> list[Result]:
    usages = [fleet.network.usage[instance] for instance in instances]
    seconds = fleet.network.now - WARM_UP_S
    # Each figure is the maximum over the instances of the role, and counts sent and
    # received messages together.
    messages = max(usage.messages for usage in usages) / seconds
    wire_bytes = max(usage.wire_bytes for usage in usages) / seconds
    processor = max(usage.processor_s for usage in usages) / seconds
    percent = 100 * (processor + messages * TRANSPORT_PROCESSOR_S)
    return [
        create_result(f"{name}_messages", messages, "1/s", SEED),
        create_result(
            f"{name}_bytes", wire_bytes, "B/s", SEED, bound=BYTES_PER_S_BOUND
        ),
        create_result(f"{name}_machines", 100 * processor, "% of a core", SEED),
        create_result(
            f"{name}_processor",
            percent,
            "% of a core",
            SEED,
            bound=PROCESSOR_BOUND_PERCENT,
        ),
    ]
