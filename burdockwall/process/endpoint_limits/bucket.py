"""The tokens of one endpoint: each permit takes one, and its rate refills them."""

import msgspec

# An endpoint that takes less is still sent this many requests per second, since only
# its answers show that its limit has changed.
MIN_RATE_PER_S = 0.25
# A bucket holds what its rate refills in this time, and at least one token.
BURST_S = 0.5


class TokenBucket(msgspec.Struct):
    """A bucket that starts empty. Rates are in tokens per second."""

    rate_per_s: float
    refilled_at: float
    level: float = 0.0

    def refill(self, rate_per_s: float, now: float) -> None:
        """Add what has come since the last call, and use a rate from now on."""
        incoming = max(0.0, now - self.refilled_at) * self.rate_per_s
        self.rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        burst = max(1.0, self.rate_per_s * BURST_S)
        self.level = min(burst, self.level + incoming)
        self.refilled_at = now

    def take(self, count: int) -> int:
        """Take up to `count` whole tokens, and return how many."""
        taken = min(count, int(self.level))
        self.level -= taken
        return taken

    def get_wait_s(self) -> float:
        """Return after how many seconds the bucket has a whole token."""
        return max(0.0, 1.0 - self.level) / self.rate_per_s
