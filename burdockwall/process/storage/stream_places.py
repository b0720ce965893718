"""Where the streams of recent requests come from, as one store has been told.

Places live in memory only: a stream whose place is lost is not continued at a guess.
"""

from collections import deque

from burdockwall.process.storage.messages import StreamPlace
from burdockwall.process.storage.records import TurnKey

# Longer than the tries of any caller that takes up its stream.
PLACE_RETENTION_S = 60.0


class StreamPlaces:
    """Retains the latest place of each request's stream for PLACE_RETENTION_S."""

    def __init__(self) -> None:
        # When the store started or joined the view; it knows no places from before.
        self.since = 0.0
        self._places: dict[TurnKey, StreamPlace] = {}
        self._expiries: deque[tuple[float, TurnKey]] = deque()

    def __len__(self) -> int:
        return len(self._places)

    def record(self, key: TurnKey, place: StreamPlace, now: float) -> None:
        """Record a place unless a later one of the same request is known."""
        known = self._places.get(key)
        if known is None:
            self._expiries.append((now + PLACE_RETENTION_S, key))
        if known is None or place.attempt > known.attempt:
            self._places[key] = place

    def find(self, key: TurnKey) -> StreamPlace | None:
        """Return the latest place of a request's stream, or None."""
        return self._places.get(key)

    def expire(self, now: float) -> None:
        """Drop the places whose retention is over."""
        while self._expiries and self._expiries[0][0] <= now:
            _, key = self._expiries.popleft()
            del self._places[key]
