"""The view of the stores: which stores hold the ledger, and how many must answer.

In a large fleet the stores form groups. Each program belongs to one group by the hash
of its id, so that a store's records, syncs and messages do not grow with the fleet.
"""

import hashlib

import msgspec

from burdockwall.types import CustomerId, DocumentName, InstanceId, ProgramId

STORE_VIEW = DocumentName("stores")


class StoreMember(msgspec.Struct, frozen=True):
    """A store, the number of the view that added it, and its group."""

    instance: InstanceId
    since: int
    group: int = 0


class StoreView(msgspec.Struct, frozen=True):
    """The stores that hold the ledger; later views have higher numbers.

    Successive views differ by one store, so that their quorums overlap. The number of
    groups never changes, since a program would move to stores that lack its records.
    Quorums are those of a view with a single group, as `select_group` returns it.
    """

    number: int = 0
    members: tuple[StoreMember, ...] = ()
    groups: int = 1

    @property
    def instances(self) -> tuple[InstanceId, ...]:
        """List the instances of the members."""
        return tuple(member.instance for member in self.members)

    @property
    def write_quorum(self) -> int:
        """Return how many stores must have synced a record to confirm it."""
        return len(self.members) // 2 + 1

    @property
    def read_quorum(self) -> int:
        """Return how many complete stores overlap with every write quorum."""
        return len(self.members) - self.write_quorum + 1

    def find_group(self, customer: CustomerId, program: ProgramId) -> int:
        """Return the group that holds a program."""
        if self.groups == 1:
            return 0
        name = f"{customer}|{program}".encode()
        digest = hashlib.blake2b(name, digest_size=8).digest()
        return int.from_bytes(digest) % self.groups

    def select_group(self, group: int) -> "StoreView":
        """Return the view of one group, which has the members of that group alone."""
        if self.groups == 1:
            return self
        members = tuple(member for member in self.members if member.group == group)
        return msgspec.structs.replace(self, members=members, groups=1)

    def find(self, instance: InstanceId) -> StoreMember | None:
        """Return the member of an instance, or None."""
        for member in self.members:
            if member.instance == instance:
                return member
        return None


def encode_view(view: StoreView) -> bytes:
    """Encode a view as a document of the control state."""
    return msgspec.json.encode(view)


def decode_view(data: bytes) -> StoreView:
    """Decode a view from a document of the control state."""
    return msgspec.json.decode(data, type=StoreView)
