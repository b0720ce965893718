"""Hold messages until the writes that they depend on are synced."""

from collections import deque
from dataclasses import dataclass

from burdockwall.machine import Message, Send
from burdockwall.types import InstanceId


@dataclass(frozen=True, slots=True)
class _Held:
    ticket: int
    send: Send


class HeldMessages:
    """Hold messages in the order of the tickets of the writes before them."""

    def __init__(self) -> None:
        self._held: deque[_Held] = deque()

    def hold(self, ticket: int, to: InstanceId, message: Message) -> None:
        """Hold a message until the write with a ticket is synced."""
        self._held.append(_Held(ticket, Send(to, message)))

    def release(self, ticket: int) -> list[Send]:
        """Return what waited for writes up to a ticket, in order."""
        ready = []
        while self._held and self._held[0].ticket <= ticket:
            ready.append(self._held.popleft().send)
        return ready

    def clear(self) -> None:
        """Forget what is held."""
        self._held.clear()
