"""Handling of a process's signals."""

import signal
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio

from burdockwall.process.early_signals import FOLLOWED, take_kept


async def follow_signals(
    reload: Callable[[], None], stop: Callable[[signal.Signals], None]
) -> None:
    """Call `reload` at each SIGHUP, and `stop` at SIGTERM and SIGINT.

    Those that came while the process started are followed first.
    """

    def follow(number: signal.Signals) -> None:
        if number is signal.SIGHUP:
            reload()
        else:
            stop(number)

    with _restore_handlers(), anyio.open_signal_receiver(*FOLLOWED) as signals:
        for number in take_kept():
            follow(number)
        async for number in signals:
            follow(number)


@contextmanager
def _restore_handlers() -> Iterator[None]:
    """Restore the handlers from before, which an event loop doesn't do."""
    handlers = [(number, signal.getsignal(number)) for number in FOLLOWED]
    try:
        yield
    finally:
        for number, handler in handlers:
            signal.signal(number, handler)
