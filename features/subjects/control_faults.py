"""Run a cluster of control replicas with faults chosen by a seed."""

from collections.abc import Callable

from burdockwall.fakes.network import NetworkConditions
from features.subjects.control_cluster import BrokenInvariant, ControlCluster, Node
from features.subjects.control_documents import DocumentsCluster, patch_bounds

HOUR_S = 3600.0


class FaultRun:
    """One kind of faults on one cluster, followed by a run without faults."""

    def __init__(self, cluster: ControlCluster) -> None:
        self.cluster = cluster
        self.rng = cluster.rng

    def choose_node(self) -> Node:
        return self.rng.choice(list(self.cluster.nodes.values()))

    def restart_later(self, node: Node) -> None:
        delay = self.rng.uniform(0.1, 4.0)
        self.cluster.network.schedule(delay, lambda: self.cluster.restart(node))

    def restart_crashed(self) -> None:
        """Start nodes that crashed at a sync point, each with a low probability."""
        for node in self.cluster.nodes.values():
            if not self.cluster.is_up(node) and self.rng.random() < 0.1:
                self.cluster.restart(node)

    def crash_at_syncs(self) -> None:
        self.restart_crashed()
        if self.rng.random() < 0.05:
            files = self.choose_node().files
            files.crash_at_operation = files.operations + self.rng.randint(1, 14)
        if self.rng.random() < 0.02:
            node = self.choose_node()
            self.cluster.crash(node)
            self.restart_later(node)
        if self.rng.random() < 0.01:
            self.restart_all()

    def restart_all(self) -> None:
        for node in self.cluster.nodes.values():
            self.cluster.crash(node)
        for node in self.cluster.nodes.values():
            self.restart_later(node)

    def break_network(self) -> None:
        self.restart_crashed()
        network, names = self.cluster.network, self.cluster.names
        draw = self.rng.random()
        if draw < 0.03:
            network.isolate(self.rng.choice(names))
        elif draw < 0.08:
            network.cut(self.rng.choice(names), self.rng.choice(names))
        elif draw < 0.12:
            network.heal()
        elif draw < 0.13:
            node = self.choose_node()
            self.cluster.crash(node)
            self.restart_later(node)

    def break_disks(self) -> None:
        self.restart_crashed()
        draw = self.rng.random()
        if draw < 0.02:
            self.choose_node().files.space_left = self.rng.randint(0, 3000)
        elif draw < 0.06:
            self.clear_full_disk(self.choose_node())
        elif draw < 0.08:
            self.restart_all()

    def clear_full_disk(self, node: Node) -> None:
        if node.files.space_left is not None:
            self.cluster.crash(node)
            self.restart_later(node)

    def run_crashes(self) -> None:
        conditions = NetworkConditions(
            0.0005, self.rng.choice((0.003, 0.05)), 0.02, 0.02
        )
        self.cluster.network.conditions = conditions
        self.cluster.run(18.0, fault=self.crash_at_syncs)
        self.cluster.settle()

    def run_network(self) -> None:
        loss = self.rng.choice((0.0, 0.05, 0.2))
        conditions = NetworkConditions(
            0.0005, self.rng.choice((0.003, 0.1, 0.6)), loss, 0.1
        )
        self.cluster.network.conditions = conditions
        for name in self.cluster.names:
            node = self.cluster.network.nodes[name]
            node.clock_offset_s = self.rng.uniform(0.0, 500.0)
        self.cluster.run(18.0, fault=self.break_network)
        self.cluster.settle()

    def run_disks(self) -> None:
        self.cluster.run(8.0, fault=self.break_disks)
        self.cluster.settle(4.0)
        first, second = self.rng.sample(list(self.cluster.nodes.values()), 2)
        self.replace(first)
        # A second disk or instance is lost as soon as the first is repaired.
        if self.rng.random() < 0.5:
            self.cluster.crash(second)
            self.cluster.run(4.0)
            self.cluster.restart(second)
        else:
            self.replace(second)
        self.cluster.run(3.0)
        self.cluster.settle()

    def replace(self, node: Node) -> None:
        """Lose the disk of a node and wait until its replacement is a voter."""
        cluster = self.cluster
        cluster.replace(node)
        limit = cluster.network.now + 40.0
        while not self.is_repaired(node):
            if cluster.network.now > limit:
                raise BrokenInvariant(f"{node.name} is not repaired")
            cluster.run(0.25)

    def is_repaired(self, node: Node) -> bool:
        leader = self.cluster.find_leader()
        if leader is None:
            return False
        state = leader.replica.consensus.state
        committed = state.log.membership_index <= state.commit_index
        return committed and state.log.membership.is_voter(node.member.voter)

    def run_documents(self) -> None:
        runs = (FaultRun.run_crashes, FaultRun.run_network, FaultRun.run_disks)
        with patch_bounds():
            runs[self.cluster.seed % len(runs)](self)

    def run_isolated_hour(self) -> None:
        cluster = self.cluster
        cluster.run(3.0)
        isolated = self.choose_node()
        cluster.network.isolate(isolated.name)
        cluster.run(10.0)
        self.run_idle(HOUR_S)
        cluster.run(3.0)
        cluster.settle()

    def run_idle(self, seconds: float) -> None:
        """Run without client calls; at most one change of leader may happen."""
        cluster = self.cluster
        before = cluster.observed.leaders.copy()
        cluster.network.run_until(cluster.network.now + seconds)
        if len(cluster.observed.leaders) > len(before) + 1:
            raise BrokenInvariant("an isolated voter causes elections by the others")


RUNS: dict[str, Callable[[FaultRun], None]] = {
    "crashes": FaultRun.run_crashes,
    "network": FaultRun.run_network,
    "disks": FaultRun.run_disks,
    "hour": FaultRun.run_isolated_hour,
    "documents": FaultRun.run_documents,
}
CLUSTERS = {"documents": DocumentsCluster}


def run_seed(kind: str, seed: int, cluster_class=None) -> ControlCluster:
    """Run one kind of faults from one seed; raise BrokenInvariant on a violation."""
    voters = 5 if seed % 5 == 0 else 3
    cluster_class = cluster_class or CLUSTERS.get(kind, ControlCluster)
    cluster = cluster_class(seed, voters)
    RUNS[kind](FaultRun(cluster))
    return cluster
