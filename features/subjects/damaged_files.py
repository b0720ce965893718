"""Data folders whose files are damaged: `python -m features.subjects.damaged_files`."""

import random
import sys
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from unittest.mock import patch

import msgspec

from burdockwall.process.control import opening
from burdockwall.process.control.archive import AuditArchive
from burdockwall.process.control.audit import CHAIN_START, AuditRecord, compute_chain
from burdockwall.process.control.entries import (
    Data,
    Entry,
    HardState,
    Member,
    Snapshot,
    VoterId,
)
from burdockwall.process.control.events import Persist, SaveSnapshot
from burdockwall.process.control.files import StorageError
from burdockwall.process.control.journal import (
    Identity,
    Journal,
    build_first_records,
)
from burdockwall.process.control.records import FRAME, SNAPSHOT_HEAD
from burdockwall.process.control.state import ControlState
from burdockwall.process.storage import journal as storage_journal
from burdockwall.process.storage.journal import LedgerJournal, name_segment
from burdockwall.process.storage.records import (
    LedgerRecord,
    RecordKind,
    StoreState,
    encode_stored,
)
from burdockwall.settings import Settings
from burdockwall.types import (
    CustomerId,
    InstanceId,
    OperatorId,
    ProgramId,
    Term,
    TurnId,
    Version,
)

INSTANCE = InstanceId("control-1")
SETTINGS = Settings(instance_id=INSTANCE, data_folder=Path("folder"))
AUDIT_RECORDS = 6
LAST_INDEX = 12
HARD_STATE = HardState("cluster", Term(3), VoterId("control-1.a"))
STORE_RECORDS = 16
SEGMENT_BYTES = 700
FOREIGN_NAMES = (
    "journal-later",
    "journal-00000001.new",
    "snapshot-later",
    "snapshot-999999999999",
    "snapshot-000000000009.new",
    "audit-later.jsonl",
    "audit-000000020001.jsonl",
    "ledger-later",
    "ledger-0000000900",
    "ledger-",
    "notes.txt",
    ".journal.mark.swp",
    "identity.json.new",
)


class MemoryFolder:
    """The files of a folder, of which a copy can be damaged."""

    def __init__(self, files: dict[str, bytes] | None = None) -> None:
        self.files = dict(files or {})

    def list_names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        return self.files[name]

    def write(self, name: str, offset: int, data: bytes) -> None:
        content = self.files.get(name, b"").ljust(offset, b"\0")
        self.files[name] = content[:offset] + data + content[offset + len(data) :]

    def truncate(self, name: str, size: int) -> None:
        self.files[name] = self.files.get(name, b"")[:size].ljust(size, b"\0")

    def sync(self, name: str) -> None:
        """Do nothing: what is written stays."""

    def rename(self, old: str, new: str) -> None:
        self.files[new] = self.files.pop(old)

    def remove(self, name: str) -> None:
        del self.files[name]

    def sync_folder(self) -> None:
        """Do nothing: what is written stays."""

    def close(self) -> None:
        """Do nothing: there is no lock."""


def build_audit(count: int) -> list[AuditRecord]:
    records = []
    chain = CHAIN_START
    for index in range(1, count + 1):
        record = AuditRecord(
            index, 1.0, OperatorId("ann"), "put", "text", Version(index), 0, ""
        )
        chain = compute_chain(chain, record)
        records.append(msgspec.structs.replace(record, chain=chain))
    return records


def build_control_folder() -> MemoryFolder:
    """Build a folder with a snapshot, a journal of some writes, and an audit trail."""
    folder = MemoryFolder()
    journal = Journal(folder)
    member = Member(VoterId("control-1.a"), INSTANCE)
    first = build_first_records("cluster", member)
    journal.create(Identity(member.voter, INSTANCE), first)
    membership = first[1].payload.membership
    entries = [
        Entry(Term(1), index, Data(bytes(index))) for index in range(2, LAST_INDEX + 1)
    ]
    for ticket, entry in enumerate(entries[:5], 1):
        journal.append(Persist(ticket, HARD_STATE, (entry,)))
        journal.flush()
    snapshot = Snapshot(4, Term(1), membership, ControlState().encode())
    journal.append(SaveSnapshot(9, snapshot, HARD_STATE, tuple(entries[3:5])))
    journal.flush()
    for ticket, entry in enumerate(entries[5:], 10):
        journal.append(Persist(ticket, HARD_STATE, (entry,)))
        journal.flush()
    AuditArchive(folder).store(build_audit(AUDIT_RECORDS))
    return folder


