"""Split, count and join the events of a stream without parsing each of them."""

import msgspec

from burdockwall.connection.figures import read_count
from burdockwall.request.completion import DONE_DATA

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
COMMENT = b":"
DATA_FIELD = b"data:"
# The caller's or endpoint's header that names the last event received.
LAST_EVENT_ID = b"last-event-id"
EVENT_LIMIT_BYTES = 1_048_576
DONE_LINE = b"data: " + DONE_DATA + EVENT_END


class EventTooLong(Exception):
    """An event has more bytes than EVENT_LIMIT_BYTES."""


class EventSplitter(msgspec.Struct):
    """Splits a byte stream at the ends of its events."""

    _tail: bytes = b""

    def feed(self, chunk: bytes) -> bytes:
        """Add bytes and return all up to the end of the last whole event.

        Raise EventTooLong if an event does not end in time.
        """
        data = self._tail + chunk if self._tail else chunk
        end = data.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            if len(data) > EVENT_LIMIT_BYTES:
                raise EventTooLong
            self._tail = data
            return b""
        self._tail = data[end:]
        return data[:end]

    @property
    def partial_bytes(self) -> int:
        """Return the bytes of the event that has not ended yet."""
        return len(self._tail)

    @property
    def has_partial(self) -> bool:
        """Return whether the bytes so far end within an event."""
        return bool(self._tail)


def drop_comments(events: bytes) -> bytes:
    """Remove blocks of comments, which show only that the engine is alive."""
    if not events.startswith(COMMENT) and EVENT_END + COMMENT not in events:
        return events
    blocks = events.split(EVENT_END)[:-1]
    return b"".join(
        block + EVENT_END
        for block in blocks
        if not all(line.startswith(COMMENT) for line in block.split(b"\n"))
    )


class EventBuffer(msgspec.Struct):
    """Whole events and their number; `done` is set once the last event is added."""

    event_count: int = 0
    done: bool = False
    _parts: list[bytes] = msgspec.field(default_factory=list)

    def add(self, events: bytes) -> None:
        """Add one or more whole events."""
        self.event_count += events.count(EVENT_END)
        self.done = self.done or events.endswith(DONE_LINE)
        self._parts.append(events)

    def list_parts(self, position: int) -> list[bytes]:
        """Return the parts added after the first `position` ones."""
        return self._parts[position:]

    def join(self) -> bytes:
        """Return all events so far."""
        return b"".join(self._parts)


class SkipResult(msgspec.Struct, frozen=True):
    """The rest of a chunk, and the number of events that remain to be skipped."""

    rest: bytes
    remaining: int


def skip_events(chunk: bytes, count: int) -> SkipResult:
    """Remove up to `count` events from the start of a chunk."""
    position = 0
    while count and position < len(chunk):
        end = chunk.find(EVENT_END, position)
        position = end + len(EVENT_END)
        count -= 1
    return SkipResult(chunk[position:], count)


def join_event_data(events: bytes) -> bytes:
    """Join the data of whole events, each followed by a line feed."""
    texts = []
    for event in events.split(EVENT_END)[:-1]:
        lines = [
            line[len(DATA_FIELD) :].removeprefix(b" ")
            for line in event.split(b"\n")
            if line.startswith(DATA_FIELD)
        ]
        texts.append(b"\n".join(lines) + b"\n")
    return b"".join(texts)


def find_event_id(events: bytes) -> int | None:
    """Return the id of the first of some whole events, or None if it has none."""
    event = events[: events.find(EVENT_END)]
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            return read_count(line[len(ID_FIELD) :].strip().decode("latin-1"))
    return None
