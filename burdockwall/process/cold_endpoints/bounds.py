"""Divide what a cold endpoint bears between the permits' owner and other senders.

In any second a cold endpoint may get `overrun` times its rate plus `slack` requests.
The owner grants at most OWNER_FACTOR times the rate plus one: a permit may be used
until PERMIT_USE_S after it was asked for, and a bucket holds what comes in BURST_S.
Instances that the owner does not reach have the rest.
"""

import math

import msgspec

# A permit is used within this time after it was asked for, or not at all. Opening a
# connection within a region takes a few milliseconds.
PERMIT_USE_S = 0.3
BURST_S = 0.1
OWNER_FACTOR = 1.0 + PERMIT_USE_S + BURST_S
# An instance without an owner sends a cold endpoint at most one request in this time,
# so that late use never brings two of its requests into one second.
ALONE_INTERVAL_S = 1.0 + 2 * PERMIT_USE_S


class ColdBounds(msgspec.Struct, frozen=True):
    """The requests that a cold endpoint bears in any one second, beside its rate."""

    overrun: float = 1.5
    slack: float = 5.0

    def compute_owner_rate(self, per_s: float) -> float:
        """Return the rate at which the owner may grant permits."""
        return per_s * min(1.0, self.overrun / OWNER_FACTOR)

    def allows_alone(self, per_s: float, instances: int) -> bool:
        """Return whether each instance may send requests without the owner.

        All may be cut off at once, and their first requests may fall into one second.
        """
        owner_s = OWNER_FACTOR * self.compute_owner_rate(per_s) + 1
        return instances <= math.floor(self.overrun * per_s + self.slack - owner_s)
