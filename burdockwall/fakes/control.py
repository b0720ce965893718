"""A fake of the replicated control log."""

from collections.abc import Callable

from burdockwall.process.control.changes import Change, Document
from burdockwall.process.control.commands import AnyCommand, Outcome
from burdockwall.process.control.state import ControlState
from burdockwall.process.membership.messages import StateSnapshot
from burdockwall.process.membership.source import take_snapshot
from burdockwall.types import DocumentName, InstanceId, ShardId, Term, Version
from burdockwall.version.shards import ShardView


class FakeControlLog:
    """Committed control state with at most one leader; commits take no time."""

    def __init__(self) -> None:
        self.state = ControlState()
        self.term = Term(0)
        self.leader: InstanceId | None = None
        self.on_commit: Callable[[AnyCommand, Outcome], None] = lambda command, out: (
            None
        )

    def remove_leader(self) -> None:
        """Remove the leader, so that the log has none."""
        self.leader = None

    def elect(self, instance: InstanceId) -> None:
        """Make an instance the leader of the next term."""
        self.term = Term(self.term + 1)
        self.leader = instance

    def commit(self, command: AnyCommand, now: float) -> Outcome:
        """Apply a command to the state, and call `on_commit` with its outcome."""
        outcome = self.state.apply(command, now)
        self.on_commit(command, outcome)
        return outcome


class FakeSource:
    """The fake log as one control instance reads it."""

    def __init__(self, instance: InstanceId, log: FakeControlLog) -> None:
        self.instance = instance
        self.log = log

    @property
    def version(self) -> Version:
        """Return the latest version."""
        return self.log.state.version

    @property
    def term(self) -> Term:
        """Return the latest term."""
        return self.log.term

    @property
    def leader(self) -> InstanceId | None:
        """Return the leader, if there is one."""
        return self.log.leader

    def is_leader_confirmed(self, now: float) -> bool:
        """Return whether this instance leads."""
        return self.log.leader == self.instance

    def changes_since(self, version: Version) -> list[Change] | None:
        """Return the changes since a version, or None if they are not retained."""
        return self.log.state.changes_since(version)

    def take_snapshot(self) -> StateSnapshot:
        """Return a snapshot of the latest version."""
        return take_snapshot(self.log.state)

    def get_shards(self) -> dict[ShardId, ShardView]:
        """Return the latest view of each shard."""
        return self.log.state.shards

    def find_document(self, name: DocumentName) -> Document | None:
        """Return the latest document of a name."""
        return self.log.state.documents.get(name)
