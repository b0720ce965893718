"""Messages that are sent only after the writes they depend on are synced."""

from collections import deque

import msgspec

from burdockwall.machine import Message, Send
from burdockwall.types import InstanceId


class _DeferredMessage(msgspec.Struct, frozen=True):
    ticket: int
    send: Send


class DeferredMessages:
    """A queue of messages, each with the ticket of the write to be synced first."""

    def __init__(self) -> None:
        self._messages: deque[_DeferredMessage] = deque()

    def defer(self, ticket: int, to: InstanceId, message: Message) -> None:
        """Defer a message until the write with this ticket is synced."""
        self._messages.append(_DeferredMessage(ticket, Send(to, message)))

    def release(self, ticket: int) -> list[Send]:
        """Remove and return, in order, the messages of writes up to a ticket."""
        ready = []
        while self._messages and self._messages[0].ticket <= ticket:
            ready.append(self._messages.popleft().send)
        return ready

    def clear(self) -> None:
        """Discard all deferred messages."""
        self._messages.clear()
