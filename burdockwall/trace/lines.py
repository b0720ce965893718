"""Read the log lines of instances."""

from collections.abc import Iterable, Iterator, Sequence
from datetime import datetime
from pathlib import Path
from typing import TextIO

import msgspec

from burdockwall.errors import Code, OperatorError

# Lines that are truncated or come from other programs are skipped up to this share.
UNREADABLE_SHARE = 0.5


class LogEntry(msgspec.Struct, frozen=True):
    """One log line of an instance."""

    time: datetime
    level: str
    channel: str
    message: str
    fields: dict[str, str | int | float | bool | None] = {}
    instance: str = ""


class RequestFields(msgspec.Struct, frozen=True):
    """The fields of the log line of an ended request.

    Times are milliseconds since the start of the request.
    """

    request: str
    program: str = ""
    customer: str = ""
    route: str = ""
    endpoint: str = ""
    software: str = ""
    resumed_from: str = ""
    last_event: str = ""
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
    """Return the lines of log files, or of standard input if none is named, by time.

    The instance is the last word before a line's JSON object, as log collectors prefix
    it, or else the name of the file. Raise OperatorError if too many lines are
    unreadable.
    """
    entries: list[LogEntry] = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as lines:
            entries += _read_lines(lines, path.stem)
    if not paths:
        entries += _read_lines(standard_input, "")
    return sorted(entries, key=lambda entry: entry.time)


def _read_lines(lines: Iterable[str], name: str) -> Iterator[LogEntry]:
    readable = unreadable = 0
    for line in lines:
        entry = parse_line(line, name)
        readable += entry is not None
        unreadable += entry is None and "{" in line
        if entry is not None:
            yield entry
    if unreadable > UNREADABLE_SHARE * (readable + unreadable):
        detail = f"{name or 'standard input'}: {unreadable} lines are no log lines"
        raise OperatorError(Code.LOGS_UNREADABLE, detail)


def parse_line(line: str, name: str) -> LogEntry | None:
    """Parse one line; return None if it is not a log line of an instance."""
    before, brace, rest = line.partition("{")
    if not brace:
        return None
    try:
        entry = msgspec.json.decode(f"{brace}{rest}", type=LogEntry)
    except msgspec.MsgspecError:
        return None
    words = before.split()
    return msgspec.structs.replace(entry, instance=words[-1] if words else name)
