"""Disable one protection, to show that the fault runs detect its absence."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager, nullcontext
from unittest.mock import patch

from burdockwall.fakes.files import FakeFiles
from burdockwall.process.control.consensus_state import ConsensusState
from burdockwall.process.control.copier import AuditCopier
from burdockwall.process.control.election import Election
from burdockwall.process.control.entries import HardState, Member
from burdockwall.process.control.events import ReadReady
from burdockwall.process.control.leader import Leader
from burdockwall.process.control.state import ControlState
from features.subjects.control_cluster import CLUSTER, ControlCluster
from features.subjects.control_faults import run_seed


class ReusedIdentityCluster(ControlCluster):
    """Cluster in which an instance with a lost disk keeps its old identity."""

    def replace(self, node):
        self.crash(node)
        node.files.delete_all()
        node.member = Member(node.member.voter, node.name, voting=True)
        self.create_files(node, [HardState(CLUSTER)])
        self.start(node)


def skip_sync(files, name):
    files._crash_if_due(files._count_operation())


def send_at_once(state, to, message):
    state.send(to, message)


def read_at_once(leader, event):
    leader.state.actions.append(ReadReady(event.call))


def find_minority_value(values):
    ordered = sorted(values, reverse=True)
    return ordered[(len(ordered) - 1) // 2 - 1] if len(ordered) > 2 else ordered[0]


_QUORUM_FUNCTION = "burdockwall.process.control.leadership.find_quorum_value"

PROTECTIONS: dict[str, tuple[str, Callable]] = {
    "sync": ("crashes", lambda: patch.object(FakeFiles, "sync", skip_sync)),
    "answer after sync": (
        "crashes",
        lambda: patch.object(ConsensusState, "send_synced", send_at_once),
    ),
    "log comparison": (
        "network",
        lambda: patch.object(
            Election, "_is_log_up_to_date", lambda election, message: True
        ),
    ),
    "majority": ("network", lambda: patch(_QUORUM_FUNCTION, find_minority_value)),
    "read round": (
        "network",
        lambda: patch.object(Leader, "read", read_at_once),
    ),
    "stored outcome": (
        "network",
        lambda: patch.object(
            ControlState, "_store_outcome", lambda state, stored: None
        ),
    ),
    "new identity": ("disks", nullcontext),
    "copied audit records": (
        "disks",
        lambda: patch.object(AuditCopier, "_request_missing", lambda copier, now: []),
    ),
}


@contextmanager
def disable(name: str) -> Iterator[type[ControlCluster]]:
    """Run without one protection; yield the class of the cluster to run."""
    with PROTECTIONS[name][1]():
        yield ReusedIdentityCluster if name == "new identity" else ControlCluster


def find_failure(name: str, seeds: int) -> tuple[int, str] | None:
    """Return the first seed whose run fails without a protection, and the error."""
    kind = PROTECTIONS[name][0]
    with disable(name) as cluster_class:
        for seed in range(seeds):
            try:
                run_seed(kind, seed, cluster_class)
            except Exception as error:  # noqa: BLE001
                return seed, repr(error)
    return None
