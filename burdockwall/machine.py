"""Define the events and actions that every deterministic state machine shares.

A machine takes a typed event and a time in seconds and returns typed actions.
It reads no clock, socket, file or global, and draws no unseeded random number.
"""

from dataclasses import dataclass
from typing import Any, Protocol

import msgspec

from burdockwall.types import InstanceId


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Carry typed data between two instances; the base of every message."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Tell a machine that time has passed."""


@dataclass(frozen=True, slots=True)
class Receive:
    """Tell a machine that a message has arrived from another instance."""

    sender: InstanceId
    message: Message


@dataclass(frozen=True, slots=True)
class Send:
    """Ask the shell to send a message, which may be lost, to an instance."""

    to: InstanceId
    message: Message


class Machine(Protocol):
    """Decide what to do about an event at a time given in seconds."""

    def handle(self, event: Any, now: float) -> list[Any]:
        """Take an event and return the actions that follow from it."""
        ...
