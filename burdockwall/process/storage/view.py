"""The view of the stores: which stores hold the ledger, and how many must answer."""

import msgspec

from burdockwall.types import DocumentName, InstanceId

STORE_VIEW = DocumentName("stores")


class StoreMember(msgspec.Struct, frozen=True):
    """A store, and the number of the view that added it."""

    instance: InstanceId
    since: int


class StoreView(msgspec.Struct, frozen=True):
    """The stores that hold the ledger; later views have higher numbers.

    Successive views differ by one store, so that their quorums overlap.
    """

    number: int = 0
    members: tuple[StoreMember, ...] = ()

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
