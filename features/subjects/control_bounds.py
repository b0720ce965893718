"""Measure what control replicas keep while large documents change."""

import base64
import random
import tempfile
import tracemalloc
from pathlib import Path

import msgspec

from burdockwall.errors import OperatorError
from burdockwall.fakes.files import FakeFiles
from burdockwall.fakes.network import NetworkConditions
from burdockwall.machine import Tick
from burdockwall.process.control.commands import PutDocument, SubmitConfiguration
from burdockwall.process.control.configurations import Configurations
from burdockwall.process.control.documents import create_put
from burdockwall.process.control.events import Propose
from burdockwall.process.control.files import DiskFiles
from burdockwall.process.control.log import measure_entry
from burdockwall.process.control.opening import bootstrap_replica, open_replica
from burdockwall.process.control.replica import Flush, Replica, encode_command
from burdockwall.process.control.state import ControlState
from burdockwall.settings import Settings
from burdockwall.types import CallId, DocumentName, OperatorId, Version
from burdockwall.version.keys import compute_digest
from features.subjects.control_cluster import ControlCluster, Node
from features.subjects.control_documents import create_consensus
from features.subjects.control_site import TOKEN, ControlSite

NAME = DocumentName("document")
MB = 1_000_000
CATCH_UP_S = 4.5


def build_put(number: int, size: int) -> PutDocument:
    """Build a put of a document that doesn't compress."""
    return PutDocument(
        operator=OperatorId("operator"),
        submission=f"{NAME} {number}",
        name=NAME,
        number=number,
        data=random.Random(number).randbytes(size),
    )


class MeasuredDisk(DiskFiles):
    """A data folder whose greatest size is recorded."""

    peak_bytes = 0

    def write(self, name, offset, data) -> None:
        """Write, and record the size of all files."""
        super().write(name, offset, data)
        sizes = [path.stat().st_size for path in self.folder.iterdir()]
        self.peak_bytes = max(self.peak_bytes, sum(sizes))


class DiskReplica:
    """The only voter of a cluster, with its files on a disk."""

    def __init__(self) -> None:
        # /tmp may be in memory.
        self.folder = tempfile.TemporaryDirectory(dir=Path.cwd(), prefix=".bounds-")
        self.settings = Settings(data_folder=Path(self.folder.name))
        self.peak_bytes = self.peak_disk_bytes = 0
        self.last: PutDocument | None = None
        bootstrap_replica(self.settings)
        self.open()

    def open(self) -> None:
        """Open the replica, and let it elect itself and apply its log."""
        self.replica: Replica = open_replica(self.settings, ControlState())
        files = self.replica.storage.files
        files.close()
        self.files = MeasuredDisk(files.folder)
        self.replica.storage.files = self.replica.archive.files = self.files
        self.replica.handle(Tick(), 0.0)
        for _ in range(4):
            self.replica.handle(Flush(), 0.0)

    def store(self, count: int, size: int) -> None:
        """Store documents one after another and record the greatest sizes."""
        tracemalloc.start()
        for number in range(1, count + 1):
            self.last = build_put(number, size)
            data = encode_command(self.last, 0.0)
            self.replica.handle(Propose(CallId(number), data), 0.0)
            del data
            self.replica.handle(Flush(), 0.0)
            assert self.replica.state.documents[NAME].number == number
        self.record()

    def restart(self) -> None:
        """Restart the replica and record the greatest sizes."""
        self.files.close()
        del self.replica
        tracemalloc.start()
        self.open()
        self.record()

    def record(self) -> None:
        """Record the greatest memory and disk use since the start of the trace."""
        self.peak_bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        self.peak_disk_bytes = self.files.peak_bytes

    def close(self) -> None:
        """Remove the files."""
        self.files.close()
        self.folder.cleanup()


class MeasuredFiles(FakeFiles):
    """Files in memory whose greatest size is recorded."""

    peak_bytes = 0

    def write(self, name, offset, data) -> None:
        """Write, and record the size of all files."""
        super().write(name, offset, data)
        size = sum(len(file.content) for file in self._names.values())
        self.peak_bytes = max(self.peak_bytes, size)


