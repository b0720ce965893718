"""Decode JSON that others send, whatever its text is.

Where one part of a text can't be read, the text can be split without reading its parts:
strings and brackets are followed, nothing else is.
"""

import re
from typing import Annotated, TypeVar

import msgspec

Decoded = TypeVar("Decoded")
# A whole number that can be added up and encoded for peers.
Count = Annotated[int, msgspec.Meta(ge=0, le=10**12)]

WHITESPACE = b" \t\r\n"
OPENING = b"[{"
STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
# Up to the next comma or brackets of an array or object, and of what is within it.
OUTER_PATTERN = re.compile(
    rb'(?:[^"\[\]{},]++|' + STRING + rb")*+(,|[\[{]+|[\]}]+)", re.DOTALL
)
INNER_PATTERN = re.compile(
    rb'(?:[^"\[\]{}]++|' + STRING + rb")*+([\[{]+|[\]}]+)", re.DOTALL
)
MEMBER_PATTERN = re.compile(rb"[ \t\r\n]*(" + STRING + rb")[ \t\r\n]*:(.*)", re.DOTALL)
_name_decoder = msgspec.json.Decoder(str)


class JsonUnreadable(Exception):
    """A text is no JSON, or not of the type that was asked for."""


def decode_json(text: bytes, decoder: msgspec.json.Decoder[Decoded]) -> Decoded:
    """Decode a text, or raise JsonUnreadable whatever is wrong with it."""
    try:
        return decoder.decode(text)
    except RecursionError as error:
        raise JsonUnreadable("its brackets are too deep") from error
    except ValueError as error:
        # msgspec's errors are all ValueErrors, those of Unicode included.
        raise JsonUnreadable(str(error)) from error


def split_array(text: bytes) -> list[bytes]:
    """Split an array into the texts of its items, or raise JsonUnreadable."""
    return _split(text, b"[]")


def split_object(text: bytes) -> dict[str, bytes]:
    """Split an object into the texts of its values, or raise JsonUnreadable."""
    members = {}
    for part in _split(text, b"{}"):
        member = MEMBER_PATTERN.fullmatch(part)
        if member is None:
            raise JsonUnreadable("a member of an object has no name")
        members[decode_json(member[1], _name_decoder)] = member[2]
    return members


def _split(text: bytes, brackets: bytes) -> list[bytes]:
    """Split what is within brackets at its commas."""
    text = text.strip(WHITESPACE)
    if text[:1] + text[-1:] != brackets:
        raise JsonUnreadable(f"it is not within {brackets.decode()}")
    parts = []
    depth, begin, position = 1, 1, 1
    while depth > 0:
        pattern = OUTER_PATTERN if depth == 1 else INNER_PATTERN
        match = pattern.match(text, position)
        if match is None:
            raise JsonUnreadable("it has no end")
        mark, position = match[1], match.end()
        if mark == b",":
            parts.append(text[begin : position - 1])
            begin = position
        elif mark[0] in OPENING:
            depth += len(mark)
        else:
            depth -= len(mark)
    if depth < 0 or position != len(text):
        raise JsonUnreadable("bytes follow its end")
    last = text[begin:-1]
    if parts or last.strip(WHITESPACE):
        parts.append(last)
    return parts
