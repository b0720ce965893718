"""Define the messages between entry instances and stores, and between stores."""

from enum import Enum

import msgspec

from burdockwall.machine import Message
from burdockwall.process.storage.records import LedgerRecord, RecordKey
from burdockwall.types import (
    CallId,
    CustomerId,
    Incarnation,
    InstanceId,
    ProgramId,
    TurnId,
)


class Charge(msgspec.Struct, frozen=True, array_like=True):
    """Hold what one turn counts against its program's budget, in tokens.

    Until it is settled, a turn counts at the most that it may generate.
    """

    turn: TurnId
    tokens: int
    settled: bool


class ChainLink(msgspec.Struct, frozen=True, array_like=True):
    """Hold what one kept turn was asked and what it answered."""

    prompt: bytes
    answer: bytes


class Presence(Enum):
    """Tell what a store knows of a turn that a caller names."""

    NOT_ASKED = "not asked"
    STORED = "kept"
    # An earlier turn of its chain has not been copied to the store yet.
    PARTIAL = "partial"
    ABSENT = "absent"


class BeginTurn(Message, frozen=True):
    """Reserve tokens for a turn, and look up the one that it continues."""

    call: CallId
    incarnation: Incarnation
    customer: CustomerId
    program: ProgramId
    turn: TurnId
    tokens: int
    retention_ms: int
    previous: TurnId | None = None
    sends_chain: bool = False


class TurnBegun(Message, frozen=True):
    """Confirm a synced reservation; `complete` stores hold all that was stored."""

    call: CallId
    incarnation: Incarnation
    complete: bool
    charges: list[Charge]
    presence: Presence
    chain: list[ChainLink] | None = None


class EndTurn(Message, frozen=True):
    """Settle a turn; a whole one is kept with what it was asked and answered."""

    call: CallId
    incarnation: Incarnation
    customer: CustomerId
    program: ProgramId
    turn: TurnId
    tokens: int
    whole: bool
    retention_ms: int
    previous: TurnId | None = None
    prompt: bytes = b""
    answer: bytes = b""


class TurnEnded(Message, frozen=True):
    """Confirm a synced settlement."""

    call: CallId
    incarnation: Incarnation


class StoreFull(Message, frozen=True):
    """Refuse a call, since the store's bound on bytes is reached."""

    call: CallId
    incarnation: Incarnation


class AskIndex(Message, frozen=True):
    """Ask a store which records it holds from a position of its log on."""

    incarnation: Incarnation
    position: int


class RecordIndex(Message, frozen=True):
    """List records up to `position`; `ended` tells that there are no more yet."""

    incarnation: Incarnation
    complete: bool
    position: int
    ended: bool
    keys: list[RecordKey]


class AskRecords(Message, frozen=True):
    """Ask a store for records by their keys."""

    keys: list[RecordKey]


class RecordsFound(Message, frozen=True):
    """Send records, with how long each is still kept."""

    records: list[LedgerRecord]


class AskCopied(Message, frozen=True):
    """Ask a store whether it holds all that another store held."""

    source: InstanceId
    since_s: float


class Copied(Message, frozen=True):
    """Tell whether a store has copied all that another store held."""

    source: InstanceId
    done: bool


AnyStorageMessage = (
    BeginTurn
    | TurnBegun
    | EndTurn
    | TurnEnded
    | StoreFull
    | AskIndex
    | RecordIndex
    | AskRecords
    | RecordsFound
    | AskCopied
    | Copied
)
