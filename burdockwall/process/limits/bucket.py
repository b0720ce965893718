"""Count a customer's requests against its rate and burst in one place."""

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Refill at a rate (requests a second) up to a burst (requests)."""

    rate_per_s: float
    burst: float
    level: float
    at: float

    def refill(self, now: float) -> None:
        """Add what has come in since the last refill."""
        grown = self.level + max(0.0, now - self.at) * self.rate_per_s
        self.level = min(self.burst, grown)
        self.at = max(self.at, now)

    def take(self, cost: float, now: float) -> bool:
        """Take a cost if the level allows it."""
        self.refill(now)
        if self.level < cost:
            return False
        self.level -= cost
        return True

    def compute_wait(self, cost: float) -> float:
        """Return the seconds until a cost can be taken."""
        return max(0.0, (cost - self.level) / self.rate_per_s)


def create_bucket(rate_per_s: float, burst: float, now: float) -> TokenBucket:
    """Create a full bucket."""
    return TokenBucket(rate_per_s, burst, burst, now)