def build_store_record(number: int) -> LedgerRecord:
    return LedgerRecord(
        RecordKind.SETTLED,
        CustomerId("one"),
        ProgramId("program"),
        TurnId(f"turn-{number}"),
        number,
        60_000,
        True,
        None,
        b"prompt " * number,
        b"answer " * number,
    )


def build_store_folder() -> MemoryFolder:
    """Build a folder with three files of records, each synced by itself."""
    folder = MemoryFolder()
    journal = LedgerJournal(folder)
    with patch.object(storage_journal, "SEGMENT_BYTES", SEGMENT_BYTES):
        journal.write([StoreState(True, 1)])
        for number in range(STORE_RECORDS):
            journal.write([build_store_record(number)])
    return folder


# Damage.


def cut(data: bytes, generator: random.Random) -> bytes:
    return data[: generator.randrange(len(data))]


def flip(data: bytes, generator: random.Random) -> bytes:
    changed = bytearray(data)
    for _ in range(generator.randint(1, 3)):
        changed[generator.randrange(len(changed))] ^= 1 << generator.randrange(8)
    return bytes(changed)


def overwrite(data: bytes, generator: random.Random) -> bytes:
    changed = bytearray(data)
    start = generator.randrange(len(changed))
    end = min(len(changed), start + generator.randint(1, 40))
    changed[start:end] = generator.randbytes(end - start)
    return bytes(changed)


def empty(data: bytes, generator: random.Random) -> bytes:
    return b""


def append(data: bytes, generator: random.Random) -> bytes:
    return data + generator.randbytes(generator.randint(1, 40))


def build_other_version(name: str, data: bytes, generator: random.Random) -> bytes:
    """Build a sound file of a build that writes something else."""
    body = msgspec.msgpack.encode(
        generator.choice([["Later", 1], {"later": 1}, 7, ["Entry", "x", 1, 2], []])
    )
    if name.startswith("snapshot-"):
        return SNAPSHOT_HEAD.pack(len(body), zlib.crc32(body)) + body
    if name.startswith("ledger-"):
        body = generator.choice([b"r", b"s", b"v"]) + body
        return FRAME.pack(len(body), zlib.crc32(body)) + body + data
    if name.startswith("journal-"):
        head = len(body).to_bytes(4, "little")
        checksum = zlib.crc32(head + body, int(name.rpartition("-")[2]))
        return FRAME.pack(len(body), checksum) + body
    return msgspec.json.encode({"later": generator.randrange(9)}) + b"\n"


DAMAGES: list[Callable[[bytes, random.Random], bytes]] = [
    cut,
    flip,
    overwrite,
    empty,
    append,
]


@dataclass(slots=True)
class Damaged:
    """A folder with one damage, and what it was."""

    folder: MemoryFolder
    name: str
    kind: str


def damage(whole: MemoryFolder, seed: int) -> Damaged:
    generator = random.Random(seed)
    folder = MemoryFolder(whole.files)
    name = generator.choice(folder.list_names())
    kind = generator.randrange(len(DAMAGES) + 3)
    if kind < len(DAMAGES):
        change = DAMAGES[kind]
        folder.files[name] = change(folder.files[name], generator)
        return Damaged(folder, name, change.__name__)
    if kind == len(DAMAGES):
        folder.files[name] = build_other_version(name, folder.files[name], generator)
        return Damaged(folder, name, "other version")
    if kind == len(DAMAGES) + 1:
        del folder.files[name]
        return Damaged(folder, name, "missing")
    foreign = generator.choice(FOREIGN_NAMES)
    content = generator.choice([b"", b"text\n", *whole.files.values()])
    folder.files[foreign] = content
    return Damaged(folder, foreign, "foreign")


# Opening.


@dataclass(slots=True)
class Outcomes:
    """How damaged folders were opened, and what was wrong with that."""

    counts: dict[str, int] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)

    def add(self, outcome: str) -> None:
        self.counts[outcome] = self.counts.get(outcome, 0) + 1


def open_control(folder: MemoryFolder) -> tuple[object, ...]:
    """Open a replica, and return what it has: voter, hard state, last entry, audit."""
    with patch.object(opening, "DiskFiles", lambda path: folder):
        replica = opening.open_replica(SETTINGS, ControlState())
    state = replica.consensus.state
    return (
        state.own_member.voter,
        state.hard_state,
        state.log.last_index,
        replica.archive.last_index,
    )


