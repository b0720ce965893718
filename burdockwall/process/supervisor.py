"""Start the background tasks of a process again after errors."""

import errno
from collections.abc import Awaitable, Callable
from functools import partial

import anyio

from burdockwall.errors import BurdockwallError, Code
from burdockwall.process.control.files import StorageError
from burdockwall.process.ending import list_causes
from burdockwall.process.failures import Failures
from burdockwall.process.host import MachineFailed

RESTART_FIRST_S = 0.05
RESTART_LIMIT_S = 2.0
# A task that ran for so long is started again as soon as one that never failed.
STEADY_S = 10.0
ADDRESS_ERRORS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES)

Task = Callable[[], Awaitable[None]]


class AddressUnavailable(BurdockwallError):
    """An address of the settings can't be listened on."""


# After these, going on would break a promise, or could never serve anyone.
ENDING = (StorageError, MachineFailed, AddressUnavailable)


def ends_process(error: BaseException) -> bool:
    """Return whether an error or any of its causes has to end the process."""
    return any(isinstance(cause, ENDING) for cause in list_causes(error))


def find_name(task: Callable[..., object]) -> str:
    """Return the name of a task for the log."""
    function = task.func if isinstance(task, partial) else task
    return getattr(function, "__qualname__", type(function).__name__)


def run_each(*steps: Callable[[], None]) -> None:
    """Run all steps, and raise the errors of those that failed together."""
    errors: list[Exception] = []
    for step in steps:
        try:
            step()
        except Exception as error:
            errors.append(error)
    if errors:
        raise ExceptionGroup("steps failed", errors)


class Supervisor:
    """Runs tasks so that an error in one ends neither the others nor the process."""

    def __init__(self, failures: Failures) -> None:
        self.failures = failures

    def attempt(self, *steps: Callable[[], None]) -> None:
        """Run all steps of a task, each whatever becomes of the others.

        Raise only an error that has to end the process.
        """
        try:
            run_each(*steps)
        except ExceptionGroup as error:
            if ends_process(error):
                raise
            self.failures.record("step failed", error)

    async def run(self, task: Task) -> None:
        """Run a task until it returns, and again after each error.

        Raise only an error that has to end the process.
        """
        delay_s = RESTART_FIRST_S
        while True:
            began_at = anyio.current_time()
            try:
                await task()
                return
            except Exception as error:
                if ends_process(error):
                    raise
                fields = {"task": find_name(task), "again_s": delay_s}
                self.failures.record("task failed", error, **fields)
            if anyio.current_time() - began_at >= STEADY_S:
                delay_s = RESTART_FIRST_S
            await anyio.sleep(delay_s)
            delay_s = min(RESTART_LIMIT_S, 2 * delay_s)

    async def listen(self, task: Task) -> None:
        """Run a task that listens on an address.

        Raise AddressUnavailable if that can't be listened on at the start; later on the
        address is tried again like anything else.
        """
        first = True

        async def start() -> None:
            nonlocal first
            try:
                await task()
            except OSError as error:
                if first and error.errno in ADDRESS_ERRORS:
                    raise AddressUnavailable(
                        Code.ADDRESS_UNAVAILABLE, str(error)
                    ) from error
                raise
            finally:
                first = False

        start.__qualname__ = find_name(task)
        await self.run(start)
