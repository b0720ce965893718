"""The mapping of programs, customers and idempotency keys to shards and instances."""

import zlib
from collections.abc import Iterable

import msgspec

from burdockwall.types import (
    CustomerId,
    FencingNumber,
    Incarnation,
    InstanceId,
    ShardId,
)

SHARD_COUNT = 256


class ShardView(msgspec.Struct, frozen=True, array_like=True):
    """The assignment of one shard: its fencing number, primary and backups.

    The primary acts only while its instance holds a lease. A later view has a higher
    number and starts after the lease of the previous primary has expired. A joining
    instance receives a copy of the shard and every write, but becomes a backup only
    in a later view, after the primary has confirmed that the copy is complete.
    `incarnations` are those of `holders`, in the same order.
    """

    shard: ShardId
    number: FencingNumber
    primary: InstanceId
    backups: tuple[InstanceId, ...] = ()
    joining: tuple[InstanceId, ...] = ()
    incarnations: tuple[Incarnation, ...] = ()

    @property
    def holders(self) -> tuple[InstanceId, ...]:
        """List the primary, the backups and the joining instances."""
        return (self.primary, *self.backups, *self.joining)

    def includes(self, instance: InstanceId, incarnation: Incarnation) -> bool:
        """Return whether the view includes this incarnation of an instance.

        A restarted instance has lost its records, so a view that lists its previous
        incarnation does not apply to it.
        """
        if instance not in self.holders:
            return False
        if not self.incarnations:
            return True
        return self.incarnations[self.holders.index(instance)] == incarnation


class ShardMap(msgspec.Struct, frozen=True):
    """The latest view of every shard that this instance has received."""

    views: dict[ShardId, ShardView] = msgspec.field(default_factory=dict)

    def get_view(self, shard: ShardId) -> ShardView | None:
        """Return the view of a shard, or None where none is assigned."""
        return self.views.get(shard)


class ShardsInstalled(msgspec.Struct, frozen=True):
    """A new shard map is in force on this instance."""

    shards: ShardMap


class LeaseRenewed(msgspec.Struct, frozen=True):
    """The lease of the instance has been renewed until `until`.

    `until` is in seconds of the instance's own clock and never decreases. A machine
    that owns or serves shards acts as primary only while `now < until`.
    """

    until: float


class CopyConfirmed(msgspec.Struct, frozen=True):
    """The primary of a view confirms that a joining instance has the whole shard."""

    shard: ShardId
    number: FencingNumber
    instance: InstanceId


def describe_views(views: Iterable[ShardView]) -> str:
    """Describe views line by line, for the audit trail."""
    lines = []
    for view in views:
        line = f"shard {view.shard} view {view.number} primary {view.primary}"
        if view.backups:
            line += f" backups {' '.join(view.backups)}"
        if view.joining:
            line += f" joining {' '.join(view.joining)}"
        lines.append(line)
    return "\n".join(lines)


def find_customer_shard(customer: CustomerId) -> ShardId:
    """Return the shard that owns a customer's rate."""
    return _compute_shard(customer)


def find_record_shard(customer: CustomerId, record_id: str) -> ShardId:
    """Return the shard that holds a customer's program or idempotency record."""
    return _compute_shard(f"{customer}\0{record_id}")


def _compute_shard(text: str) -> ShardId:
    return ShardId(zlib.crc32(text.encode()) % SHARD_COUNT)
