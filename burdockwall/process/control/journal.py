"""Store term, vote, entries and snapshots of one replica in files.

A batch is written to the journal and synced; then the new length is written to the
mark file and synced, which completes the write. Records within the marked length
may have been acknowledged, so damage there is an error; records after it were not.
"""

import contextlib
import zlib

import msgspec

from burdockwall.errors import Code
from burdockwall.process.control.entries import (
    Base,
    Entry,
    HardState,
    Member,
    Membership,
    MembershipChange,
    Snapshot,
    VoterId,
)
from burdockwall.process.control.events import Persist, Recovered, SaveSnapshot
from burdockwall.process.control.files import Files, StorageError
from burdockwall.process.control.records import (
    MARK_SLOT_BYTES,
    Mark,
    Record,
    encode_mark,
    encode_record,
    encode_snapshot,
    parse_marks,
    parse_records,
    parse_snapshot,
)
from burdockwall.types import InstanceId, Term

IDENTITY_NAME = "identity.json"
MARK_NAME = "journal.mark"
TEMPORARY_SUFFIX = ".new"
WRITE_BYTES = 1_048_576


class Identity(msgspec.Struct, frozen=True):
    """The replica and the instance that a data folder belongs to."""

    voter: VoterId
    instance: InstanceId


class _StoredIdentity(msgspec.Struct, frozen=True):
    """An identity in its file; files of earlier builds have no checksum."""

    voter: VoterId
    instance: InstanceId
    checksum: int


def _compute_checksum(identity: Identity) -> int:
    return zlib.crc32(msgspec.json.encode(identity))


def encode_identity(identity: Identity) -> bytes:
    """Encode an identity with its checksum."""
    checksum = _compute_checksum(identity)
    stored = _StoredIdentity(identity.voter, identity.instance, checksum)
    return msgspec.json.encode(stored)


def decode_identity(data: bytes) -> Identity:
    """Decode an identity, or raise StorageError if it is damaged."""
    try:
        identity = msgspec.json.decode(data, type=Identity)
        if data == msgspec.json.encode(identity):
            return identity
        stored = msgspec.json.decode(data, type=_StoredIdentity)
    except Exception as error:
        detail = f"{IDENTITY_NAME}: {error}"
        raise StorageError(Code.JOURNAL_DAMAGED, detail) from error
    if stored.checksum != _compute_checksum(identity):
        detail = f"{IDENTITY_NAME} fails its checksum"
        raise StorageError(Code.JOURNAL_DAMAGED, detail)
    return identity


def name_journal(generation: int) -> str:
    """Return the file name of a journal."""
    return f"journal-{generation:08d}"


def name_snapshot(index: int) -> str:
    """Return the file name of a snapshot."""
    return f"snapshot-{index:012d}"


def list_snapshots(names: list[str]) -> list[str]:
    """List the snapshots among file names, the latest first."""
    snapshots = [
        name
        for name in names
        if name.startswith("snapshot-") and not name.endswith(TEMPORARY_SUFFIX)
    ]
    return sorted(snapshots, reverse=True)


