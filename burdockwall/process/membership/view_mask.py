"""Hide the views that this instance must not act under."""

import msgspec

from burdockwall.types import (
    FencingNumber,
    Incarnation,
    InstanceId,
    ShardId,
    Term,
)
from burdockwall.version.shards import ShardMap, ShardView


class _MaskedView(msgspec.Struct, frozen=True):
    number: FencingNumber
    term: Term


class ViewMask:
    """Mask over the views that this instance has released.

    A masked view is hidden until a view with a higher number replaces it.
    """

    def __init__(self, instance: InstanceId, incarnation: Incarnation) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self._masked: dict[ShardId, _MaskedView] = {}

    def mask(self, shard: ShardId, number: FencingNumber, term: Term) -> None:
        """Mask the views of a shard up to a fencing number."""
        masked = self._masked.get(shard)
        if masked is None or (number, term) > (masked.number, masked.term):
            self._masked[shard] = _MaskedView(number, term)

    def expire(self, term: Term) -> bool:
        """Drop the entries of earlier terms and return whether there were any.

        An earlier leader can no longer assign shards. All its assignments must be
        installed before this is called.
        """
        remaining = {
            shard: masked
            for shard, masked in self._masked.items()
            if masked.term >= term
        }
        expired = len(remaining) < len(self._masked)
        self._masked = remaining
        return expired

    def filter_views(self, views: dict[ShardId, ShardView]) -> ShardMap:
        """Return the views without those that this instance must not act under."""
        return ShardMap(
            {shard: view for shard, view in views.items() if self._is_usable(view)}
        )

    def _is_usable(self, view: ShardView) -> bool:
        if self.instance not in view.holders:
            return True
        if not view.includes(self.instance, self.incarnation):
            return False
        masked = self._masked.get(view.shard)
        return masked is None or view.number > masked.number
