"""Encode and compress turns, and cache recent histories at the entry."""

import zlib
from collections import OrderedDict

import msgspec

from burdockwall.request.completion import ChatMessage
from burdockwall.types import CustomerId, ProgramId, ProgramTag

COMPRESSION_LEVEL = 1


class TurnContent(msgspec.Struct, frozen=True, array_like=True):
    """What one turn adds to a history: new messages, the answer and its events."""

    messages: list[ChatMessage]
    answer: str
    events: int


_decoder = msgspec.msgpack.Decoder(TurnContent)


def encode_turn(content: TurnContent) -> bytes:
    """Encode a turn as it is replicated and stored."""
    return zlib.compress(msgspec.msgpack.encode(content), COMPRESSION_LEVEL)


def decode_turn(data: bytes) -> TurnContent:
    """Decode a stored turn."""
    return _decoder.decode(zlib.decompress(data))


def build_prompt(turns: list[bytes], messages: list[ChatMessage]) -> list[ChatMessage]:
    """Build the whole prompt from the history and the new messages."""
    prompt: list[ChatMessage] = []
    for data in turns:
        content = decode_turn(data)
        prompt += content.messages
        prompt.append(ChatMessage("assistant", content.answer))
    return prompt + messages


class _CachedHistory(msgspec.Struct):
    tag: ProgramTag
    turns: list[bytes]
    size_bytes: int


class HistoryCache:
    """Caches recent histories, so that a primary sends only the missing turns."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.size_bytes = 0
        self._histories: OrderedDict[tuple[CustomerId, ProgramId], _CachedHistory] = (
            OrderedDict()
        )

    def find(
        self, customer: CustomerId, program: ProgramId
    ) -> tuple[ProgramTag, list[bytes]]:
        """Return a program's tag and cached turns, or an empty tag and no turns."""
        cached = self._histories.get((customer, program))
        if cached is None:
            return ProgramTag(""), []
        return cached.tag, cached.turns

    def put(
        self,
        customer: CustomerId,
        program: ProgramId,
        tag: ProgramTag,
        turns: list[bytes],
    ) -> None:
        """Cache a history, and drop the least recently stored ones over the limit."""
        key = (customer, program)
        previous = self._histories.pop(key, None)
        if previous is not None:
            self.size_bytes -= previous.size_bytes
        size = sum(len(turn) for turn in turns)
        self._histories[key] = _CachedHistory(tag, turns, size)
        self.size_bytes += size
        while self.size_bytes > self.limit_bytes and self._histories:
            _, dropped = self._histories.popitem(last=False)
            self.size_bytes -= dropped.size_bytes