class Journal:
    """Journal, mark and snapshot files of one replica, written in batches."""

    def __init__(self, files: Files) -> None:
        self.files = files
        self.synced_bytes = 0
        self._generation = 0
        self._length = 0
        self._checksum = 0
        self._sequence = 0
        self._queue: list[Persist | SaveSnapshot] = []

    def append(self, action: Persist | SaveSnapshot) -> None:
        """Queue a write until the next flush."""
        self._queue.append(action)

    def flush(self) -> int | None:
        """Write and sync all queued writes; return the last ticket, if any."""
        queue, self._queue = self._queue, []
        if not queue:
            return None
        batch: list[Record] = []
        for action in queue:
            match action:
                case Persist(hard_state=hard_state, entries=entries):
                    batch += [hard_state, *entries]
                case SaveSnapshot():
                    # The snapshot and the new journal include all earlier writes.
                    batch.clear()
                    self._save_snapshot(action)
        if batch:
            self._write_batch(batch)
        return queue[-1].ticket

    def _write_batch(self, batch: list[Record]) -> None:
        name = name_journal(self._generation)
        waiting = bytearray()
        for record in batch:
            data, self._checksum = encode_record(record, self._checksum)
            if len(waiting) + len(data) > WRITE_BYTES:
                self._write_records(name, waiting)
                waiting = data
            else:
                waiting += data
        self._write_records(name, waiting)
        self.files.sync(name)
        self._write_mark()

    def _write_records(self, name: str, data: bytearray) -> None:
        if data:
            self.files.write(name, self._length, data)
        self._length += len(data)
        self.synced_bytes += len(data)

    def _write_mark(self) -> None:
        sequence = self._sequence + 1
        mark = Mark(sequence, self._generation, self._length)
        offset = (sequence % 2) * MARK_SLOT_BYTES
        self.files.write(MARK_NAME, offset, encode_mark(mark))
        self.files.sync(MARK_NAME)
        # A write that failed is repeated in its slot: the other one has the last mark.
        self._sequence = sequence

    def _start_generation(self, records: list[Record]) -> None:
        self._generation += 1
        self._length, self._checksum = 0, self._generation
        name = name_journal(self._generation)
        # A crash may have left a file with this name.
        self.files.truncate(name, 0)
        self.files.sync_folder()
        self._write_batch(records)
        # Write both mark slots, so that damage to one slot can't make the previous
        # journal valid again.
        self._write_mark()

    def _replace_file(self, name: str, data: bytes | bytearray) -> None:
        temporary = name + TEMPORARY_SUFFIX
        self.files.truncate(temporary, 0)
        self.files.write(temporary, 0, data)
        self.files.sync(temporary)
        self.files.rename(temporary, name)
        self.files.sync_folder()

    def _save_snapshot(self, action: SaveSnapshot) -> None:
        name = name_snapshot(action.snapshot.index)
        self._replace_file(name, encode_snapshot(action.snapshot))
        base = Base(action.snapshot.index)
        self._start_generation([base, action.hard_state, *action.entries])
        self._remove_stale(name)

    def _remove_stale(self, snapshot: str | None) -> None:
        for name in self._list_stale(self.files.list_names(), snapshot):
            self.files.remove(name)

    def _list_stale(self, names: list[str], snapshot: str | None) -> list[str]:
        current = {name_journal(self._generation), snapshot}
        return [
            name
            for name in names
            if name.startswith(("journal-", "snapshot-")) and name not in current
        ]

    def create(self, identity: Identity, records: list[Record]) -> None:
        """Create the files of a new replica; write the identity last."""
        self.files.truncate(MARK_NAME, 0)
        self._start_generation(records)
        self._remove_stale(None)
        self._replace_file(IDENTITY_NAME, encode_identity(identity))

    def read_identity(self) -> Identity | None:
        """Return the identity of the folder, or None if it has none."""
        if IDENTITY_NAME not in self.files.list_names():
            return None
        return decode_identity(self.files.read(IDENTITY_NAME))

    def recover(self) -> Recovered:
        """Read the persisted state; raise StorageError if synced data is damaged."""
        names = self.files.list_names()
        if MARK_NAME not in names:
            raise StorageError(Code.JOURNAL_DAMAGED, f"{MARK_NAME} is missing")
        mark = parse_marks(self.files.read(MARK_NAME), MARK_NAME)
        name = name_journal(mark.generation)
        if name not in names:
            raise StorageError(Code.JOURNAL_DAMAGED, f"{name} is missing")
        data = self.files.read(name)
        size = len(data)
        parsed = parse_records(data, mark.generation, mark.length, name)
        # Both may be large, and so may the snapshot.
        del data
        replayed = replay_records(parsed.records)
        parsed.records.clear()
        snapshot = self._find_snapshot(names, replayed.base)
        self._sequence, self._generation = mark.sequence, mark.generation
        self._length, self._checksum = parsed.length, parsed.checksum
        if (size, parsed.length) != (mark.length, mark.length):
            self.files.truncate(name, parsed.length)
            self.files.sync(name)
            self._write_mark()
        later = _select_later(snapshot, replayed.entries)
        if snapshot is not None and snapshot.index > replayed.base:
            # A crash happened after the snapshot was written and before its journal.
            self._start_generation([Base(snapshot.index), replayed.hard_state, *later])
        self._remove_left(names, name_snapshot(snapshot.index) if snapshot else None)
        return Recovered(replayed.hard_state, snapshot, tuple(later), self._length)

    def _remove_left(self, names: list[str], snapshot: str | None) -> None:
        """Remove the files that a crash has left, so that they don't fill the disk."""
        if not self._list_stale(names, snapshot):
            return
        # On a full disk they are removed at the next start.
        with contextlib.suppress(OSError):
            # No mark may name a journal that is removed.
            self._write_mark()
            self._remove_stale(snapshot)

    def _find_snapshot(self, names: list[str], base: int) -> Snapshot | None:
        for name in list_snapshots(names):
            try:
                snapshot = parse_snapshot(self.files.read(name), name)
            except StorageError:
                # A damaged snapshot later than the journal's base is not needed: the
                # journal still has all entries that it covers.
                if name > name_snapshot(base):
                    continue
                raise
            if snapshot.index >= base:
                return snapshot
        if base:
            detail = f"{name_snapshot(base)} is missing"
            raise StorageError(Code.SNAPSHOT_DAMAGED, detail)
        return None


class ReplayedRecords(msgspec.Struct):
    """The state that the records of a journal result in."""

    base: int
    hard_state: HardState
    entries: list[Entry]


def replay_records(records: list[Record]) -> ReplayedRecords:
    """Replay the records of a journal; later records replace earlier ones."""
    replayed = ReplayedRecords(0, HardState(), [])
    entries = replayed.entries
    for record in records:
        match record:
            case Base(index=index):
                replayed.base = index
            case HardState():
                replayed.hard_state = record
            case Entry(index=index):
                del entries[max(0, index - replayed.base - 1) :]
                if index != replayed.base + len(entries) + 1:
                    detail = f"entries before {index} are missing"
                    raise StorageError(Code.JOURNAL_DAMAGED, detail)
                entries.append(record)
    return replayed


def _select_later(snapshot: Snapshot | None, entries: list[Entry]) -> list[Entry]:
    """Return the entries after a snapshot, or none if they are of another log."""
    if snapshot is None or not entries:
        return entries
    position = snapshot.index - entries[0].index
    if position < -1 or position >= len(entries):
        return []
    if position >= 0 and entries[position].term != snapshot.term:
        return []
    return entries[position + 1 :]


def build_first_records(cluster: str, member: Member) -> list[Record]:
    """Build the records of a new cluster with one member as its only voter."""
    voter = msgspec.structs.replace(member, voting=True)
    change = MembershipChange(Membership((voter,)))
    return [HardState(cluster), Entry(Term(0), 1, change)]
