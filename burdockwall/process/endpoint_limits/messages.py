"""Define the messages between the holders and the owner of endpoints' permits."""

import msgspec

from burdockwall.machine import Message
from burdockwall.types import EndpointId, Incarnation, Term


class RateObservation(msgspec.Struct, frozen=True, array_like=True):
    """What an answer of an endpoint said about the request rate that it takes.

    `rate_per_s` is None if the answer named no limit; `age_s` is how long ago it came.
    """

    endpoint: EndpointId
    rate_per_s: float | None
    age_s: float


class AskPermits(Message, frozen=True):
    """Asks for a number of permits of each wanted endpoint, and reports limits."""

    incarnation: Incarnation
    sequence: int
    observations: list[RateObservation]
    wanted: dict[EndpointId, int]
    # How long ago endpoints may have become cold, in seconds.
    suspected: dict[EndpointId, float] = {}


class PermitDecision(msgspec.Struct, frozen=True, array_like=True):
    """How many of the wanted permits of an endpoint are granted.

    `latest` is the owner's latest observation; an endpoint without a limit needs no
    permits. If some are not granted, others come no sooner than after `retry_after_s`.
    """

    latest: RateObservation
    granted: int
    retry_after_s: float


class GrantPermits(Message, frozen=True):
    """Answers AskPermits with the same incarnation and sequence."""

    term: Term
    incarnation: Incarnation
    sequence: int
    decisions: list[PermitDecision]