EXPECTED = (VoterId("control-1.a"), HARD_STATE, LAST_INDEX, AUDIT_RECORDS)


def check_control(damaged: Damaged) -> str:
    found = open_control(damaged.folder)
    if found[:3] != EXPECTED[:3]:
        raise AssertionError(f"opened with {found}")
    if found[3] < AUDIT_RECORDS and not is_torn(damaged, "audit-"):
        raise AssertionError(f"opened with audit records up to {found[3]}")
    return "whole"


def check_store(damaged: Damaged) -> str:
    with patch.object(storage_journal, "SEGMENT_BYTES", SEGMENT_BYTES):
        recovery = LedgerJournal(damaged.folder).recover()
    turns = {item.turn for item in recovery.records if isinstance(item, LedgerRecord)}
    missing = STORE_RECORDS - len(turns)
    if not recovery.whole:
        return "not whole"
    # The first files are also missing once all their records are released.
    released = damaged.kind == "missing" and damaged.name == name_segment(1)
    if missing and not released and not is_torn(damaged, "ledger-"):
        raise AssertionError(f"whole without {missing} records")
    return "whole" if not missing else "torn tail"


def read_kept_copy(seed: int) -> tuple[bytes, bytes]:
    """Flip a byte in the middle of the audit trail; return it and the copy kept."""
    folder = build_control_folder()
    name = "audit-000000000001.jsonl"
    data = bytearray(folder.files[name])
    data[random.Random(seed).randrange(len(data) // 2)] ^= 0x80
    folder.files[name] = bytes(data)
    open_control(folder)
    return bytes(data), folder.files.get(f"damaged-{name}", b"")


def recover_store(
    change: Callable[[bytes], bytes], position: int = -1
) -> tuple[int, bool]:
    """Change a file of a store; return the records that it has, and if whole."""
    folder = build_store_folder()
    name = folder.list_names()[position]
    folder.files[name] = change(folder.files[name])
    return recover_folder(folder)


def tear_last_write(count: int) -> tuple[int, bool]:
    """Lose the beginning of a write of some records, as a power loss may."""
    folder = build_store_folder()
    written = [build_store_record(STORE_RECORDS + number) for number in range(count)]
    torn = b"".join(encode_stored(record) for record in written)
    beginning = len(encode_stored(written[0]))
    last = folder.list_names()[-1]
    folder.files[last] += bytes(beginning) + torn[beginning:]
    return recover_folder(folder)


def recover_folder(folder: MemoryFolder) -> tuple[int, bool]:
    """Return how many records a store has read, and whether it counts as whole."""
    with patch.object(storage_journal, "SEGMENT_BYTES", SEGMENT_BYTES):
        recovery = LedgerJournal(folder).recover()
    records = [item for item in recovery.records if isinstance(item, LedgerRecord)]
    return len(records), recovery.whole


def is_torn(damaged: Damaged, prefix: str) -> bool:
    """Return whether a last file may have been cut by a crash, as far as it tells."""
    names = [name for name in damaged.folder.list_names() if name.startswith(prefix)]
    return not names or damaged.name >= names[-1]


def run(check: Callable[[Damaged], str], whole: MemoryFolder, seeds: range) -> Outcomes:
    outcomes = Outcomes()
    for seed in seeds:
        damaged = damage(whole, seed)
        place = f"seed {seed}, {damaged.kind} {damaged.name}"
        try:
            outcomes.add(check(damaged))
        except StorageError as error:
            outcomes.add(str(error.code.value.number))
            places = (*whole.files, damaged.name, str(SETTINGS.data_folder))
            if not any(place in str(error) for place in places):
                outcomes.faults.append(f"{place}: names no file: {error}")
        except Exception as error:
            outcomes.faults.append(f"{place}: {error!r}"[:300])
    return outcomes


def run_control(seeds: range) -> Outcomes:
    return run(check_control, build_control_folder(), seeds)


def run_store(seeds: range) -> Outcomes:
    return run(check_store, build_store_folder(), seeds)


if __name__ == "__main__":
    start, count = (int(argument) for argument in sys.argv[1:3])
    for name, run_kind in (("control", run_control), ("store", run_store)):
        result = run_kind(range(start, start + count))
        print(name, result.counts, len(result.faults), "faults")
        for fault in result.faults[:40]:
            print("  ", fault)
