"""Start a fleet with seeds on fakes, lose disks and power, and check what was acked."""

import random
from collections.abc import Callable
from contextlib import AbstractContextManager
from dataclasses import replace
from unittest.mock import patch

from burdockwall.fakes.files import CrashPoint
from burdockwall.process.control import founding, redundancy
from burdockwall.process.control.archive import AuditArchive
from burdockwall.process.control.commands import SubmitConfiguration
from burdockwall.process.control.copier import COPY_MESSAGES, AuditCopier
from burdockwall.process.control.journal import Journal
from burdockwall.process.control.leader import Leader
from burdockwall.process.control.messages import CONTROL_MESSAGES
from burdockwall.process.control.opening import create_consensus, prepare_files
from burdockwall.process.control.replica import Replica
from burdockwall.settings import Settings
from burdockwall.types import Address, InstanceId, OperatorId, Version
from features.subjects.control_cluster import (
    COMPACT_ENTRIES,
    BrokenInvariant,
    ControlCluster,
    CrashingCopier,
    Node,
    ShortAuditState,
)
from features.subjects.control_state import print_customers

MAX_SEEDS = 3
START_SPREAD_S = 0.3
DOWN_S = 1.0
MAX_DOWN_S = 3.0
# From the start of the machines to the start of traffic, on the platform's pages.
FIRST_LIMIT_S = 12.0
# A machine counts as lost for this time after it is back.
CATCH_UP_S = 4.5
# After losses that overlap, service may be suspended for this time.
RECOVERY_S = 12.0
ELECTION_TIMEOUT_S = 0.6


