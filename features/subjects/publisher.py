"""Run one follower of a publisher whose state changes continuously."""

from burdockwall.process.control.changes import Change, ChangeLog, Document
from burdockwall.process.membership.member_list import MemberList
from burdockwall.process.membership.messages import (
    InstanceDetails,
    MemberChanges,
    MemberEntry,
    MemberListVersion,
    StateChanges,
    StateSnapshot,
)
from burdockwall.process.membership.publisher import Publisher
from burdockwall.process.membership.replica import StateReplica
from burdockwall.types import (
    Address,
    DocumentName,
    FailureDomain,
    Incarnation,
    InstanceId,
    MemberNumber,
    Role,
    Term,
    Version,
)

FOLLOWER = InstanceId("follower")
REPORT_INTERVAL_S = 1.0
STEP_S = 0.1
DOCUMENT = DocumentName("deployment")


class ChangingState:
    """Control state that stores only its most recent changes."""

    def __init__(self) -> None:
        self.version = Version(5)
        self.changes = ChangeLog()

    def accept_change(self, document_bytes: int | None = None) -> None:
        self.version = Version(self.version + 1)
        documents = {}
        if document_bytes is not None:
            documents[DOCUMENT] = Document(self.version, bytes(document_bytes))
        self.changes.append(Change(self.version, documents=documents))

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


class DocumentFollower:
    """A follower that misses versions of a large document."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.state = ChangingState()
        self.publisher = Publisher(self.state, MemberList())
        self.replica = StateReplica()
        self.sent_bytes = 0
        self.state.accept_change(size)
        self._report(0.0)

    def _report(self, now: float) -> None:
        sends = self.publisher.update(
            FOLLOWER, Incarnation(1), self.replica.version, MemberListVersion(), now
        )
        for send in sends:
            self._receive(send.message)

    def _receive(self, message: StateChanges | StateSnapshot) -> None:
        match message:
            case StateSnapshot():
                self.replica.install_snapshot(message)
            case StateChanges(changes=changes):
                self.sent_bytes += sum(change.measure_bytes() for change in changes)
                self.replica.install_changes(message)

    def miss(self, count: int) -> None:
        for _ in range(count):
            self.state.accept_change(self.size)
        self._report(10.0)


class LargeFleet:
    """A publisher whose followers report as seldom as members of a large fleet."""

    def __init__(self, members: int, interval_s: float) -> None:
        self.interval_s = interval_s
        self.state = ChangingState()
        member_list = MemberList()
        entries = [_build_entry(number) for number in range(1, members + 1)]
        version = MemberListVersion(Term(1), 1)
        member_list.install_changes(
            MemberChanges(MemberListVersion(), version, entries)
        )
        self.list_version = version
        self.publisher = Publisher(self.state, member_list)
        self.followers = [entry.details.instance for entry in entries]
        self.replicas = {name: StateReplica() for name in self.followers}
        self.sent: list[tuple[InstanceId, Version]] = []

    def run(self, seconds: float, report_s: float) -> None:
        reported_at = {
            name: -report_s * number / len(self.followers)
            for number, name in enumerate(self.followers)
        }
        now = changed_at = 0.0
        while now < seconds:
            now += STEP_S / 10
            if now - changed_at >= self.interval_s:
                changed_at = now
                self.state.accept_change()
                self._deliver(self.publisher.push(self.followers, now))
            for name in self.followers:
                if now - reported_at[name] >= report_s:
                    reported_at[name] = now
                    self._report(name, now)

    def _report(self, name: InstanceId, now: float) -> None:
        version = self.replicas[name].version
        self._deliver(
            self.publisher.update(name, Incarnation(1), version, self.list_version, now)
        )

    def _deliver(self, sends) -> None:
        for send in sends:
            replica = self.replicas[send.to]
            match send.message:
                case StateSnapshot() as snapshot:
                    replica.install_snapshot(snapshot)
                case StateChanges() as message:
                    self.sent += [(send.to, item.version) for item in message.changes]
                    replica.install_changes(message)


def _build_entry(number: int) -> MemberEntry:
    details = InstanceDetails(
        InstanceId(f"entry-{number}"),
        Incarnation(1),
        Role.ENTRY,
        "region",
        FailureDomain("a"),
        Address(f"10.0.0.{number}:1"),
        Address(f"10.0.0.{number}:2"),
    )
    return MemberEntry(MemberNumber(number), details)
