"""The messages between entry instances and stores, and between stores."""

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
    ServiceName,
    SoftwareVersion,
    TurnId,
)


class Charge(msgspec.Struct, frozen=True, array_like=True):
    """The tokens that one turn counts against its program's budget.

    Until it is settled, a turn counts with the maximum that it may generate.
    """

    turn: TurnId
    tokens: int
    settled: bool


class ChainLink(msgspec.Struct, frozen=True, array_like=True):
    """The prompt and the answer of one stored turn."""

    prompt: bytes
    answer: bytes


class StreamPlace(msgspec.Struct, frozen=True, array_like=True):
    """The service and software version from which an answer's stream comes.

    `attempt` counts the places of one request's answer, of which the latest is valid.
    """

    service: ServiceName
    software: SoftwareVersion
    attempt: int = 0


class Presence(Enum):
    """Whether a store has the previous turn that a caller names."""

    NOT_ASKED = "not asked"
    STORED = "kept"
    # An earlier turn of its chain has not been copied to the store yet.
    PARTIAL = "partial"
    ABSENT = "absent"


class BeginTurn(Message, frozen=True):
    """Reserves tokens for a turn, and looks up the turn that it continues.

    `place` is where the turn's stream will come from, if callers may take it up.
    `resumes` is the turn whose stream this one takes up. `prompt_bytes` is what the
    turn will store beside its answer, or 0 from an earlier build.
    """

    call: CallId
    incarnation: Incarnation
    customer: CustomerId
    program: ProgramId
    turn: TurnId
    tokens: int
    retention_ms: int
    previous: TurnId | None = None
    sends_chain: bool = False
    place: StreamPlace | None = None
    resumes: TurnId | None = None
    prompt_bytes: int = 0


class FindTurn(Message, frozen=True):
    """Looks up a turn in a group of stores that does not hold the asking program."""

    call: CallId
    incarnation: Incarnation
    customer: CustomerId
    previous: TurnId
    sends_chain: bool = False


class TurnBegun(Message, frozen=True):
    """Confirms a synced reservation, or answers a look-up, which has no charges.

    `complete` is whether the store has all records that were stored before. `place` is
    that of the stream which the turn takes up, if the store knows it. The store has
    been told of places for `places_s` seconds. `answered` is whether the store knows a
    turn of the program that was answered completely, or None from an earlier build.
    """

    call: CallId
    incarnation: Incarnation
    complete: bool
    charges: list[Charge]
    presence: Presence
    chain: list[ChainLink] | None = None
    place: StreamPlace | None = None
    places_s: float = 0.0
    answered: bool | None = None


class EndTurn(Message, frozen=True):
    """Settles a turn; a whole turn is stored with its prompt and answer."""

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
    """Confirms a synced settlement."""

    call: CallId
    incarnation: Incarnation


class StoreFull(Message, frozen=True):
    """Refuses a call, since the store has reached its size limit."""

    call: CallId
    incarnation: Incarnation


class AskIndex(Message, frozen=True):
    """Asks a store which records its log has from a position on.

    `asker` is the incarnation of the asking store, or 0 from an earlier build.
    """

    incarnation: Incarnation
    position: int
    asker: Incarnation = Incarnation(0)


class RecordIndex(Message, frozen=True):
    """Lists the records up to `position`; `ended` is whether these are all so far.

    `asker` is that of the question, or 0 from an earlier build.
    """

    incarnation: Incarnation
    complete: bool
    position: int
    ended: bool
    keys: list[RecordKey]
    asker: Incarnation = Incarnation(0)


class AskRecords(Message, frozen=True):
    """Asks a store for records by their keys."""

    keys: list[RecordKey]


class RecordsFound(Message, frozen=True):
    """Sends records, each with its retention.

    `absent` are the keys asked for that the store does not hold, or no longer.
    """

    records: list[LedgerRecord]
    absent: list[RecordKey] = []


class AskCopied(Message, frozen=True):
    """Asks a store whether it has copied all records of another store.

    It must have caught up with that store's log within the last `since_s` seconds.
    """

    source: InstanceId
    since_s: float


class Copied(Message, frozen=True):
    """Reports whether a store has copied all records of another store."""

    source: InstanceId
    done: bool


AnyStorageMessage = (
    BeginTurn
    | FindTurn
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
