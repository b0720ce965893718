"""A consistent-hash ring: all instances map a history to the same home endpoint."""

import bisect
import hashlib
from array import array

from burdockwall.types import EndpointId

POINTS_PER_DIGEST = 8
DIGESTS_PER_ENDPOINT = 8
POINT_BYTES = 8


def _hash_points(text: str) -> list[int]:
    digest = hashlib.blake2b(text.encode()).digest()
    return [
        int.from_bytes(digest[start : start + POINT_BYTES], "big")
        for start in range(0, POINTS_PER_DIGEST * POINT_BYTES, POINT_BYTES)
    ]


class Ring:
    """Maps a key to endpoints by consistent hashing, in logarithmic time."""

    def __init__(self, endpoints: list[EndpointId]) -> None:
        self.endpoints = sorted(endpoints)
        owners = [
            (point, number)
            for number, endpoint in enumerate(self.endpoints)
            for part in range(DIGESTS_PER_ENDPOINT)
            for point in _hash_points(f"{endpoint}\0{part}")
        ]
        owners.sort()
        self._points = array("Q", [point for point, _ in owners])
        self._owners = array("H", [number for _, number in owners])

    def list_homes(self, key: str, count: int) -> list[EndpointId]:
        """List the first `count` distinct endpoints after a key's point on the ring."""
        count = min(count, len(self.endpoints))
        homes: list[EndpointId] = []
        if count == 0:
            return homes
        size = len(self._points)
        position = bisect.bisect(self._points, _hash_points(key)[0])
        for step in range(size):
            endpoint = self.endpoints[self._owners[(position + step) % size]]
            if endpoint not in homes:
                homes.append(endpoint)
                if len(homes) == count:
                    break
        return homes
