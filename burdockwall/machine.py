"""The events and actions that all deterministic state machines share.

A machine takes a typed event and a time in seconds and returns typed actions.
It reads no clock, socket, file or global, and draws no unseeded random number. The
shell is the asynchronous code around a machine: it delivers the events and carries out
the actions.
"""

from typing import Any, ClassVar, Protocol

import msgspec

from burdockwall.types import InstanceId


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Typed data sent from one instance to another; the base of every message.

    `protocol` is the first version of the protocol between instances that has the
    message. Instances of earlier builds, which know version 0 only, are not sent it.
    """

    protocol: ClassVar[int] = 0


class Tick(msgspec.Struct, frozen=True):
    """Time has passed."""


class Receive(msgspec.Struct, frozen=True):
    """A message has arrived from another instance."""

    sender: InstanceId
    message: Message


class Send(msgspec.Struct, frozen=True):
    """Asks the shell to send a message, which may be lost, to an instance."""

    to: InstanceId
    message: Message


class Machine(Protocol):
    """A state machine that is called with events and the time in seconds."""

    def handle(self, event: Any, now: float) -> list[Any]:
        """Handle an event and return the actions for the shell to carry out."""
        ...
