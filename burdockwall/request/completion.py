"""The bodies of chat completions and the events of their streams."""

import msgspec

from burdockwall.connection.json_text import Count, JsonUnreadable, decode_json
from burdockwall.errors import Code, RequestRefused
from burdockwall.types import ModelName


class ChatMessage(msgspec.Struct, frozen=True, omit_defaults=True):
    """One message of a conversation."""

    role: str
    content: str


class CompletionRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """The parts of a completion request that the entry uses."""

    model: ModelName
    messages: list[ChatMessage]
    max_tokens: Count = 256
    stream: bool = False
    continue_final_message: bool = False


class Delta(msgspec.Struct, frozen=True):
    """The text that one event adds to the answer."""

    content: str = ""


class Choice(msgspec.Struct, frozen=True, omit_defaults=True):
    """One choice: `delta` in an event of a stream, `message` in a whole answer."""

    delta: Delta = Delta()
    message: Delta = Delta()


class CompletionEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event of a streamed completion.

    `system_fingerprint` names the version of the engine's software, if it says so.
    """

    choices: list[Choice] = []
    system_fingerprint: str | None = None


class CompletionAnswer(msgspec.Struct, frozen=True):
    """A whole answer for a caller that does not stream."""

    choices: list[Choice]


DONE_DATA = b"[DONE]"
_request_decoder = msgspec.json.Decoder(CompletionRequest)
_event_decoder = msgspec.json.Decoder(CompletionEvent)


def parse_completion(body: bytes) -> CompletionRequest:
    """Parse a caller's body, or raise RequestRefused."""
    try:
        return decode_json(body, _request_decoder)
    except JsonUnreadable as error:
        detail = f"the body is not a completion request: {error}"
        raise RequestRefused(Code.BAD_REQUEST, detail) from error


def join_answer(stream: bytes) -> str:
    """Return the text of all events of a stream."""
    parts: list[str] = []
    for line in stream.splitlines():
        if not line.startswith(b"data:"):
            continue
        data = line[5:].strip()
        if data == DONE_DATA:
            continue
        event = _event_decoder.decode(data)
        parts.extend(choice.delta.content for choice in event.choices)
    return "".join(parts)


def find_fingerprint(events: bytes) -> str | None:
    """Return the fingerprint in the first of some events, or None."""
    for line in events.splitlines():
        if not line.startswith(b"data:"):
            continue
        data = line[5:].strip()
        if data == DONE_DATA:
            return None
        try:
            return decode_json(data, _event_decoder).system_fingerprint
        except JsonUnreadable:
            return None
    return None


def format_events(answer: str) -> bytes:
    """Format a whole answer as the events of a stream."""
    event = CompletionEvent([Choice(Delta(answer))])
    data = msgspec.json.encode(event)
    return b"id: 1\ndata: %s\n\nid: 2\ndata: %s\n\n" % (data, DONE_DATA)
