"""Give every history a home endpoint on which all instances agree."""

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
    """Map a key to endpoints by consistent hashing; a lookup is logarithmic."""

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
        """List the first endpoints that follow a key, each once."""
        count = min(count, len(self.endpoints))
        found: list[EndpointId] = []
        if count == 0:
            return found
        size = len(self._points)
        position = bisect.bisect(self._points, _hash_points(key)[0])
        for step in range(size):
            endpoint = self.endpoints[self._owners[(position + step) % size]]
            if endpoint not in found:
                found.append(endpoint)
                if len(found) == count:
                    break
        return found
