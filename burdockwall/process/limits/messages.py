"""The messages between the owner of a customer's rate and the holders.

Amounts are in units; a request is `units.UNITS_PER_REQUEST` of them. Every answer
repeats the holder's `incarnation`, so that a restarted holder ignores grants that its
former process asked for. Grant numbers increase within an owner's `epoch`, which is the
owner's incarnation.
"""

import msgspec

from burdockwall.machine import Message
from burdockwall.types import CustomerId, Incarnation


class LimitWant(msgspec.Struct, frozen=True, array_like=True):
    """A demand for units of one customer.

    `need` is what the waiting requests lack, `head` what the first of them lacks, and
    `prefetch` what the holder expects to spend soon.
    """

    customer: CustomerId
    need: int
    head: int
    prefetch: int = 0


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


class LimitGrants(Message, frozen=True):
    """Answers the demand with this sequence number, at once or later."""

    incarnation: Incarnation
    sequence: int
    epoch: Incarnation
    grants: list[LimitGrant]
    verdicts: list[LimitVerdict]


class LimitRecall(Message, frozen=True):
    """Asks a holder to return the unspent units of some customers."""

    incarnation: Incarnation
    epoch: Incarnation
    customers: list[CustomerId]
