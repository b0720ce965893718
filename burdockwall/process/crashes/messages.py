"""Define the messages in which entry instances tell each other of suspects."""

from typing import ClassVar

import msgspec

from burdockwall.machine import Message
from burdockwall.types import EndpointId, Fingerprint


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """A run that ended with the crash of its endpoint, by ages in milliseconds.

    `cleared` is true if an equal request has ended well since.
    """

    endpoint: EndpointId
    started_ms: int | None
    began_age_ms: int
    crashed_age_ms: int
    cleared: bool = False


class SuspectReport(msgspec.Struct, frozen=True, array_like=True):
    """All runs of equal requests that ended with a crash.

    `cleared_age_ms` is how long ago an equal request ended well, or None.
    """

    fingerprint: Fingerprint
    crashes: list[CrashReport]
    cleared_age_ms: int | None = None


class ShareSuspects(Message, frozen=True):
    """Tells a neighbour what is known of some suspects."""

    protocol: ClassVar[int] = 1

    suspects: list[SuspectReport]


class AskSuspects(Message, frozen=True):
    """Asks a neighbour for what it knows; sent by an instance that has just started."""

    protocol: ClassVar[int] = 1
