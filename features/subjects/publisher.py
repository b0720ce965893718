"""Run one follower of a publisher whose state changes continuously."""

from burdockwall.process.control.changes import Change, ChangeLog
from burdockwall.process.membership.member_list import MemberList
from burdockwall.process.membership.messages import (
    MemberListVersion,
    StateChanges,
    StateSnapshot,
)
from burdockwall.process.membership.publisher import Publisher
from burdockwall.process.membership.replica import StateReplica
from burdockwall.types import Incarnation, InstanceId, Version

FOLLOWER = InstanceId("follower")
REPORT_INTERVAL_S = 1.0
STEP_S = 0.1


class ChangingState:
    """Control state that stores only its most recent changes."""

    def __init__(self) -> None:
        self.version = Version(5)
        self.changes = ChangeLog()

    def accept_change(self) -> None:
        self.version = Version(self.version + 1)
        self.changes.append(Change(self.version))

    def changes_since(self, version):
        if version >= self.version:
            return []
        return self.changes.list_since(version)

    def take_snapshot(self) -> StateSnapshot:
        return StateSnapshot(self.version, {}, {})


class PublisherSubject:
    """Publisher and a follower that reports every second while the state changes."""

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s
        self.state = ChangingState()
        self.publisher = Publisher(self.state, MemberList())
        self.replica = StateReplica()
        self.now = 0.0
        self.changed_at = 0.0
        self.reported_at = -REPORT_INTERVAL_S
        self.lost_until = 0.0
        self.incarnation = Incarnation(1)

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            self._step()

    def _step(self) -> None:
        sends = []
        if self.now - self.changed_at >= self.interval_s:
            self.changed_at = self.now
            self.state.accept_change()
            sends += self.publisher.push([FOLLOWER], self.now)
        if self.now - self.reported_at >= REPORT_INTERVAL_S:
            self.reported_at = self.now
            sends += self.publisher.update(
                FOLLOWER,
                self.incarnation,
                self.replica.version,
                MemberListVersion(),
                self.now,
            )
        if self.now < self.lost_until:
            return
        for send in sends:
            match send.message:
                case StateSnapshot() as snapshot:
                    self.replica.install_snapshot(snapshot)
                case StateChanges() as changes:
                    self.replica.install_changes(changes)

    def restart(self) -> None:
        self.replica = StateReplica()
        self.incarnation += 1
        self.reported_at = self.now - REPORT_INTERVAL_S

    def is_behind(self) -> bool:
        """Return whether the follower is more than one version behind."""
        return self.replica.version < self.state.version - 1
