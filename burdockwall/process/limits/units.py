"""The units and time parameters of the limiter.

Amounts are whole numbers of units, and expiry times include a margin for clocks that
run at different speeds.
"""

import math

import msgspec

from burdockwall.settings import Settings

UNITS_PER_REQUEST = 1000
MS_PER_S = 1000
GRANT_LIMIT_S = 1.0
PENDING_WAIT_SHARE = 0.6


class LimitParameters(msgspec.Struct, frozen=True):
    """The parameters of the limiter; times are in seconds.

    A request waits at most `wait_s`. A grant for waiting requests is valid for
    `immediate_s`, one for the requests expected within `horizon_s` for `prefetch_s`.
    Grants of a customer without requests for `idle_s` are returned. An unanswered
    demand is repeated after `repeat_s`, and an owner that does not answer for
    `silence_s` counts as unreachable. A request of a program under way waits at most
    `program_wait_s`, or like all others if that is 0. `clock_margin` is the maximum
    deviation of a clock's speed from true time, as a share.
    """

    wait_s: float
    immediate_s: float
    prefetch_s: float
    horizon_s: float
    idle_s: float
    repeat_s: float
    clock_margin: float
    silence_s: float = 0.3
    program_wait_s: float = 0.0

    @property
    def pending_s(self) -> float:
        """Return the longest time for which the owner tries to meet a demand."""
        return self.wait_s * PENDING_WAIT_SHARE

    @property
    def expiry_factor(self) -> float:
        """Return the ratio of the owner's wait to a grant's time at the holder."""
        return (1.0 + self.clock_margin) / (1.0 - self.clock_margin)

    @property
    def start_wait_s(self) -> float:
        """Return how long a new owner waits for the former owner's grants to expire."""
        return GRANT_LIMIT_S * self.expiry_factor


def create_parameters(settings: Settings) -> LimitParameters:
    """Create the parameters from the settings."""
    return LimitParameters(
        wait_s=settings.limit_wait_s,
        immediate_s=settings.limit_immediate_s,
        prefetch_s=settings.limit_prefetch_s,
        horizon_s=settings.limit_horizon_s,
        idle_s=settings.limit_idle_s,
        repeat_s=settings.limit_repeat_s,
        clock_margin=settings.limit_clock_margin,
        silence_s=settings.limit_silence_s,
        program_wait_s=settings.limit_program_wait_s,
    )


def convert_cost(cost: float) -> int:
    """Convert a cost in requests to units, rounded up; at least 1."""
    return max(1, math.ceil(cost * UNITS_PER_REQUEST))
