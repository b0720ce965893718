"""The ledger of one store: its records of turns and of charges against budgets.

Records are applied in any order and any number of times, so stores need no common
order: two stores with the same records have the same ledger. A record is confirmed
only after it is synced to disk.
"""

from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from itertools import zip_longest

import msgspec

from burdockwall.machine import Message, Receive, Send, Tick
from burdockwall.process.deferred import DeferredMessages
from burdockwall.process.storage.accounts import (
    ACCOUNT_RETENTIONS,
    Accounts,
    ProgramKey,
)
from burdockwall.process.storage.kept_records import (
    KeptRecord,
    ReadRecord,
    UnsyncedRecords,
    keep_record,
    keep_recovered,
)
from burdockwall.process.storage.messages import (
    AskIndex,
    AskRecords,
    BeginTurn,
    ChainLink,
    Charge,
    EndTurn,
    FindTurn,
    Presence,
    RecordIndex,
    RecordsFound,
    StoreFull,
    StreamPlace,
    TurnBegun,
    TurnEnded,
)
from burdockwall.process.storage.records import (
    MS_PER_S,
    RECORD_OVERHEAD_BYTES,
    LedgerRecord,
    RecordKey,
    RecordKind,
    RecordPlace,
    StoredRecord,
    StoreState,
    TurnKey,
)
from burdockwall.process.storage.room import StoreRoom
from burdockwall.process.storage.stream_places import StreamPlaces
from burdockwall.types import (
    CustomerId,
    Incarnation,
    InstanceId,
    TurnId,
)

LEDGER_MESSAGES: tuple[type[Message], ...] = (
    BeginTurn,
    FindTurn,
    EndTurn,
    AskIndex,
    AskRecords,
)
# Other stores receive younger records from the entry instances directly.
INDEX_DELAY_S = 0.4
INDEX_KEYS_LIMIT = 2000
ANSWER_BYTES_LIMIT = 262_144
# A longer conversation would not fit into the message that brings it to an entry.
CHAIN_LIMIT_BYTES = 5_000_000
EXPIRE_INTERVAL_S = 1.0
# Of texts that are read and written again at a time.
REWRITE_BYTES_LIMIT = 4_194_304
STATE_REWRITE_S = 30.0


class WriteRecords(msgspec.Struct, frozen=True):
    """An action: write records, and report RecordsSynced with the ticket."""

    ticket: int
    records: tuple[StoredRecord, ...]


class RecordsSynced(msgspec.Struct, frozen=True):
    """An event: every record up to a ticket is synced to disk, at `places`.

    All files together have `filed_bytes`.
    """

    ticket: int
    places: Sequence[RecordPlace] = ()
    filed_bytes: int = 0


class ReleaseRecords(msgspec.Struct, frozen=True):
    """An action: the oldest `records` records of the files are no longer needed."""

    records: int


class _StoredTurn(msgspec.Struct):
    kept: KeptRecord
    expires_at: float


class _LogEntry(msgspec.Struct, frozen=True):
    record: KeptRecord | StoreState
    logged_at: float


def _refuse_read(place: RecordPlace) -> LedgerRecord:
    raise LookupError(f"no files to read {place} from")