class FoundedCluster(ControlCluster):
    """A fleet with seeds at its first start, with disks that are lost later."""

    state_class = ShortAuditState

    def __init__(
        self, seed: int, instances: int = 3, losses: int = 1, start_all: bool = True
    ) -> None:
        self.losses = losses
        self.start_all = start_all
        self.settings: dict[InstanceId, Settings] = {}
        self.lose_at_ack = False
        self.first_acked_at: float | None = None
        self.lost: list[InstanceId] = []
        super().__init__(seed, instances)

    def create_nodes(self, voters: int) -> None:
        self.names = []
        hosts = [f"10.0.0.{number}" for number in range(1, voters + 1)]
        seeds = [Address(f"{host}:8000") for host in hosts[:MAX_SEEDS]]
        self.rng.shuffle(seeds)
        for host in hosts:
            self.add_instance(host, seeds, first_start=True)
        if self.start_all:
            for node in self.nodes.values():
                self.start(node)

    def add_instance(self, host: str, seeds: list[Address], first_start: bool) -> Node:
        name = InstanceId(f"{host}:7000")
        self.names.append(name)
        self.settings[name] = Settings(
            instance_id=name,
            peer_address=Address(name),
            operator_address=Address(f"{host}:8000"),
            seeds=seeds,
            first_start=first_start,
            tolerated_losses=self.losses,
            election_timeout_s=ELECTION_TIMEOUT_S,
        )
        return self.add_node(name)

    def is_up(self, node: Node) -> bool:
        return node.name in self.network.nodes and super().is_up(node)

    def restart(self, node: Node) -> None:
        if node.name in self.nodes:
            super().restart(node)

    def start(self, node: Node) -> None:
        """Start an instance as a process does; it may have no files yet."""
        if node.start_count:
            self.update_seeds(node)
        settings = self.settings[node.name]
        with patch("secrets.token_hex", self.draw_suffix):
            prepare_files(settings, node.files)
        journal = Journal(node.files)
        voter = journal.read_identity().voter
        recovered = journal.recover()
        consensus = create_consensus(settings, voter, recovered)
        consensus.state.compact_entries = COMPACT_ENTRIES
        node.member = consensus.state.own_member
        archive = AuditArchive(node.files)
        state = self.state_class()
        node.replica = Replica(consensus, journal, state, recovered, archive)
        node.copier = AuditCopier(archive, state, lambda: self.list_others(node))
        node.start_count += 1
        copier = CrashingCopier(self, node)
        machines = [(node.replica, CONTROL_MESSAGES), (copier, COPY_MESSAGES)]
        self.network.start(node.name, machines)

    def update_seeds(self, node: Node) -> None:
        """Write the settings file of a later start, which names the present seeds."""
        self.settings[node.name] = replace(
            self.settings[node.name], seeds=self.list_seeds()
        )

    def draw_suffix(self, count: int) -> str:
        return self.rng.randbytes(count).hex()

    def list_others(self, node: Node) -> list[InstanceId]:
        return [name for name in self.names if name != node.name]

    def start_spread(self) -> None:
        """Start all instances within START_SPREAD_S, in any order."""
        for node in self.nodes.values():
            delay = self.rng.uniform(0.0, START_SPREAD_S)
            self.network.schedule(delay, lambda node=node: self.restart(node))

    def perform(self, instance: InstanceId, action: object, now: float) -> None:
        if instance in self.nodes:
            super().perform(instance, action, now)

    def settle(self, seconds: float = 12.0) -> None:
        for node in self.nodes.values():
            node.files.crash_at_operation = None
            self.restart(node)
        super().settle(seconds)

    def start_in_turn(self) -> None:
        """Start the first instance, and the others as late as they may come."""
        first, *others = self.nodes.values()
        self.start(first)
        for node in others:
            self.network.schedule(START_SPREAD_S, lambda node=node: self.restart(node))

    def list_seeds(self) -> list[Address]:
        """List the seeds that a settings file names now."""
        seeds = self.rng.sample(self.names, min(MAX_SEEDS, len(self.names)))
        return [self.settings[name].operator_address for name in seeds]

    # Losses.

    def crash(self, node: Node) -> None:
        if node.name in self.network.nodes:
            super().crash(node)

    def lose_disk(self, node: Node, down_s: float = DOWN_S) -> None:
        """Lose an instance with its disk; it is back after some time."""
        self.crash(node)
        node.files.delete_all()
        self.settings[node.name] = replace(self.settings[node.name], first_start=False)
        self.update_seeds(node)
        self.lost.append(node.name)
        self.network.schedule(down_s, lambda: self.restart(node))

    def replace_machine(self, node: Node, down_s: float = DOWN_S) -> None:
        """Lose an instance for good; another one comes at a new address."""
        self.crash(node)
        del self.nodes[node.name]
        self.names.remove(node.name)
        host = f"10.0.1.{len(self.settings) + 1}"
        seeds = self.list_seeds()
        successor = self.add_instance(host, seeds, first_start=False)
        self.lost.append(successor.name)
        self.network.schedule(down_s, lambda: self.restart(successor))

    def cut_power(self, kept: list[Node]) -> None:
        """Stop all other instances; they are back, with their disks, after a while."""
        for node in list(self.nodes.values()):
            if node not in kept:
                self.crash(node)
                delay = self.rng.uniform(0.1, 2.0)
                self.network.schedule(delay, lambda node=node: self.restart(node))

    def lose_tolerated(
        self, first: Node | None, count: int, spared: Node | None = None
    ) -> None:
        """Lose disks, maybe while all other instances lose power."""
        others = [
            node
            for node in self.nodes.values()
            if node is not first and node is not spared
        ]
        chosen = self.rng.sample(others, count)
        if first is not None and self.rng.random() < 0.7:
            chosen = [first, *chosen[:-1]]
        down_s = self.rng.choice((DOWN_S, self.rng.uniform(0.2, MAX_DOWN_S)))
        for node in chosen:
            if self.rng.random() < 0.75:
                self.lose_disk(node, down_s)
            else:
                self.replace_machine(node, down_s)
        if self.rng.random() < 0.6:
            self.cut_power(chosen)

    # Calls.

    def build_first(self, node: Node) -> SubmitConfiguration:
        return SubmitConfiguration(
            operator=OperatorId("operator"),
            submission="first",
            based_on=Version(0),
            text=print_customers("a b c d"),
        )

    def build_command(self, node: Node) -> object:
        if not self.observed.acknowledged:
            return self.build_first(node)
        return super().build_command(node)

    def finish_call(self, call, outcome, node) -> None:
        super().finish_call(call, outcome, node)
        if outcome is None:
            return
        if self.first_acked_at is None:
            self.first_acked_at = self.network.now
        if self.lose_at_ack:
            self.lose_at_ack = False
            # The answer to the operator leaves before the disk is lost.
            self.network.schedule(0.0, lambda: self.lose_tolerated(node, self.losses))

    def run_to_first_ack(self) -> None:
        limit = self.network.now + FIRST_LIMIT_S
        while self.first_acked_at is None:
            if self.network.now > limit:
                raise BrokenInvariant(f"no ack within {FIRST_LIMIT_S} s")
            self.run(0.1, calls_per_s=30.0)


