"""Log the errors that end a process."""

import traceback
from collections.abc import Iterator
from contextlib import contextmanager

import logbook

from burdockwall.errors import BurdockwallError


@contextmanager
def log_ending() -> Iterator[None]:
    """Log each error that ends the process, with its place in the code."""
    try:
        yield
    except Exception as error:
        log_causes(error)
        raise


def log_causes(error: Exception) -> None:
    """Log an error, or each of the errors in a group."""
    logger = logbook.Logger("instance")
    for cause in list_causes(error):
        logger.critical("process ends by itself", extra=describe_cause(cause))


def describe_cause(cause: BaseException) -> dict[str, object]:
    """Return the fields of a log line about an error."""
    extra: dict[str, object] = {
        "error": f"{type(cause).__name__}: {cause}",
        "place": find_place(cause),
    }
    if isinstance(cause, BurdockwallError):
        extra["code"] = cause.code.value.number
    return extra


def list_causes(error: BaseException) -> Iterator[BaseException]:
    """List the errors in an exception group and the groups in it."""
    if isinstance(error, BaseExceptionGroup):
        for inner in error.exceptions:
            yield from list_causes(inner)
    else:
        yield error


def find_place(error: BaseException) -> str:
    """Return the function and line where an error was raised, and its caller's."""
    frames = traceback.extract_tb(error.__traceback__)[-2:]
    return " < ".join(f"{frame.name}:{frame.lineno}" for frame in reversed(frames))
