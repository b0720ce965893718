"""Send followers the control state and member list versions that they lack."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from burdockwall.machine import Send
from burdockwall.process.control.changes import Change
from burdockwall.process.membership.member_list import MemberList
from burdockwall.process.membership.messages import (
    MemberListVersion,
    StateChanges,
    StateSnapshot,
)
from burdockwall.process.membership.timing import RESEND_CHANGES_S, RESEND_SNAPSHOT_S
from burdockwall.types import Incarnation, InstanceId, Version


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


@dataclass(slots=True)
class _FollowerProgress:
    """State that a follower has if every message to it has arrived.

    Until `version_pending_until` and `list_pending_until`, in seconds, the follower
    may report older versions than it has been sent.
    """

    incarnation: Incarnation
    version: Version = Version(0)
    version_pending_until: float = float("-inf")
    list_version: MemberListVersion = MemberListVersion()
    list_pending_until: float = float("-inf")


class Publisher:
    """Sender that tracks each follower's versions, to avoid early retransmissions."""

    def __init__(self, state: StateReader, member_list: MemberList) -> None:
        self.state = state
        self.member_list = member_list
        self._followers: dict[InstanceId, _FollowerProgress] = {}

    def update(
        self,
        follower: InstanceId,
        incarnation: Incarnation,
        version: Version,
        list_version: MemberListVersion,
        now: float,
    ) -> list[Send]:
        """Record the versions that a follower reports and send what it lacks."""
        progress = self._followers.get(follower)
        if progress is None or progress.incarnation != incarnation:
            progress = _FollowerProgress(incarnation)
            self._followers[follower] = progress
        # Messages that were sent recently may still be in transit.
        if now >= progress.version_pending_until or version > progress.version:
            progress.version = version
        if now >= progress.list_pending_until or list_version > progress.list_version:
            progress.list_version = list_version
        return self._build_sends(follower, progress, now)

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
        if progress.version < self.state.version:
            sends.append(Send(follower, self._build_state_update(progress, now)))
        update = self.member_list.build_update_since(progress.list_version)
        if update is not None:
            progress.list_version = self.member_list.version
            if now >= progress.list_pending_until:
                progress.list_pending_until = now + RESEND_CHANGES_S
            sends.append(Send(follower, update))
        return sends

    def _build_state_update(
        self, progress: _FollowerProgress, now: float
    ) -> StateChanges | StateSnapshot:
        since = progress.version
        changes = self.state.changes_since(since)
        progress.version = self.state.version
        pending = now < progress.version_pending_until
        if changes is None:
            progress.version_pending_until = now + RESEND_SNAPSHOT_S
            return self.state.take_snapshot()
        if not pending:
            progress.version_pending_until = now + RESEND_CHANGES_S
        return StateChanges(since, progress.version, changes)
