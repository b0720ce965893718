"""Mask the views that this instance must not act under."""

from dataclasses import dataclass

from burdockwall.types import (
    FencingNumber,
    Incarnation,
    InstanceId,
    ShardId,
    Term,
)
from burdockwall.version.shards import ShardMap, ShardView


@dataclass(frozen=True, slots=True)
class _MaskedView:
    number: FencingNumber
    term: Term


class ViewMask:
    """Hold the views that were released, until a later one replaces them."""

    def __init__(self, instance: InstanceId, incarnation: Incarnation) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self._masked: dict[ShardId, _MaskedView] = {}

    def mask(self, shard: ShardId, number: FencingNumber, term: Term) -> None:
        """Mask the views of a shard up to a number."""
        known = self._masked.get(shard)
        if known is None or (number, term) > (known.number, known.term):
            self._masked[shard] = _MaskedView(number, term)

    def expire(self, term: Term) -> bool:
        """Drop the seals of earlier terms and tell whether there were any.

        An earlier leader can assign nothing any more. What it had assigned must be
        installed before this is called.
        """
        kept = {
            shard: seal for shard, seal in self._masked.items() if seal.term >= term
        }
        expired = len(kept) < len(self._masked)
        self._masked = kept
        return expired

    def filter_views(self, views: dict[ShardId, ShardView]) -> ShardMap:
        """Return the views that hold on this instance."""
        return ShardMap(
            {shard: view for shard, view in views.items() if self._is_usable(view)}
        )

    def _is_usable(self, view: ShardView) -> bool:
        if self.instance not in view.holders:
            return True
        if not view.names(self.instance, self.incarnation):
            return False
        seal = self._masked.get(view.shard)
        return seal is None or view.number > seal.number