class FoundingRun:
    """One first start with losses, followed by a run without faults."""

    def __init__(self, seed: int) -> None:
        generator = random.Random(seed)
        self.losses = generator.choice((1, 1, 1, 2))
        extra = generator.choice((0, 0, 1, 2))
        instances = 2 * self.losses + 1 + extra
        self.cluster = FoundedCluster(seed, instances, self.losses, start_all=False)
        self.rng = self.cluster.rng

    def run(self) -> None:
        cluster = self.cluster
        cluster.start_spread()
        if self.rng.random() < 0.3:
            self._lose_early()
        at_first_ack = self.rng.random() < 0.5
        cluster.lose_at_ack = at_first_ack
        cluster.run_to_first_ack()
        if not at_first_ack:
            cluster.run(self.rng.uniform(0.0, 1.5), calls_per_s=20.0)
            cluster.lose_tolerated(None, self.losses)
        for _ in range(self.rng.randint(0, 2)):
            cluster.run(MAX_DOWN_S + CATCH_UP_S)
            cluster.lose_at_ack = True
            cluster.run(3.0, calls_per_s=20.0)
        cluster.run(self.rng.uniform(0.0, 6.0))
        cluster.settle()

    def run_overlapping(self) -> None:
        """Lose disks while another instance is cut off, which keeps its disk."""
        cluster = self.cluster
        cluster.start_spread()
        cluster.run_to_first_ack()
        cluster.run(3.0, calls_per_s=20.0)
        for _ in range(self.rng.randint(1, 3)):
            cut_off = self.rng.choice(list(cluster.nodes.values()))
            cluster.network.isolate(cut_off.name)
            cluster.run(self.rng.uniform(1.0, 4.0), calls_per_s=20.0)
            others = [node for node in cluster.nodes.values() if node is not cut_off]
            cluster.lose_tolerated(self.rng.choice(others), self.losses, cut_off)
            cluster.run(self.rng.uniform(0.0, 4.0))
            cluster.network.heal()
            cluster.run(RECOVERY_S)
        cluster.settle()

    def _lose_early(self) -> None:
        """Lose one disk, or the power of some instances, before any ack."""
        cluster = self.cluster
        node = self.rng.choice(list(cluster.nodes.values()))
        delay = self.rng.uniform(0.0, 0.8)
        if self.rng.random() < 0.5:
            cluster.network.schedule(delay, lambda: cluster.lose_disk(node))
            cluster.run(delay + DOWN_S + CATCH_UP_S)
            return
        if self.rng.random() < 0.5:
            cluster.run(delay)
            cluster.cut_power([])
            return
        # A process that is killed before it has written its files comes back as one
        # that has lost its disk.
        node.files.crash_at_operation = self.rng.randint(1, 12)
        cluster.run(delay)
        if not cluster.is_up(node):
            cluster.lose_disk(node)


RUNS: dict[str, Callable[[FoundingRun], None]] = {
    "losses": FoundingRun.run,
    "overlaps": FoundingRun.run_overlapping,
}


