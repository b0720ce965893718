"""Reader of the headers in which callers declare the size of a request.

A figure that can't be read counts as missing, since it only helps to place the request.
"""

import re

from burdockwall.platform import names
from burdockwall.process.scheduling.reports import CacheKey
from burdockwall.process.scheduling.request_size import DeclaredSize, PromptPart

TOKENS_PATTERN = re.compile(r"[0-9]{1,9}")
HINT_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,6})?")
SEPARATORS = re.compile(r"[,;\s]+")
MAX_PARTS = 16
MAX_KEY_CHARACTERS = 128


def read_size(headers: dict[bytes, bytes]) -> DeclaredSize:
    """Read what a request's headers declare of its size."""
    prompt, _, output = _get_text(headers, names.TOKEN_USAGE).partition(",")
    hint = _get_text(headers, names.LENGTH_HINT)
    return DeclaredSize(
        _read_tokens(prompt),
        _read_tokens(output),
        float(hint) if HINT_PATTERN.fullmatch(hint) else None,
        _read_parts(_get_text(headers, names.PROMPT_PREFIX)),
    )


def _get_text(headers: dict[bytes, bytes], name: bytes) -> str:
    return headers.get(name, b"").decode("latin-1").strip()


def _read_tokens(text: str) -> int | None:
    text = text.strip()
    return int(text) if TOKENS_PATTERN.fullmatch(text) else None


def _read_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in SEPARATORS.split(text)[:MAX_PARTS]:
        key, _, figure = item.rpartition(":")
        tokens = _read_tokens(figure)
        if key and tokens and len(key) <= MAX_KEY_CHARACTERS:
            parts.append(PromptPart(CacheKey(key), tokens))
    return tuple(parts)
