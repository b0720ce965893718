"""Define the messages in which instances report how endpoints serve them."""

from typing import ClassVar

import msgspec

from burdockwall.machine import Message
from burdockwall.types import EndpointId, Incarnation, Term


class HealthSample(msgspec.Struct, frozen=True, array_like=True):
    """The requests of one instance at an endpoint since its last report.

    `log_time` is the sum, over the answered requests, of the logarithm of the time to
    the head of the answer relative to that usual on the request's route.
    """

    endpoint: EndpointId
    answered: int
    failed: int
    log_time: float = 0.0


class ReportHealth(Message, frozen=True):
    """Reports to the leader how endpoints have served an instance."""

    protocol: ClassVar[int] = 2

    incarnation: Incarnation
    samples: list[HealthSample]


class EndpointMark(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint that is ejected, or was and returns by a ramp.

    `returns_s` is in how many seconds it takes requests again; negative once it does.
    """

    endpoint: EndpointId
    returns_s: float


class MarkEndpoints(Message, frozen=True):
    """Answers ReportHealth with all endpoints that are ejected or return."""

    protocol: ClassVar[int] = 2

    term: Term
    incarnation: Incarnation
    marks: list[EndpointMark]