def run_seed(kind: str, seed: int) -> FoundedCluster:
    """Run one first start with losses; raise BrokenInvariant on a violation."""
    run = FoundingRun(seed)
    try:
        RUNS[kind](run)
    except CrashPoint as error:
        raise AssertionError("a crash reached the run") from error
    return run.cluster


def run_first_loss(power: bool) -> FoundedCluster:
    """Lose the disk of the instance that acknowledged the first configuration."""
    cluster = FoundedCluster(1, start_all=False)
    cluster.start_in_turn()
    cluster.run_to_first_ack()
    leader = cluster.find_leader()
    cluster.lose_disk(leader)
    if power:
        cluster.cut_power([leader])
    cluster.settle()
    return cluster


def run_early_loss(after_s: float) -> FoundedCluster:
    """Lose the disk of the lowest seed before anything is acknowledged."""
    cluster = FoundedCluster(1, start_all=False)
    cluster.start_in_turn()
    cluster.network.run_until(after_s)
    cluster.lose_disk(cluster.nodes[min(cluster.names)])
    cluster.run_to_first_ack()
    cluster.settle()
    return cluster


def run_small_fleet(instances: int, losses: int) -> FoundedCluster:
    """Start a fleet that may have too few instances for its losses."""
    cluster = FoundedCluster(1, instances, losses, start_all=False)
    cluster.start_spread()
    cluster.run_to_first_ack()
    cluster.settle()
    return cluster


def run_late_seed(late_s: float) -> FoundedCluster:
    """Start two of three seeds, and the third one later; then lose another's disk."""
    cluster = FoundedCluster(1, start_all=False)
    *others, late = cluster.nodes.values()
    for node in others:
        cluster.start(node)
    cluster.run(redundancy.ABSENT_WAIT_S, calls_per_s=30.0)
    if cluster.find_leader() is None or cluster.observed.acknowledged:
        raise BrokenInvariant("two seeds have no leader, or acknowledge at once")
    cluster.run_to_first_ack()
    cluster.run(late_s - cluster.network.now)
    cluster.start(late)
    cluster.run(CATCH_UP_S)
    leader = cluster.find_leader()
    cluster.lose_disk(leader)
    cluster.cut_power([leader])
    cluster.settle()
    return cluster


def run_absent_seed(instances: int, losses: int, absent: int) -> FoundedCluster:
    """Start a fleet of which one seed never comes up."""
    cluster = FoundedCluster(1, instances, losses, start_all=False)
    nodes = list(cluster.nodes.values())
    for node in nodes:
        if node is not nodes[absent - 1]:
            cluster.start(node)
    cluster.run_to_first_ack()
    return cluster


def measure_election(instances: int, losses: int) -> float:
    """Kill the leader of a fleet, and return how long no change is acknowledged."""
    cluster = FoundedCluster(1, instances, losses, start_all=False)
    cluster.start_spread()
    cluster.run_to_first_ack()
    cluster.run(3.0, calls_per_s=20.0)
    cluster.crash(cluster.find_leader())
    killed_at = cluster.network.now
    known = len(cluster.observed.acknowledged)
    while len(cluster.observed.acknowledged) == known:
        cluster.run(0.1, calls_per_s=30.0)
        if cluster.network.now - killed_at > FIRST_LIMIT_S:
            break
    return cluster.network.now - killed_at


PROTECTIONS: dict[str, Callable[[], AbstractContextManager]] = {
    "wait for voters": lambda: patch.object(
        Leader, "_may_commit", lambda leader, index: True
    ),
    "voters known to exist": lambda: patch.object(
        redundancy, "is_present", lambda member, leadership: True
    ),
    "all seeds as first voters": lambda: patch.object(founding, "MIN_FOUNDERS", 99),
}


def find_failure(protection: str, seeds: int) -> tuple[int, str] | None:
    """Return the first seed whose run fails without a protection, and the error."""
    with PROTECTIONS[protection]():
        for seed in range(seeds):
            try:
                run_seed("losses", seed)
            except BrokenInvariant as error:
                return seed, str(error)
    return None
