"""Define the messages between the owner of a customer's rate and the holders.

Amounts are in units of `units.UNITS_PER_REQUEST`. A holder's `incarnation` comes back
in every answer, so that no grant outlives the process that asked for it. Grant
numbers count up within an owner's `epoch`, which is its incarnation.
"""

import msgspec

from burdockwall.machine import Message
from burdockwall.types import CustomerId, Incarnation


class LimitWant(msgspec.Struct, frozen=True, array_like=True):
    """Ask for units of one customer.

    `need` is what waiting requests lack, `head` what the first of them lacks, and
    `ahead` what the holder expects to spend soon.
    """

    customer: CustomerId
    need: int
    head: int
    prefetch: int = 0


class LimitClose(msgspec.Struct, frozen=True, array_like=True):
    """End a grant and give back what is unspent of it.

    `age_ms` is how long ago, by the holder's clock, the last of it was spent.
    """

    grant: int
    unspent: int
    age_ms: int = 0


class LimitDemand(Message, frozen=True):
    """Ask an owner for grants and give others back.

    `epoch` is the owner's as far as the holder knows it; `seen` is the latest grant
    of that epoch that has arrived.
    """

    incarnation: Incarnation
    sequence: int
    epoch: Incarnation
    acknowledged: int
    wants: list[LimitWant]
    closes: list[LimitClose]


class LimitGrant(msgspec.Struct, frozen=True, array_like=True):
    """Grant units that may be spent within `valid_ms` of the demand being sent.

    `reports` asks to tell soon when they are spent, where the rate makes it worth it.
    """

    customer: CustomerId
    grant: int
    units: int
    valid_ms: int
    report_spend: bool = False


class LimitVerdict(msgspec.Struct, frozen=True, array_like=True):
    """Refuse the part of a need beyond `pending`, and say when to come again."""

    customer: CustomerId
    pending: int
    retry_ms: int
    reason: int


class LimitGrants(Message, frozen=True):
    """Answer the demand with this sequence number, at once or later."""

    incarnation: Incarnation
    sequence: int
    epoch: Incarnation
    grants: list[LimitGrant]
    verdicts: list[LimitVerdict]


class LimitRecall(Message, frozen=True):
    """Ask a holder to give back what it holds unspent of some customers."""

    incarnation: Incarnation
    epoch: Incarnation
    customers: list[CustomerId]
