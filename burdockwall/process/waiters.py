"""Requests that wait for the answer of a state machine."""

from typing import Generic, TypeVar

import anyio

from burdockwall.types import CallId

T = TypeVar("T")


class Waiters(Generic[T]):
    """Creates call ids and wakes the request that waits for the answer to each."""

    def __init__(self) -> None:
        self._last = 0
        self._events: dict[CallId, anyio.Event] = {}
        self._values: dict[CallId, T] = {}

    def create(self) -> CallId:
        """Create a call id for wait()."""
        self._last += 1
        call = CallId(self._last)
        self._events[call] = anyio.Event()
        return call

    def complete(self, call: CallId, value: T) -> None:
        """Set the answer of a call; an unknown or answered call is ignored."""
        event = self._events.get(call)
        if event is not None and call not in self._values:
            self._values[call] = value
            event.set()

    async def is_answered(self, call: CallId, within_s: float) -> bool:
        """Return whether a call is answered within a time; it stays awaited."""
        with anyio.move_on_after(within_s):
            await self._events[call].wait()
        return call in self._values

    async def wait(self, call: CallId, timeout_s: float) -> T:
        """Wait for the answer to a call, or raise TimeoutError."""
        try:
            with anyio.fail_after(timeout_s):
                await self._events[call].wait()
            return self._values.pop(call)
        finally:
            self._events.pop(call, None)
            self._values.pop(call, None)
