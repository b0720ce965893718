"""Hold the member list that an instance follows; stamps only go forward."""

from collections import deque

from burdockwall.process.membership.messages import (
    MemberChanges,
    MemberEntry,
    MemberSnapshot,
    Stamp,
)
from burdockwall.types import (
    EndpointId,
    EndpointState,
    Incarnation,
    InstanceId,
    MemberNumber,
)

KEPT_CHANGES = 256


class Roster:
    """Hold the members by number, the endpoints that are not live, and changes."""

    def __init__(self) -> None:
        self.stamp = Stamp()
        self.members: dict[MemberNumber, MemberEntry] = {}
        self.endpoints: dict[EndpointId, EndpointState] = {}
        self._numbers: dict[tuple[InstanceId, Incarnation], MemberNumber] = {}
        self._changes: deque[MemberChanges] = deque(maxlen=KEPT_CHANGES)

    def find_number(
        self, instance: InstanceId, incarnation: Incarnation
    ) -> MemberNumber | None:
        """Return the number of one incarnation of an instance, if it is listed."""
        return self._numbers.get((instance, incarnation))

    def list_entries(self) -> list[MemberEntry]:
        """List the members in the order of their numbers."""
        return [self.members[number] for number in sorted(self.members)]

    def install_snapshot(self, snapshot: MemberSnapshot) -> bool:
        """Become a later list and tell whether it was one."""
        if snapshot.stamp <= self.stamp:
            return False
        self.stamp = snapshot.stamp
        self.members = {item.number: item for item in snapshot.members}
        self.endpoints = dict(snapshot.endpoints)
        self._changes.clear()
        self._index()
        return True

    def install_changes(self, message: MemberChanges) -> bool:
        """Apply changes to exactly this list and tell whether they were applied."""
        if message.since != self.stamp or message.stamp <= self.stamp:
            return False
        for number in message.removed:
            self.members.pop(number, None)
        self.members.update((item.number, item) for item in message.changed)
        self.endpoints = _merge_endpoints(self.endpoints, message.endpoints)
        self.stamp = message.stamp
        self._changes.append(message)
        self._index()
        return True

    def _index(self) -> None:
        self._numbers = {
            (item.details.instance, item.details.incarnation): number
            for number, item in self.members.items()
        }

    def note_base(self, stamp: Stamp) -> None:
        """Note that this list equals another leader's list."""
        self._changes.append(MemberChanges(stamp, self.stamp))

    def answer_since(self, stamp: Stamp) -> MemberChanges | MemberSnapshot | None:
        """Return what a follower of an earlier list lacks."""
        if stamp >= self.stamp:
            return None
        kept = list(self._changes)
        for position, message in enumerate(kept):
            if message.since == stamp:
                return _join_changes(kept[position:])
        return MemberSnapshot(self.stamp, self.list_entries(), self.endpoints)


def _merge_endpoints(
    old: dict[EndpointId, EndpointState], later: dict[EndpointId, EndpointState]
) -> dict[EndpointId, EndpointState]:
    merged = old | later
    return {
        name: state for name, state in merged.items() if state is not EndpointState.LIVE
    }


def _join_changes(parts: list[MemberChanges]) -> MemberChanges:
    if len(parts) == 1:
        return parts[0]
    changed: dict[MemberNumber, MemberEntry] = {}
    removed: dict[MemberNumber, None] = {}
    endpoints: dict[EndpointId, EndpointState] = {}
    for part in parts:
        for number in part.removed:
            changed.pop(number, None)
            removed[number] = None
        for item in part.changed:
            changed[item.number] = item
            removed.pop(item.number, None)
        endpoints |= part.endpoints
    return MemberChanges(
        parts[0].since,
        parts[-1].stamp,
        list(changed.values()),
        list(removed),
        endpoints,
    )
