"""Handling of a process's signals."""

import signal
from collections.abc import Callable

import anyio


async def follow_signals(
    reload: Callable[[], None], stop: Callable[[signal.Signals], None]
) -> None:
    """Call `reload` at each SIGHUP, and `stop` at SIGTERM and SIGINT."""
    with anyio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async for number in signals:
            if number is signal.SIGHUP:
                reload()
            else:
                stop(number)
