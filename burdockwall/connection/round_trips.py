"""Remember how far away each address is, by the time that connecting to it took."""

from burdockwall.types import Address

# A longer time counts by this much: it is more often the work of a busy machine than a
# longer way.
RISE_GAIN = 0.1
ADDRESSES_LIMIT = 10_000


class RoundTrips:
    """The shortest usual time to connect, by address, in seconds."""

    def __init__(self) -> None:
        self._times: dict[Address, float] = {}

    def record(self, address: Address, seconds: float) -> None:
        """Record how long it took to connect to an address."""
        known_s = self._times.pop(address, seconds)
        if seconds > known_s:
            seconds = known_s + RISE_GAIN * (seconds - known_s)
        self._times[address] = seconds
        if len(self._times) > ADDRESSES_LIMIT:
            del self._times[next(iter(self._times))]

    def get(self, address: Address) -> float | None:
        """Return the time to connect to an address, or None if it is not known."""
        return self._times.get(address)
