"""Store the member list that an instance follows; its version never decreases."""

from collections import deque

from burdockwall.process.membership.messages import (
    MemberChanges,
    MemberEntry,
    MemberListVersion,
    MemberSnapshot,
)
from burdockwall.types import (
    EndpointId,
    EndpointState,
    Incarnation,
    InstanceId,
    MemberNumber,
)

MAX_STORED_CHANGES = 256


class MemberList:
    """Members by number, endpoints that are not live, and recent changes."""

    def __init__(self) -> None:
        self.version = MemberListVersion()
        self.members: dict[MemberNumber, MemberEntry] = {}
        self.endpoints: dict[EndpointId, EndpointState] = {}
        self._numbers: dict[tuple[InstanceId, Incarnation], MemberNumber] = {}
        self._changes: deque[MemberChanges] = deque(maxlen=MAX_STORED_CHANGES)

    def find_number(
        self, instance: InstanceId, incarnation: Incarnation
    ) -> MemberNumber | None:
        """Return the number of one incarnation of an instance, if it is listed."""
        return self._numbers.get((instance, incarnation))

    def list_entries(self) -> list[MemberEntry]:
        """List the members in the order of their numbers."""
        return [self.members[number] for number in sorted(self.members)]

    def install_snapshot(self, snapshot: MemberSnapshot) -> bool:
        """Install a list if it is later and return whether it was."""
        if snapshot.list_version <= self.version:
            return False
        self.version = snapshot.list_version
        self.members = {item.number: item for item in snapshot.members}
        self.endpoints = dict(snapshot.endpoints)
        self._changes.clear()
        self._index_numbers()
        return True

    def install_changes(self, message: MemberChanges) -> bool:
        """Apply changes if they start at this version and return whether they did."""
        if message.since != self.version or message.list_version <= self.version:
            return False
        for number in message.removed:
            self.members.pop(number, None)
        self.members.update((item.number, item) for item in message.changed)
        self.endpoints = _merge_endpoints(self.endpoints, message.endpoints)
        self.version = message.list_version
        self._changes.append(message)
        self._index_numbers()
        return True

    def _index_numbers(self) -> None:
        self._numbers = {
            (item.details.instance, item.details.incarnation): number
            for number, item in self.members.items()
        }

    def record_equal_version(self, version: MemberListVersion) -> None:
        """Record that another leader's list with this version has the same members.

        Followers of that list then need no snapshot.
        """
        self._changes.append(MemberChanges(version, self.version))

    def build_update_since(
        self, version: MemberListVersion
    ) -> MemberChanges | MemberSnapshot | None:
        """Return the changes since an earlier version, or a snapshot without them.

        Return None if the version is not earlier than this list's.
        """
        if version >= self.version:
            return None
        stored = list(self._changes)
        for position, message in enumerate(stored):
            if message.since == version:
                return _join_changes(stored[position:])
        return MemberSnapshot(self.version, self.list_entries(), self.endpoints)


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
        parts[-1].list_version,
        list(changed.values()),
        list(removed),
        endpoints,
    )