class DocumentCluster(ControlCluster):
    """Three replicas that store large documents."""

    consensus_class = staticmethod(create_consensus)
    state_class = ControlState

    def __init__(self, size: int) -> None:
        self.size = size
        self.number = self.behind = 0
        self.slowest_s = 0.0
        self.kept_bytes = 0
        super().__init__(seed=1)
        self.network.run_until(5.0)

    def add_node(self, name):
        node = super().add_node(name)
        node.files = MeasuredFiles(random.Random(name))
        return node

    def build_command(self, node):
        self.number += 1
        return build_put(self.number, self.size)

    def perform(self, instance, action, now) -> None:
        super().perform(instance, action, now)
        self.measure()

    def measure(self) -> None:
        """Record the most that a replica keeps."""
        for node in self.list_up():
            if node.replica is not None:
                self.kept_bytes = max(self.kept_bytes, measure_kept(node.replica))

    def measure_disk(self) -> int:
        """Return the most that the files of a replica have taken."""
        return max(node.files.peak_bytes for node in self.nodes.values())

    def change(self) -> None:
        """Store the next document and wait until it is acknowledged."""
        command = self.build_command(None)
        started_at = self.network.now
        while command.submission not in self.observed.acknowledged:
            leader = self.find_leader()
            if leader is not None and not self.calls:
                self.propose(leader, command)
            self.network.run_until(self.network.now + 0.02)
            if self.network.now > started_at + 60.0:
                raise AssertionError(f"{command.submission} is not acknowledged")
        self.slowest_s = max(self.slowest_s, self.network.now - started_at)

    def change_often(self, count: int) -> None:
        """Store some documents at the pace of a storm of changes."""
        for _ in range(count):
            self.change()
            self.network.run_until(self.network.now + 0.3)

    def choose_follower(self) -> Node:
        """Return a replica that does not lead."""
        leader = self.find_leader()
        return next(node for node in self.nodes.values() if node is not leader)

    def hold_down(self, count: int, more: int) -> None:
        """Stop a follower for some changes and restart it for some more."""
        node = self.choose_follower()
        self.change()
        self.crash(node)
        self.change_often(count)
        self.restart(node)
        self.change_often(more)

    def join_slowly(self, count: int) -> None:
        """Replace a follower that lost its disk while documents change."""
        self.change_often(20)
        self.network.conditions = NetworkConditions(0.02, 0.025)
        node = self.choose_follower()
        self.replace(node)
        self.change_often(count)
        self.behind = self.number - node.replica.state.documents[NAME].number

    def send_to_cut_leader(self, count: int) -> None:
        """Cut the leader off and send it documents at once."""
        self.change()
        leader = self.find_leader()
        self.network.isolate(leader.name)
        for _ in range(count):
            self.propose(leader, self.build_command(leader))
        self.network.run_until(self.network.now + 4.0)

    def crash_while_writing(self, count: int) -> None:
        """Crash a follower at one step of its writes after another."""
        node = self.choose_follower()
        self.network.run_until(self.network.now + 1.0)
        for step in range(count):
            files = node.files
            files.crash_at_operation = files.operations + 3 + step % 40
            self.change_often(4)
            files.crash_at_operation = None
            self.restart(node)
            self.network.run_until(self.network.now + 1.0)

    def holds_last(self) -> bool:
        """Return whether all replicas soon hold the last document."""
        self.network.run_until(self.network.now + CATCH_UP_S)
        numbers = {
            node.replica.state.documents[NAME].number for node in self.nodes.values()
        }
        return numbers == {self.number}


def measure_kept(replica: Replica) -> int:
    """Return the bytes of log, state and snapshots that a replica keeps."""
    consensus, state = replica.consensus, replica.state
    log = sum(measure_entry(entry) for entry in consensus.state.log.entries)
    documents = sum(len(document.data) for document in state.documents.values())
    changes = sum(change.measure_bytes() for change in state.changes.list_all())
    outgoing = consensus.leader.outgoing
    transfer = consensus.follower.incoming.received + (
        len(outgoing.data) if outgoing is not None else 0
    )
    return log + documents + changes + transfer


class StoringSite(ControlSite):
    """Control instances on loopback that store documents, and the answers to puts."""

    def __init__(self, count: int) -> None:
        super().__init__(count)
        self.codes: list[int] = []
        self.grown: list[int] = []
        self.actions.append(lambda: self.put(5))

    async def put(self, number: int, token: str = TOKEN) -> None:
        """Send a document to the leader and record the answer and the log's growth."""
        control = self.nodes[self.find_leader()].control
        log = control.replica.consensus.state.log
        before = log.last_index
        command = create_put(NAME, number, b"%d" % number, OperatorId("root"))
        try:
            outcome = await control.run_command(command, compute_digest(token))
            self.codes.append(outcome.code)
        except OperatorError as error:
            self.codes.append(error.code.value.number)
        self.grown.append(log.last_index - before)
        self.held = control.state.documents[NAME].number

    async def put_repeatedly(self) -> None:
        """Send the document again, under other numbers, and with a wrong token."""
        await self.put(5)
        await self.put(4)
        await self.put(5, "wrong token")
        await self.put(6)

    async def put_without_majority(self) -> None:
        """Stop the followers and send the document again."""
        leader = self.find_leader()
        for name in [name for name in self.nodes if name != leader]:
            await self.stop(name)
        await self.put(5)


def build_history(count: int, size: int) -> Configurations:
    """Put configurations of a size in force that hardly compress."""
    configurations = Configurations()
    for number in range(1, count + 1):
        text = base64.b64encode(random.Random(number).randbytes(size * 3 // 4))
        configurations.replace({"": text.decode()})
        configurations.add_to_history(Version(number), OperatorId("operator"))
    return configurations


class RefusedSubmissions:
    """Submissions that a control state refuses, and their outcomes."""

    def __init__(self, count: int, size: int) -> None:
        self.state = ControlState()
        self.outcomes = [
            self.state.apply(self.build(number, size), 0.0) for number in range(count)
        ]
        self.again = self.state.apply(self.build(count - 1, size), 0.0)

    def build(self, number: int, size: int) -> SubmitConfiguration:
        """Build a submission with one fault, which is named in full."""
        return SubmitConfiguration(
            operator=OperatorId("operator"),
            submission=f"submission {number}",
            based_on=Version(0),
            text=f"[pool {number:0{size}d}]\nfault = 1\n",
        )

    def measure(self) -> int:
        """Return the bytes that the stored outcomes take in a snapshot."""
        return len(msgspec.msgpack.encode(list(self.state.outcomes.values())))
