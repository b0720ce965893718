"""The kinds of requests at a customer's rate, and the order in which they are served.

Answers the load of more programs than a rate carries: requests of programs under way
come first, so that the programs that were admitted also end.
"""

import hashlib
from enum import IntEnum
from typing import NewType

import msgspec

from burdockwall.types import ProgramId

# A program of a customer, as 63 bits of the digest of its id.
ProgramMark = NewType("ProgramMark", int)
NO_PROGRAM = ProgramMark(0)
# A less urgent request is served after at most this many more urgent ones, so that no
# kind starves.
URGENT_RUN = 7


class Kind(IntEnum):
    """The kind of a request; the lowest is the most urgent."""

    IN_FLIGHT = 0
    ALONE = 1
    START = 2


def mark_program(program: ProgramId) -> ProgramMark:
    """Return the mark under which holders and owners know a program."""
    digest = hashlib.blake2b(program.encode(), digest_size=8).digest()
    return ProgramMark(int.from_bytes(digest, "big") >> 1 or 1)


class RateRequest(msgspec.Struct, frozen=True):
    """A request at a customer's rate; `wait_s` is how long it may wait for that.

    `wait_s` counts only for requests of programs.
    """

    kind: Kind = Kind.ALONE
    program: ProgramMark = NO_PROGRAM
    wait_s: float = 0.0


ALONE = RateRequest()
