"""The events and actions of the limiter."""

from enum import Enum

import msgspec

from burdockwall.process.limits.kinds import NO_PROGRAM, Kind, ProgramMark
from burdockwall.types import CallId, CustomerId


class Reason(Enum):
    """The reason why a customer's limit refused a request."""

    RATE = 1
    OWNER_UNREACHABLE = 2
    OWNER_STARTING = 3
    CUSTOMER_UNKNOWN = 4
    COST_ABOVE_BURST = 5
    OWNER_MOVED = 6
    PROGRAMS = 7


class WindowCap(msgspec.Struct, frozen=True):
    """The most units that may be spent in any window of `length_s` seconds."""

    length_s: float
    units: int


class Limit(msgspec.Struct, frozen=True):
    """A customer's limit: a rate in units per second and a burst in units.

    With a `window`, no window of time has more units than its cap, even where the
    burst is larger than the cap allows.
    """

    rate_per_s: float
    burst: int
    window: WindowCap | None = None


class LimitsInstalled(msgspec.Struct, frozen=True):
    """The limits in force have changed."""

    limits: dict[CustomerId, Limit]


class Admit(msgspec.Struct, frozen=True):
    """A request to be admitted; it waits at most `wait_s` for its units.

    A request that begins a program waits as long once the owner has admitted the start.
    """

    call: CallId
    customer: CustomerId
    units: int
    wait_s: float
    kind: Kind = Kind.ALONE
    program: ProgramMark = NO_PROGRAM


class Withdraw(msgspec.Struct, frozen=True):
    """A request no longer waits, or has been answered."""

    call: CallId
    customer: CustomerId


class Admitted(msgspec.Struct, frozen=True):
    """A request may run; its units are spent."""

    call: CallId
    customer: CustomerId
    units: int


class Refused(msgspec.Struct, frozen=True):
    """A request is refused; its caller may retry after `retry_after_s`."""

    call: CallId
    customer: CustomerId
    reason: Reason
    retry_after_s: float
