"""The messages between the owner of a customer's rate and the holders.

Amounts are in units; a request is `units.UNITS_PER_REQUEST` of them. Every answer
repeats the holder's `incarnation`, so that a restarted holder ignores grants that its
former process asked for. Grant numbers increase within an owner's `epoch`, which is the
owner's incarnation.
"""

import msgspec

from burdockwall.machine import Message
from burdockwall.process.limits.kinds import ProgramMark
from burdockwall.types import CustomerId, Incarnation


class LimitStart(msgspec.Struct, frozen=True, array_like=True):
    """A waiting request that begins a program, and the units that it lacks."""

    program: ProgramMark
    units: int


class LimitProgress(msgspec.Struct, frozen=True, array_like=True):
    """Admitted requests of a program, or of none, and how long they waited.

    `earlier` is how many more the holder has reported to a former owner.
    """

    customer: CustomerId
    program: ProgramMark
    requests: int
    waited_ms: int
    earlier: int = 0


class LimitWant(msgspec.Struct, frozen=True, array_like=True):
    """A demand for units of one customer.

    `need` is what the waiting requests lack, `head` what the first of them lacks, and
    `prefetch` what the holder expects to spend soon. `in_flight` is the part of `need`
    for requests of programs under way, and `starts` the part of requests that begin a
    program, about which the owner has not decided yet.
    """

    customer: CustomerId
    need: int
    head: int
    prefetch: int = 0
    in_flight: int = 0
    starts: list[LimitStart] = []


class LimitClose(msgspec.Struct, frozen=True, array_like=True):
    """The end of a grant, which returns its unspent units.

    `age_ms` is the time since the last spend, measured by the holder's clock.
    """

    grant: int
    unspent: int
    age_ms: int = 0


class LimitDemand(Message, frozen=True):
    """Demands grants from an owner and closes earlier ones.

    `epoch` is the latest epoch of the owner that the holder has received, and
    `acknowledged` the latest grant of that epoch that has arrived.
    """

    incarnation: Incarnation
    sequence: int
    epoch: Incarnation
    acknowledged: int
    wants: list[LimitWant]
    closes: list[LimitClose]
    progress: list[LimitProgress] = []


class LimitGrant(msgspec.Struct, frozen=True, array_like=True):
    """Units that may be spent within `valid_ms` after the demand was sent.

    `report_spend` asks the holder to report the spend soon. The owner sets it where
    the refill within that time is at least one request.
    """

    customer: CustomerId
    grant: int
    units: int
    valid_ms: int
    report_spend: bool = False


class LimitVerdict(msgspec.Struct, frozen=True, array_like=True):
    """Refuses the part of a need above `pending` until `retry_ms` have passed."""

    customer: CustomerId
    pending: int
    retry_ms: int
    reason: int


class StartVerdict(msgspec.Struct, frozen=True, array_like=True):
    """Admits the start of a program, or refuses it until `retry_ms` have passed."""

    customer: CustomerId
    program: ProgramMark
    admitted: bool
    retry_ms: int = 0


class LimitGrants(Message, frozen=True):
    """Answers the demand with this sequence number, at once or later.

    `decides_starts` is false from builds that treat all requests alike.
    """

    incarnation: Incarnation
    sequence: int
    epoch: Incarnation
    grants: list[LimitGrant]
    verdicts: list[LimitVerdict]
    starts: list[StartVerdict] = []
    decides_starts: bool = False


class LimitRecall(Message, frozen=True):
    """Asks a holder to return the unspent units of some customers."""

    incarnation: Incarnation
    epoch: Incarnation
    customers: list[CustomerId]
