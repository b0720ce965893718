"""Send followers the control state and member list versions that they lack."""

from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar

import msgspec

from burdockwall.machine import Send
from burdockwall.process.control.changes import Change, Document
from burdockwall.process.membership.documents import DocumentPatches
from burdockwall.process.membership.member_list import MemberList
from burdockwall.process.membership.messages import (
    AskChanges,
    ChangesOutline,
    DocumentOutline,
    MemberListVersion,
    OutlineReceived,
    SnapshotOutline,
    StateChanges,
    StateSnapshot,
)
from burdockwall.process.membership.timing import (
    LARGE_FLEET_MEMBERS,
    LARGE_RESEND_CHANGES_S,
    RESEND_CHANGES_S,
    RESEND_OUTLINE_S,
    RESEND_SNAPSHOT_S,
)
from burdockwall.types import DocumentName, Incarnation, InstanceId, Version

# What an outline may carry of one document over the thin link of a relay.
RELAY_PATCH_BYTES = 8192


class StateReader(Protocol):
    """Source of the versions that a publisher sends."""

    @property
    def version(self) -> Version:
        """Return the latest version."""
        ...

    def changes_since(self, version: Version) -> list[Change] | None:
        """Return the changes of later versions, or None if they are not stored."""
        ...

    def take_snapshot(self) -> StateSnapshot:
        """Return the complete state at the latest version."""
        ...


V = TypeVar("V", Version, MemberListVersion)


class _Progress(msgspec.Struct, Generic[V]):
    """The version that a follower has if every message to it has arrived.

    Until `awaited_until`, in seconds, the follower may report versions earlier than
    `awaited`, since the messages may still be in transit. After that they count as
    lost, whatever has been sent since.
    """

    sent: V
    reported: V
    awaited: V
    awaited_until: float = float("-inf")

    def record_report(self, version: V, now: float, wait_s: float) -> None:
        """Record a reported version; what was sent since has `wait_s` to arrive."""
        self.reported = max(self.reported, version)
        if version >= self.awaited:
            self.sent = max(self.sent, version)
            self._await_confirmation(now, wait_s)
        elif now >= self.awaited_until:
            self.forget_sent(version)

    def forget_sent(self, version: V) -> None:
        """Assume that nothing after a version has arrived."""
        self.sent = self.reported = self.awaited = version
        self.awaited_until = float("-inf")

    def is_overdue(self, now: float) -> bool:
        """Return whether a message that was sent counts as lost."""
        return self.reported < self.awaited and now >= self.awaited_until

    def find_held(self, now: float) -> V:
        """Return the version that the next message has to follow."""
        if self.is_overdue(now):
            self.forget_sent(self.reported)
        return self.sent

    def record_sent(self, version: V, now: float, wait_s: float) -> None:
        """Record that a message with a version is sent now."""
        self.sent = version
        if self.reported >= self.awaited:
            self._await_confirmation(now, wait_s)

    def _await_confirmation(self, now: float, wait_s: float) -> None:
        if self.sent > self.awaited:
            self.awaited = self.sent
            self.awaited_until = now + wait_s


def _start_state() -> _Progress[Version]:
    return _Progress(Version(0), Version(0), Version(0))


def _start_list() -> _Progress[MemberListVersion]:
    earliest = MemberListVersion()
    return _Progress(earliest, earliest, earliest)


class _FollowerProgress(msgspec.Struct):
    """What one incarnation of a follower has of the control state and member list."""

    incarnation: Incarnation
    reads_outlines: bool = False
    state: _Progress[Version] = msgspec.field(default_factory=_start_state)
    member_list: _Progress[MemberListVersion] = msgspec.field(
        default_factory=_start_list
    )


