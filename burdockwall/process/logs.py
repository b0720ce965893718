"""Structured logs: one JSON object or one text line per record."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import UTC

import logbook
import msgspec

from burdockwall.process.clock import read_clock
from burdockwall.process.ending import log_ending
from burdockwall.process.sink import LineSink
from burdockwall.settings import Settings

TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%fZ} {record.level_name} "
    "{record.channel} {record.message} {record.extra}"
)


class LogLine(msgspec.Struct, frozen=True):
    """The fields of a JSON log line."""

    time: str
    level: str
    channel: str
    message: str
    fields: dict[str, object]


def format_json(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    """Format a record as one JSON object."""
    line = LogLine(
        time=record.time.replace(tzinfo=UTC).isoformat(),
        level=record.level_name.lower(),
        channel=record.channel,
        message=record.message,
        fields={
            name: _to_json_value(value) for name, value in sorted(record.extra.items())
        },
    )
    return msgspec.json.encode(line).decode()


def _to_json_value(value: object) -> object:
    return value if isinstance(value, int | float | str | None) else str(value)


def create_log_handler(settings: Settings) -> logbook.Handler:
    """Create the handler that writes the process's log to standard error."""
    handler = logbook.StreamHandler(
        sys.stderr, level=settings.log_level.upper(), format_string=TEXT_FORMAT
    )
    if settings.log_format == "json":
        handler.formatter = format_json
    return handler


class SinkHandler(logbook.Handler):  # type: ignore[misc]
    """Queues each record as a JSON line, within the sink's limits."""

    def __init__(self, sink: LineSink, level: str) -> None:
        super().__init__(level=level)
        self.sink = sink

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a record; lines of refused or failed requests are not ordinary."""
        informational = record.level <= logbook.INFO
        ordinary = informational and not record.extra.get("code")
        self.sink.put(format_json(record, self), ordinary)


@contextmanager
def open_log(settings: Settings) -> Iterator[LineSink]:
    """Write the log to standard output without blocking, until the end of the block."""
    sink = LineSink(sys.stdout.fileno(), read_clock)
    try:
        with SinkHandler(sink, settings.log_level.upper()).applicationbound():
            with log_ending():
                yield sink
    finally:
        sink.close()
