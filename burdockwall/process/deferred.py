"""Hold messages until the writes that they depend on are synced."""

from collections import deque
from dataclasses import dataclass

from burdockwall.machine import Message, Send
from burdockwall.types import InstanceId


@dataclass(frozen=True, slots=True)
class _DeferredMessage:
    ticket: int
    send: Send


class DeferredMessages:
    """Hold messages in the order of the tickets of the writes before them."""

    def __init__(self) -> None:
        self._messages: deque[_DeferredMessage] = deque()

    def defer(self, ticket: int, to: InstanceId, message: Message) -> None:
        """Hold a message until the write with a ticket is synced."""
        self._messages.append(_DeferredMessage(ticket, Send(to, message)))

    def release(self, ticket: int) -> list[Send]:
        """Return what waited for writes up to a ticket, in order."""
        ready = []
        while self._messages and self._messages[0].ticket <= ticket:
            ready.append(self._messages.popleft().send)
        return ready

    def clear(self) -> None:
        """Forget what is held."""
        self._messages.clear()
