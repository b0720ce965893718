"""What is known of a request's size before it is sent.

Made for requests that look alike and differ in cost by a factor of 30 or more.
"""

import math

import msgspec

from burdockwall.process.scheduling.reports import CacheKey
from burdockwall.types import CustomerId, ProgramId, RouteName

# Before a route's costs are known: one byte of a body that names no tokens counts as
# this many tokens, as English text has about four bytes a token.
TOKENS_PER_BYTE = 0.25
# A token covers at least a byte of its text, and hardly ever more than this.
MOST_BYTES_PER_TOKEN = 64.0
# Sizes are told apart by their powers of two up to this one.
LARGEST_CLASS = 24


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt that endpoints may have cached, with its tokens."""

    key: CacheKey
    tokens: int


class DeclaredSize(msgspec.Struct, frozen=True):
    """The size of a request as its caller declares it; None where it says nothing."""

    prompt_tokens: int | None = None
    output_tokens: int | None = None
    hint: float | None = None
    parts: tuple[PromptPart, ...] = ()


class RequestSize(msgspec.Struct, frozen=True):
    """The size of a request and whose it is, as cost estimates use it.

    `is_declared` is false if the caller declared nothing, or what the body contradicts.
    `output_tokens` are the most that the answer may have. `hint` is the caller's guess.
    """

    route: RouteName
    customer: CustomerId
    program: ProgramId | None
    prompt_tokens: float
    output_tokens: float
    is_declared: bool
    size_class: tuple[int, ...]
    parts: tuple[PromptPart, ...] = ()
    on_engine: bool = False
    continues: bool = False
    hint: float | None = None

    @property
    def written_tokens(self) -> float:
        """Return the tokens that the answer is expected to have."""
        if self.hint is None:
            return self.output_tokens
        return min(self.hint, self.output_tokens or self.hint)

    @property
    def tokens(self) -> float:
        """Return the tokens that a running request may hold in an engine's memory."""
        return self.prompt_tokens + self.output_tokens

    def count_earlier_tokens(self) -> float:
        """Return the tokens of the prompt that an earlier turn may have had."""
        known = sum(part.tokens for part in self.parts)
        return min(self.prompt_tokens, known or self.prompt_tokens)


def measure_size(
    route: RouteName,
    customer: CustomerId,
    program: ProgramId | None,
    declared: DeclaredSize,
    body_bytes: int,
    on_engine: bool = False,
    continues: bool = False,
) -> RequestSize:
    """Measure a request by what its caller declared or, without that, by its body.

    A turn that `continues` another may have a prompt of which the body is the end.
    """
    prompt, output = declared.prompt_tokens, declared.output_tokens
    if prompt is None or _contradicts(declared, body_bytes, continues):
        return RequestSize(
            route,
            customer,
            program,
            body_bytes * TOKENS_PER_BYTE,
            0.0 if output is None else float(output),
            False,
            (_classify(body_bytes), _classify(output or 0)),
            (),
            on_engine,
            continues,
        )
    classes = (_classify(prompt), _classify(output or 0), _classify(declared.hint or 0))
    return RequestSize(
        route,
        customer,
        program,
        float(prompt),
        float(output or 0),
        True,
        classes,
        declared.parts,
        on_engine,
        continues,
        declared.hint,
    )


def _contradicts(declared: DeclaredSize, body_bytes: int, continues: bool) -> bool:
    """Return whether a body is too short or too long for the declared prompt."""
    prompt = declared.prompt_tokens or 0
    cached_tokens = sum(part.tokens for part in declared.parts)
    if body_bytes > (prompt + 1) * MOST_BYTES_PER_TOKEN:
        return True
    return not continues and prompt - cached_tokens > body_bytes


def _classify(value: float) -> int:
    """Return the power of two above a value, 0 for none."""
    if value < 1:
        return 0
    return min(LARGEST_CLASS, 1 + math.floor(math.log2(value)))
