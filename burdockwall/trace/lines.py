"""Read the log lines of one or several instances."""

from collections.abc import Iterable, Iterator, Sequence
from datetime import datetime
from pathlib import Path
from typing import TextIO

import msgspec

from burdockwall.errors import Code, OperatorError

# Lines of other programs, or cut ones, are passed over up to this share.
UNREADABLE_SHARE = 0.5


class LogEntry(msgspec.Struct, frozen=True):
    """Hold one log line of an instance."""

    time: datetime
    level: str
    channel: str
    message: str
    fields: dict[str, str | int | float | bool | None] = {}
    instance: str = ""


class RequestFields(msgspec.Struct, frozen=True):
    """Hold what the line of an ended request says; times are milliseconds from it."""

    request: str
    program: str = ""
    customer: str = ""
    route: str = ""
    endpoint: str = ""
    configuration: int = 0
    code: int = 0
    status: int = 0
    detail: str = ""
    failures: str = ""
    begun_ms: float | None = None
    admitted_ms: float | None = None
    sent_ms: float | None = None
    first_byte_ms: float | None = None
    answered_ms: float | None = None
    total_ms: float = 0.0


def read_entries(paths: Sequence[Path], standard_input: TextIO) -> list[LogEntry]:
    """Read log files, or standard input where none is named, in order of time.

    What stands before a line's object, as a log collector puts it there, names the
    instance; else the file does. Raise OperatorError where hardly a line is readable.
    """
    entries: list[LogEntry] = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as lines:
            entries += _read_lines(lines, path.stem)
    if not paths:
        entries += _read_lines(standard_input, "")
    return sorted(entries, key=lambda entry: entry.time)


def _read_lines(lines: Iterable[str], name: str) -> Iterator[LogEntry]:
    read = unreadable = 0
    for line in lines:
        entry = parse_line(line, name)
        read += entry is not None
        unreadable += entry is None and "{" in line
        if entry is not None:
            yield entry
    if unreadable > UNREADABLE_SHARE * (read + unreadable):
        detail = f"{name or 'standard input'}: {unreadable} lines are no log lines"
        raise OperatorError(Code.LOGS_UNREADABLE, detail)


def parse_line(line: str, name: str) -> LogEntry | None:
    """Parse one line; None where it is not one of this project's."""
    before, brace, rest = line.partition("{")
    if not brace:
        return None
    try:
        entry = msgspec.json.decode(f"{brace}{rest}", type=LogEntry)
    except msgspec.MsgspecError:
        return None
    words = before.split()
    return msgspec.structs.replace(entry, instance=words[-1] if words else name)