class Publisher:
    """Sender that tracks each follower's versions, to avoid early retransmissions.

    Followers that read outlines get patches of up to `patch_bytes` a document with
    them; others get whole documents.
    """

    def __init__(
        self,
        state: StateReader,
        member_list: MemberList,
        patches: DocumentPatches | None = None,
        patch_bytes: int = RELAY_PATCH_BYTES,
    ) -> None:
        self.state = state
        self.member_list = member_list
        self.patches = patches or DocumentPatches()
        self.patch_bytes = patch_bytes
        self._followers: dict[InstanceId, _FollowerProgress] = {}

    def update(
        self,
        follower: InstanceId,
        incarnation: Incarnation,
        version: Version,
        list_version: MemberListVersion,
        now: float,
        reads_outlines: bool = False,
    ) -> list[Send]:
        """Record the versions that a follower reports and send what it lacks."""
        progress = self._find_progress(follower, incarnation)
        progress.reads_outlines = reads_outlines
        wait_s = self._get_resend_s()
        progress.state.record_report(version, now, wait_s)
        progress.member_list.record_report(list_version, now, wait_s)
        return self._build_sends(follower, progress, now)

    def resend(self, follower: InstanceId, asked: AskChanges, now: float) -> list[Send]:
        """Send everything that a follower lacks that has missed messages."""
        progress = self._find_progress(follower, asked.incarnation)
        progress.reads_outlines = asked.reads_outlines
        progress.state.forget_sent(asked.version)
        progress.member_list.forget_sent(asked.list_version)
        return self._build_sends(follower, progress, now)

    def confirm(
        self, follower: InstanceId, received: OutlineReceived, now: float
    ) -> None:
        """Record that an outline has arrived, so that it isn't sent again."""
        progress = self._followers.get(follower)
        if progress is not None and progress.incarnation == received.incarnation:
            progress.state.record_report(received.version, now, RESEND_OUTLINE_S)

    def resend_lost(self, followers: Iterable[InstanceId], now: float) -> list[Send]:
        """Send outlines again that these followers have not confirmed."""
        sends: list[Send] = []
        for follower in followers:
            progress = self._followers.get(follower)
            if progress is None or not progress.reads_outlines:
                continue
            if progress.state.is_overdue(now):
                sends += self._build_sends(follower, progress, now)
        return sends

    def _find_progress(
        self, follower: InstanceId, incarnation: Incarnation
    ) -> _FollowerProgress:
        progress = self._followers.get(follower)
        if progress is None or progress.incarnation != incarnation:
            progress = _FollowerProgress(incarnation)
            self._followers[follower] = progress
        return progress

    def push(self, followers: Iterable[InstanceId], now: float) -> list[Send]:
        """Send these followers what they lack according to their tracked versions."""
        sends: list[Send] = []
        for follower in followers:
            progress = self._followers.get(follower)
            if progress is not None:
                sends.extend(self._build_sends(follower, progress, now))
        return sends

    def retain(self, followers: Iterable[InstanceId]) -> None:
        """Drop the tracked versions of all followers but these."""
        names = set(followers)
        self._followers = {
            name: progress
            for name, progress in self._followers.items()
            if name in names
        }

    def _build_sends(
        self, follower: InstanceId, progress: _FollowerProgress, now: float
    ) -> list[Send]:
        sends: list[Send] = []
        if progress.state.find_held(now) < self.state.version:
            sends.append(Send(follower, self._build_state_update(progress, now)))
        held = progress.member_list.find_held(now)
        update = self.member_list.build_update_since(held)
        if update is not None:
            latest = self.member_list.version
            progress.member_list.record_sent(latest, now, self._get_resend_s())
            sends.append(Send(follower, update))
        return sends

    def _build_state_update(
        self, progress: _FollowerProgress, now: float
    ) -> StateChanges | StateSnapshot | ChangesOutline | SnapshotOutline:
        if progress.reads_outlines:
            return self._build_outline(progress.state, now)
        return self._build_whole(progress.state, now)

    def _build_whole(
        self, progress: _Progress[Version], now: float
    ) -> StateChanges | StateSnapshot:
        since = progress.sent
        latest = self.state.version
        changes = self.state.changes_since(since)
        if changes is None:
            progress.record_sent(latest, now, RESEND_SNAPSHOT_S)
            return self.state.take_snapshot()
        progress.record_sent(latest, now, self._get_resend_s())
        return StateChanges(since, latest, drop_replaced(changes))

    def _build_outline(
        self, progress: _Progress[Version], now: float
    ) -> ChangesOutline | SnapshotOutline:
        since = progress.sent
        latest = self.state.version
        progress.record_sent(latest, now, RESEND_OUTLINE_S)
        changes = self.state.changes_since(since)
        if changes is None:
            return self._outline_snapshot(self.state.take_snapshot())
        documents: dict[DocumentName, Document] = {}
        for change in changes:
            documents.update(change.documents)
        outlines = {
            name: self._outline(name, document, changes)
            for name, document in documents.items()
        }
        return ChangesOutline(since, latest, drop_documents(changes), outlines)

    def _outline(
        self, name: DocumentName, document: Document, changes: list[Change]
    ) -> DocumentOutline:
        count = sum(name in change.documents for change in changes)
        return self.patches.outline(name, document, count, self.patch_bytes)

    def _outline_snapshot(self, snapshot: StateSnapshot) -> SnapshotOutline:
        outlines = {
            name: self.patches.outline(name, document, 0, self.patch_bytes)
            for name, document in snapshot.documents.items()
        }
        return SnapshotOutline(
            snapshot.version,
            snapshot.sections,
            snapshot.keys,
            snapshot.shards,
            outlines,
        )

    def _get_resend_s(self) -> float:
        large = len(self.member_list.members) > LARGE_FLEET_MEMBERS
        return LARGE_RESEND_CHANGES_S if large else RESEND_CHANGES_S


def drop_replaced(changes: list[Change]) -> list[Change]:
    """Drop the documents that later ones of the changes replace.

    All are installed at once, and documents may be large.
    """
    kept: list[Change] = []
    replaced: set[DocumentName] = set()
    for change in reversed(changes):
        documents = {
            name: document
            for name, document in change.documents.items()
            if name not in replaced
        }
        replaced.update(documents)
        if len(documents) < len(change.documents):
            change = msgspec.structs.replace(change, documents=documents)
        kept.append(change)
    return kept[::-1]


def drop_documents(changes: list[Change]) -> list[Change]:
    """Drop the documents of changes."""
    return [
        msgspec.structs.replace(change, documents={}) if change.documents else change
        for change in changes
    ]
