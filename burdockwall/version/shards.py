"""Map programs, customers and idempotency keys to shards, and shards to instances."""

import zlib
from dataclasses import dataclass, field

import msgspec

from burdockwall.types import CustomerId, FencingNumber, InstanceId, ShardId

SHARD_COUNT = 256


class ShardView(msgspec.Struct, frozen=True, array_like=True):
    """Assign one shard: a fenced number, the primary and the backups.

    The primary acts only under its instance's lease; a later view has a higher
    number and starts after the lease of the former primary has lapsed. A joining
    instance receives the copy and every write, but is no backup until the primary
    has confirmed that the copy is whole; then a later view lists it as a backup.
    """

    shard: ShardId
    number: FencingNumber
    primary: InstanceId
    backups: tuple[InstanceId, ...] = ()
    joining: tuple[InstanceId, ...] = ()


@dataclass(frozen=True, slots=True)
class ShardMap:
    """Hold the latest view of every shard that this instance has learned."""

    views: dict[ShardId, ShardView] = field(default_factory=dict)

    def get_view(self, shard: ShardId) -> ShardView | None:
        """Return the view of a shard, or None where none is assigned."""
        return self.views.get(shard)


@dataclass(frozen=True, slots=True)
class ShardsInstalled:
    """Tell a machine that a new shard map is in force on this instance."""

    shards: ShardMap


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """Tell a machine until when its instance may act.

    `until` is in seconds of the instance's own clock and never goes back. A machine
    that owns or serves shards acts as primary only while `now < until`.
    """

    until: float


def find_customer_shard(customer: CustomerId) -> ShardId:
    """Return the shard that owns a customer's rate."""
    return _hash(customer)


def find_record_shard(customer: CustomerId, record: str) -> ShardId:
    """Return the shard that holds a customer's program or idempotency record."""
    return _hash(f"{customer}\0{record}")


def _hash(text: str) -> ShardId:
    return ShardId(zlib.crc32(text.encode()) % SHARD_COUNT)
