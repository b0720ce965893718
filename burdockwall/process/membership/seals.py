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
class _Seal:
    number: FencingNumber
    term: Term


class Seals:
    """Hold the views that were released, until a later one replaces them."""

    def __init__(self, instance: InstanceId, incarnation: Incarnation) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self._seals: dict[ShardId, _Seal] = {}

    def seal(self, shard: ShardId, number: FencingNumber, term: Term) -> None:
        """Mask the views of a shard up to a number."""
        known = self._seals.get(shard)
        if known is None or (number, term) > (known.number, known.term):
            self._seals[shard] = _Seal(number, term)

    def expire(self, term: Term) -> bool:
        """Drop the seals of earlier terms and tell whether there were any.

        An earlier leader can assign nothing any more. What it had assigned must be
        installed before this is called.
        """
        kept = {shard: seal for shard, seal in self._seals.items() if seal.term >= term}
        expired = len(kept) < len(self._seals)
        self._seals = kept
        return expired

    def filter_views(self, views: dict[ShardId, ShardView]) -> ShardMap:
        """Return the views that hold on this instance."""
        return ShardMap(
            {shard: view for shard, view in views.items() if self._holds(view)}
        )

    def _holds(self, view: ShardView) -> bool:
        if self.instance not in view.holders:
            return True
        if not view.names(self.instance, self.incarnation):
            return False
        seal = self._seals.get(view.shard)
        return seal is None or view.number > seal.number
