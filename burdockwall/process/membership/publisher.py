"""Send followers the versions and member lists that they lack."""

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
    """Read the versions that are passed on."""

    @property
    def version(self) -> Version:
        """Return the latest version."""
        ...

    def changes_since(self, version: Version) -> list[Change] | None:
        """Return what later versions changed, or None where that is not kept."""
        ...

    def take_snapshot(self) -> StateSnapshot:
        """Return the whole of the latest version."""
        ...


@dataclass(slots=True)
class _Follower:
    """Hold what a follower has, if all that was sent has arrived.

    Until the times of the first messages that it has not confirmed, what it reports
    may be older than what is on its way to it.
    """

    incarnation: Incarnation
    version: Version = Version(0)
    version_pending_until: float = float("-inf")
    list_version: MemberListVersion = MemberListVersion()
    list_pending_until: float = float("-inf")


class Publisher:
    """Remember what each follower was sent, so that nothing is sent twice soon."""

    def __init__(self, state: StateReader, member_list: MemberList) -> None:
        self.state = state
        self.member_list = member_list
        self._followers: dict[InstanceId, _Follower] = {}

    def update(
        self,
        follower: InstanceId,
        incarnation: Incarnation,
        version: Version,
        list_version: MemberListVersion,
        now: float,
    ) -> list[Send]:
        """Take what a follower reports and send it what it lacks."""
        known = self._followers.get(follower)
        if known is None or known.incarnation != incarnation:
            known = _Follower(incarnation)
            self._followers[follower] = known
        # What was sent lately may still be on its way.
        if now >= known.version_pending_until or version > known.version:
            known.version = version
        if now >= known.list_pending_until or list_version > known.list_version:
            known.list_version = list_version
        return self._send(follower, known, now)

    def push(self, followers: Iterable[InstanceId], now: float) -> list[Send]:
        """Send followers what they lack as far as is known."""
        sends: list[Send] = []
        for follower in followers:
            known = self._followers.get(follower)
            if known is not None:
                sends.extend(self._send(follower, known, now))
        return sends

    def retain(self, kept: Iterable[InstanceId]) -> None:
        """Forget all followers but these."""
        names = set(kept)
        self._followers = {
            name: known for name, known in self._followers.items() if name in names
        }

    def _send(self, follower: InstanceId, known: _Follower, now: float) -> list[Send]:
        sends: list[Send] = []
        if known.version < self.state.version:
            sends.append(Send(follower, self._answer_state(known, now)))
        answer = self.member_list.build_update_since(known.list_version)
        if answer is not None:
            known.list_version = self.member_list.version
            if now >= known.list_pending_until:
                known.list_pending_until = now + RESEND_CHANGES_S
            sends.append(Send(follower, answer))
        return sends

    def _answer_state(
        self, known: _Follower, now: float
    ) -> StateChanges | StateSnapshot:
        since = known.version
        changes = self.state.changes_since(since)
        known.version = self.state.version
        pending = now < known.version_pending_until
        if changes is None:
            known.version_pending_until = now + RESEND_SNAPSHOT_S
            return self.state.take_snapshot()
        if not pending:
            known.version_pending_until = now + RESEND_CHANGES_S
        return StateChanges(since, known.version, changes)
