"""Store each answer's events while it is produced, so that callers can rejoin it."""

from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import anyio.abc
import logbook
import msgspec

from burdockwall.errors import BurdockwallError, Code, RequestRefused
from burdockwall.request.events import EventBuffer, skip_events
from burdockwall.types import CustomerId, ProgramId


class StreamKey(msgspec.Struct, frozen=True):
    """The key of the answer to one turn of one customer's program."""

    customer: CustomerId
    program: ProgramId
    turn: int


class LiveStream:
    """The events of one answer, for any number of readers.

    Readers wait for the events that are not produced yet. `body_digest` is the digest
    of the request's body.
    """

    def __init__(
        self, key: StreamKey, body_digest: str, clock: Callable[[], float]
    ) -> None:
        self.clock = clock
        self.endpoint = ""
        self.first_event_at: float | None = None
        self.key = key
        self.body_digest = body_digest
        self.buffer = EventBuffer()
        self.readers = 0
        self.ended = False
        self.error: BurdockwallError | None = None
        self.scope = anyio.CancelScope()
        self.revoked = False
        self._waiting: list[anyio.Event] = []

    async def append(self, events: bytes) -> None:
        """Add whole events and wake the readers."""
        if self.first_event_at is None:
            self.first_event_at = self.clock()
        self.buffer.add(events)
        self._notify()

    def revoke(self) -> None:
        """Stop producing the answer, since its turn was cancelled or superseded."""
        self.revoked = True
        self.scope.cancel()

    def end(self, error: BurdockwallError | None = None) -> None:
        """End the stream, with an error if the answer is not complete."""
        self.ended = True
        self.error = error
        self._notify()

    def _notify(self) -> None:
        # The list is usually empty: most events arrive while every reader is still
        # writing earlier ones.
        for changed in self._waiting:
            changed.set()
        self._waiting.clear()

    async def read(self, offset: int) -> AsyncIterator[bytes]:
        """Yield the events after an offset; raise the error that ended the stream."""
        position = 0
        while True:
            parts = self.buffer.list_parts(position)
            if self.buffer.done and (not self.ended or self.error is not None):
                # Readers get the last event only once the answer is stored.
                parts = parts[:-1]
            position += len(parts)
            if parts:
                skipped = skip_events(b"".join(parts), offset)
                offset = skipped.remaining
                if skipped.rest:
                    yield skipped.rest
                continue
            if self.error is not None:
                raise self.error
            if self.ended:
                return
            # No other task has run since the parts were read, so no event is missed.
            changed = anyio.Event()
            self._waiting.append(changed)
            await changed.wait()


Producer = Callable[[LiveStream], Awaitable[None]]


class StreamTable:
    """The live streams of a process.

    It runs their producers and cancels those without readers after `grace_s`. A
    complete answer is retained for `retention_s`, so that callers can rejoin it.
    """

    def __init__(
        self, grace_s: float, retention_s: float, clock: Callable[[], float]
    ) -> None:
        self.clock = clock
        self.grace_s = grace_s
        self.retention_s = retention_s
        self._streams: dict[StreamKey, LiveStream] = {}
        self._group: anyio.abc.TaskGroup | None = None
        self._logger = logbook.Logger("streams")

    async def run(self) -> None:
        """Run producers until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            await anyio.sleep_forever()

    def count(self) -> int:
        """Return the number of streams whose answer is not complete yet."""
        return sum(not stream.ended for stream in self._streams.values())

    def find(self, key: StreamKey, body_digest: str) -> LiveStream | None:
        """Return the stream of a turn, or None.

        Raise RequestRefused if a request with another body started it.
        """
        stream = self._streams.get(key)
        if stream is not None and stream.body_digest != body_digest:
            raise RequestRefused(
                Code.TURN_RUNNING,
                f"another caller won turn {key.turn}",
                retry_after_s=self.grace_s,
            )
        return stream

    def create_ended(
        self, key: StreamKey, body_digest: str, events: bytes
    ) -> LiveStream:
        """Create the stream of a complete answer; it is not added to the table."""
        stream = LiveStream(key, body_digest, self.clock)
        stream.buffer.add(events)
        stream.end()
        return stream

    def start(self, key: StreamKey, body_digest: str, produce: Producer) -> LiveStream:
        """Start producing an answer, and return its stream."""
        if self._group is None:
            raise RequestRefused(Code.NOT_READY, retry_after_s=1.0)
        stream = LiveStream(key, body_digest, self.clock)
        self._streams[key] = stream
        self._group.start_soon(self._produce, stream, produce)
        return stream

    async def _produce(self, stream: LiveStream, produce: Producer) -> None:
        error: BurdockwallError | None = RequestRefused(Code.CALLER_GONE)
        try:
            with stream.scope:
                await produce(stream)
                error = None
        except BurdockwallError as raised:
            error = raised
        except Exception as raised:  # The caller gets a code; the log has the error.
            self._logger.exception("producing {} failed", stream.key.program)
            error = RequestRefused(Code.INTERNAL, type(raised).__name__)
        finally:
            if stream.revoked and error is not None:
                error = RequestRefused(Code.CALL_REVOKED)
            stream.end(error)
        if error is None:
            await anyio.sleep(self.retention_s)
        self._remove(stream)

    def _remove(self, stream: LiveStream) -> None:
        if self._streams.get(stream.key) is stream:
            del self._streams[stream.key]

    async def read(self, stream: LiveStream, offset: int) -> AsyncIterator[bytes]:
        """Yield a stream's events to one caller, counted as a reader meanwhile."""
        stream.readers += 1
        try:
            async for chunk in stream.read(offset):
                yield chunk
        finally:
            stream.readers -= 1
            if not stream.readers and not stream.ended and self._group is not None:
                self._group.start_soon(self._abandon, stream)

    async def _abandon(self, stream: LiveStream) -> None:
        # A caller that reconnects rejoins the stream within this time.
        await anyio.sleep(self.grace_s)
        if not stream.readers and not stream.ended:
            stream.scope.cancel()
