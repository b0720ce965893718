"""Find the endpoint of a program, on which all instances agree without messages.

Made for 2,200 endpoints: a search takes one multiplication for each.
"""

import hashlib
from collections.abc import Callable, Sequence

from burdockwall.process.endpoints import ListedEndpoint
from burdockwall.types import EndpointId

HASH_BYTES = 8
# An odd number near 2**64 divided by the golden ratio, which spreads the bits.
HASH_FACTOR = 0x9E3779B97F4A7C15
HASH_MASK = 0xFFFFFFFFFFFFFFFF


class HomeFinder:
    """Rendezvous hashing: the loss of an endpoint moves only its own programs."""

    def __init__(self) -> None:
        self._hashes: dict[EndpointId, int] = {}
        # The endpoints of the last search, and their hashes in order.
        self._searched: list[ListedEndpoint] = []
        self._values: list[int] = []

    def find(
        self,
        endpoints: Sequence[ListedEndpoint],
        key: str,
        is_usable: Callable[[ListedEndpoint], bool],
    ) -> ListedEndpoint | None:
        """Return the first usable endpoint in the order of a key, or None."""
        point = _hash(key)
        if endpoints != self._searched:
            self._searched = list(endpoints)
            self._values = [self._get(item.name) for item in endpoints]
        scores = [(value ^ point) * HASH_FACTOR & HASH_MASK for value in self._values]
        for _ in range(len(endpoints)):
            number = scores.index(max(scores))
            if is_usable(endpoints[number]):
                return endpoints[number]
            scores[number] = -1
        return None

    def _get(self, endpoint: EndpointId) -> int:
        value = self._hashes.get(endpoint)
        if value is None:
            value = self._hashes[endpoint] = _hash(endpoint)
        return value

    def retain(self, listed: set[EndpointId]) -> None:
        """Forget the endpoints that are no longer listed."""
        self._hashes = {
            name: value for name, value in self._hashes.items() if name in listed
        }


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")
