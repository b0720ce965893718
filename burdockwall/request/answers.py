"""Write an answer to its caller, either as a stream of events or as one body."""

import msgspec

from burdockwall.connection.exchange import Exchange, Headers, build_refusal
from burdockwall.errors import BurdockwallError
from burdockwall.request.completion import (
    Choice,
    CompletionAnswer,
    Delta,
    join_answer,
)
from burdockwall.request.streams import LiveStream, StreamTable
from burdockwall.request.trace import RequestTrace

EVENT_STREAM_HEADERS = [
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-store"),
]


def _build_headers(stream: LiveStream) -> Headers:
    return [
        (b"program-id", stream.key.program.encode()),
        (b"program-turn", str(stream.key.turn).encode()),
    ]


async def write_events(
    streams: StreamTable,
    exchange: Exchange,
    stream: LiveStream,
    offset: int,
    trace: RequestTrace,
) -> None:
    """Write the events after an offset.

    An error after the first event is written as an event too.
    """
    try:
        async for chunk in streams.read(stream, offset):
            if not exchange.started:
                headers = EVENT_STREAM_HEADERS + _build_headers(stream)
                await exchange.start(200, headers)
            await exchange.write(chunk)
    except BurdockwallError as error:
        if not exchange.started:
            raise
        trace.code = error.code.value.number
        refusal = msgspec.json.encode({"error": build_refusal(error)})
        await exchange.write(b"event: error\ndata: %s\n\n" % refusal)
    await exchange.finish()


async def write_answer(
    streams: StreamTable, exchange: Exchange, stream: LiveStream
) -> None:
    """Wait for the end of the answer and write it as one body."""
    chunks = [chunk async for chunk in streams.read(stream, 0)]
    text = join_answer(b"".join(chunks))
    answer = CompletionAnswer([Choice(message=Delta(text))])
    await exchange.answer_json(200, answer, _build_headers(stream))
