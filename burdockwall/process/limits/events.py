"""Define the events and actions of the limiter."""

from dataclasses import dataclass
from enum import Enum

from burdockwall.types import CallId, CustomerId


class Reason(Enum):
    """Name why a request was refused by its customer's limit."""

    RATE = 1
    OWNER_UNREACHABLE = 2
    OWNER_STARTING = 3
    CUSTOMER_UNKNOWN = 4
    COST_ABOVE_BURST = 5
    OWNER_MOVED = 6


@dataclass(frozen=True, slots=True)
class Limit:
    """Bound a customer: units a second and units at once."""

    rate_per_s: float
    burst: int


@dataclass(frozen=True, slots=True)
class LimitsInstalled:
    """Tell the owner which limits are in force."""

    limits: dict[CustomerId, Limit]


@dataclass(frozen=True, slots=True)
class Admit:
    """Ask to admit a request; it waits at most `wait_s` for its units."""

    call: CallId
    customer: CustomerId
    units: int
    wait_s: float


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Tell that a request no longer waits."""

    call: CallId
    customer: CustomerId


@dataclass(frozen=True, slots=True)
class Admitted:
    """Let a request run: its units are spent."""

    call: CallId
    customer: CustomerId
    units: int


@dataclass(frozen=True, slots=True)
class Refused:
    """Refuse a request and say why and when to come again."""

    call: CallId
    customer: CustomerId
    reason: Reason
    retry_after_s: float