class Ledger:
    """Applies, confirms and looks up the records of turns."""

    def __init__(
        self,
        incarnation: Incarnation,
        complete: bool,
        limit_bytes: int,
        read_record: ReadRecord = _refuse_read,
        disk_limit_bytes: int = 0,
    ) -> None:
        self.incarnation = incarnation
        self.state = StoreState(complete)
        self.room = StoreRoom(limit_bytes, disk_limit_bytes)
        self._accounts = Accounts()
        self._turns: dict[TurnKey, _StoredTurn] = {}
        self._records: dict[RecordKey, KeptRecord] = {}
        self._read_record = read_record
        self._unsynced = UnsyncedRecords()
        self._log: deque[_LogEntry] = deque()
        self._log_start = 0
        self._ticket = 0
        self._synced = 0
        self._deferred = DeferredMessages()
        self._batch: list[StoredRecord] = []
        self.stream_places = StreamPlaces()
        self._next_expiry_at = 0.0

    @property
    def stored_bytes(self) -> int:
        """Return the memory that the records take."""
        return self.room.stored_bytes

    @property
    def unsynced_bytes(self) -> int:
        """Return the size of the texts that are not in the files yet."""
        return self._unsynced.text_bytes

    def recover(
        self,
        records: Iterable[StoredRecord],
        whole: bool,
        now: float,
        places: Iterable[RecordPlace] = (),
    ) -> None:
        """Apply the records of the files; the retention of each starts again.

        The store becomes incomplete if the files are not whole. Without any record its
        state stays as it was created.
        """
        self.stream_places.since = now
        for record, place in zip_longest(records, places):
            self.room.filed_bytes += place.size if place is not None else 0
            if isinstance(record, StoreState):
                self._log.append(_LogEntry(record, now))
                self.state = record
            else:
                kept = keep_recovered(record, place)
                self._log.append(_LogEntry(kept, now))
                self._apply(kept, now)
        if not self._log:
            self.set_state(self.state, now)
        elif not whole:
            self.set_state(StoreState(False, self.state.since), now)

    def handle(
        self, event: Tick | Receive | RecordsSynced, now: float
    ) -> list[WriteRecords | ReleaseRecords | Send]:
        """Handle an event and return what to write and send."""
        actions: list[WriteRecords | ReleaseRecords | Send] = []
        match event:
            case RecordsSynced(ticket=ticket, places=places):
                self._synced = max(self._synced, ticket)
                self.room.filed_bytes = event.filed_bytes
                self._release_texts(self._unsynced.take(ticket), places)
            case Tick():
                actions += self._expire(now)
            case Receive(sender=sender, message=message):
                actions += self._receive(sender, message, now)
        return [*self._take_batch(), *actions, *self._deferred.release(self._synced)]

    def _take_batch(self) -> list[WriteRecords]:
        if not self._batch:
            return []
        batch, self._batch = tuple(self._batch), []
        return [WriteRecords(self._ticket, batch)]

    def _receive(self, sender: InstanceId, message: Message, now: float) -> list[Send]:
        match message:
            case BeginTurn() | EndTurn() if not self._has_room(message, now):
                return [Send(sender, StoreFull(message.call, message.incarnation))]
            case BeginTurn():
                self._begin(sender, message, now)
            case FindTurn():
                self._answer_begin(sender, message, [], now)
            case EndTurn():
                self._end(sender, message, now)
            case AskIndex():
                return [Send(sender, self._list_index(message, now))]
            case AskRecords(keys=keys):
                absent = [key for key in keys if not self.holds(key)]
                return [Send(sender, RecordsFound(self._find_records(keys), absent))]
            case _:
                pass
        return []

    def _has_room(self, message: BeginTurn | EndTurn, now: float) -> bool:
        key = TurnKey(message.customer, message.turn)
        if isinstance(message, BeginTurn):
            if self._is_too_long(message):
                return False
            return self.room.reserve(key, message.prompt_bytes, now)
        return self.room.has_reserved(key) or not self.room.is_full

    # Turns.

    def _begin(self, sender: InstanceId, message: BeginTurn, now: float) -> None:
        record = LedgerRecord(
            RecordKind.RESERVED,
            message.customer,
            message.program,
            message.turn,
            message.tokens,
            message.retention_ms,
        )
        self.add(record, now)
        if message.place is not None:
            key = TurnKey(message.customer, message.turn)
            self.stream_places.record(key, message.place, now)
        # If a repeated turn names another program, it counts against the first one.
        program = ProgramKey(message.customer, message.program)
        others = self._accounts.list_other_charges(program, message.turn)
        answered = self._accounts.is_answered(program)
        self._answer_begin(sender, message, others, now, answered)

    def _answer_begin(
        self,
        sender: InstanceId,
        message: BeginTurn | FindTurn,
        charges: list[Charge],
        now: float,
        answered: bool | None = None,
    ) -> None:
        chain = self._find_chain(message.customer, message.previous)
        presence = self._get_presence(message, chain)
        sends_chain = message.sends_chain and presence is Presence.STORED
        self._reply(
            sender,
            TurnBegun(
                message.call,
                message.incarnation,
                self.state.complete,
                charges,
                presence,
                self._load_chain(chain or []) if sends_chain else None,
                self._find_place(message),
                now - self.stream_places.since,
                answered,
            ),
        )

    def _find_place(self, message: BeginTurn | FindTurn) -> StreamPlace | None:
        if isinstance(message, FindTurn) or message.resumes is None:
            return None
        return self.stream_places.find(TurnKey(message.customer, message.resumes))

    def _get_presence(
        self, message: BeginTurn | FindTurn, chain: list[KeptRecord] | None
    ) -> Presence:
        if message.previous is None:
            return Presence.NOT_ASKED
        if TurnKey(message.customer, message.previous) not in self._turns:
            return Presence.ABSENT
        return Presence.PARTIAL if chain is None else Presence.STORED

    def _find_chain(
        self, customer: CustomerId, latest: TurnId | None
    ) -> list[KeptRecord] | None:
        """Return a turn and all those before it, oldest first, or None if one lacks."""
        if latest is None:
            return []
        chain = [stored.kept for stored in self._walk_chain(customer, latest)]
        if not chain or chain[-1].record.previous is not None:
            return None
        return chain[::-1]

    def _load_chain(self, chain: Iterable[KeptRecord]) -> list[ChainLink]:
        records = [kept.load(self._read_record) for kept in chain]
        return [ChainLink(record.prompt, record.answer) for record in records]

    def _walk_chain(
        self, customer: CustomerId, latest: TurnId | None
    ) -> Iterator[_StoredTurn]:
        """Yield a turn and those before it, up to one that is not stored.

        Callers choose which turn is before another, so that a chain may be a circle.
        """
        walked: set[TurnId] = set()
        turn = latest
        while turn is not None and turn not in walked:
            stored = self._turns.get(TurnKey(customer, turn))
            if stored is None:
                return
            yield stored
            walked.add(turn)
            turn = stored.kept.record.previous

    def _end(self, sender: InstanceId, message: EndTurn, now: float) -> None:
        record = LedgerRecord(
            RecordKind.SETTLED,
            message.customer,
            message.program,
            message.turn,
            message.tokens,
            message.retention_ms,
            message.whole,
            message.previous,
            message.prompt,
            message.answer,
        )
        self.add(record, now)
        self._reply(sender, TurnEnded(message.call, message.incarnation))

    def _reply(self, to: InstanceId, message: Message) -> None:
        self._deferred.defer(self._ticket, to, message)

    # Records.

    def add_all(self, records: Iterable[LedgerRecord], now: float) -> None:
        """Add records received from another store."""
        for record in records:
            self.add(record, now)

    def add(self, record: LedgerRecord, now: float) -> None:
        """Apply a record and write it, unless the ledger already has it."""
        if record.key in self._records:
            # The record may not be synced yet, but the latest ticket covers it.
            return
        kept = keep_record(record)
        self._apply(kept, now)
        self._write(kept, now)

    def set_state(self, state: StoreState, now: float) -> None:
        """Record whether the store has all records that were stored before."""
        self.state = state
        self._write(state, now)

    def _write(self, record: KeptRecord | StoreState, now: float) -> None:
        if not self._batch:
            self._ticket += 1
        if isinstance(record, KeptRecord):
            self._batch.append(record.load(self._read_record))
            self._unsynced.add(self._ticket, record)
        else:
            self._batch.append(record)
            self._unsynced.add(self._ticket, None)
        self._log.append(_LogEntry(record, now))

    def _release_texts(
        self, synced: Sequence[KeptRecord | None], places: Sequence[RecordPlace]
    ) -> None:
        """Keep the texts of synced records in the files only."""
        for kept, place in zip(synced, places, strict=False):
            if kept is None:
                continue
            released = kept.release_texts(place)
            if self._is_current(kept):
                self.room.release_texts(released)

    def holds(self, key: RecordKey) -> bool:
        """Return whether the ledger has a record."""
        return key in self._records

    def _apply(self, kept: KeptRecord, now: float) -> None:
        record = kept.record
        if record.key not in self._records:
            self.room.add(record)
        self._records[record.key] = kept
        retention_s = record.retention_ms / MS_PER_S
        self._accounts.apply(record, now)
        if record.kind is RecordKind.SETTLED and record.whole:
            key = TurnKey(record.customer, record.turn)
            self._turns[key] = _StoredTurn(kept, now + retention_s)
            self._extend_chain(record, now + retention_s)

    def _is_too_long(self, message: BeginTurn) -> bool:
        """Return whether no entry could take the chain that a turn continues."""
        if message.previous is None:
            return False
        chain = self._walk_chain(message.customer, message.previous)
        return sum(item.kept.text_bytes for item in chain) > CHAIN_LIMIT_BYTES

    def _extend_chain(self, record: LedgerRecord, expires_at: float) -> None:
        for stored in self._walk_chain(record.customer, record.previous):
            stored.expires_at = max(stored.expires_at, expires_at)

    # Other stores.

    def _list_index(self, message: AskIndex, now: float) -> RecordIndex:
        current = message.incarnation == self.incarnation
        position = message.position if current else 0
        position = max(position, self._log_start)
        keys: list[RecordKey] = []
        index = position - self._log_start
        ended = True
        while index < len(self._log):
            entry = self._log[index]
            if now - entry.logged_at < INDEX_DELAY_S:
                break
            if len(keys) >= INDEX_KEYS_LIMIT:
                ended = False
                break
            kept = entry.record
            if isinstance(kept, KeptRecord) and self._is_current(kept):
                keys.append(kept.record.key)
            index += 1
        return RecordIndex(
            self.incarnation,
            self.state.complete,
            self._log_start + index,
            ended,
            keys,
            message.asker,
        )

    def _find_records(self, keys: list[RecordKey]) -> list[LedgerRecord]:
        records: list[LedgerRecord] = []
        size = 0
        for key in keys:
            kept = self._records.get(key)
            if kept is None:
                continue
            size += kept.text_bytes + RECORD_OVERHEAD_BYTES
            if records and size > ANSWER_BYTES_LIMIT:
                break
            records.append(kept.load(self._read_record))
        return records

    # Time.

    def _expire(self, now: float) -> list[ReleaseRecords]:
        if now < self._next_expiry_at:
            return []
        self._next_expiry_at = now + EXPIRE_INTERVAL_S
        released = 0
        rewritten_bytes = 0
        for _ in range(len(self._log)):
            entry = self._log[0]
            if isinstance(entry.record, StoreState):
                if entry.logged_at + STATE_REWRITE_S > now:
                    break
                self._log.popleft()
                if entry.record == self.state:
                    self._write(self.state, now)
            elif not self._is_current(entry.record):
                # A later entry has the record, or the record has expired.
                self._log.popleft()
            elif not self._is_expired(entry.record, now):
                if now < entry.logged_at + self._get_rewrite_s(entry.record.record):
                    break
                if rewritten_bytes > REWRITE_BYTES_LIMIT:
                    break
                rewritten_bytes += entry.record.text_bytes
                # Later turns still need the record, so it is written again at the end
                # of the log, and the files at its start can be removed.
                self._log.popleft()
                self._write(entry.record, now)
            else:
                self._log.popleft()
                self._drop(entry.record)
            released += 1
            self._log_start += 1
        self._accounts.expire(now)
        self.stream_places.expire(now)
        self.room.expire(now)
        return [ReleaseRecords(released)] if released else []

    def _is_current(self, kept: KeptRecord) -> bool:
        """Return whether this copy of a record is the one that the ledger holds.

        A record that was written again is read twice from the files after a restart.
        """
        return self._records.get(kept.record.key) is kept

    def _get_rewrite_s(self, record: LedgerRecord) -> float:
        return 2 * ACCOUNT_RETENTIONS * record.retention_ms / MS_PER_S

    def _is_expired(self, kept: KeptRecord, now: float) -> bool:
        record = kept.record
        stored = self._turns.get(TurnKey(record.customer, record.turn))
        if stored is not None and stored.expires_at > now:
            return False
        program = ProgramKey(record.customer, record.program)
        return self._accounts.is_expired(program, now)

    def _drop(self, kept: KeptRecord) -> None:
        record = kept.record
        if self._records.pop(record.key, None) is not None:
            self.room.drop(record)
        turn = TurnKey(record.customer, record.turn)
        stored = self._turns.get(turn)
        if stored is not None and stored.kept.record.key == record.key:
            del self._turns[turn]
