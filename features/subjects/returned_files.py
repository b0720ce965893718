"""Files that come back after a power loss, are lost or can't be removed."""

import random
from collections.abc import Iterator
from contextlib import contextmanager
from unittest.mock import patch

from burdockwall.fakes.files import CrashPoint, FakeFiles
from burdockwall.process.control.entries import (
    HardState,
    Member,
    Membership,
    Snapshot,
    VoterId,
)
from burdockwall.process.control.events import Persist, SaveSnapshot
from burdockwall.process.control.journal import (
    Identity,
    Journal,
    build_first_records,
)
from burdockwall.process.storage import journal as storage_journal
from burdockwall.process.storage.journal import LedgerJournal, name_segment
from burdockwall.process.storage.records import (
    LedgerRecord,
    RecordKind,
    StoredRecord,
)
from burdockwall.types import InstanceId, ProgramId, Term, TurnId
from features.subjects.storage import CUSTOMER

SEGMENT_BYTES = 400
SHORT_RETENTION_S = 2.0
STEPS = 60


@contextmanager
def use_small_segments(size_bytes: int = SEGMENT_BYTES) -> Iterator[None]:
    """Let a file hold a few records."""
    with patch.object(storage_journal, "SEGMENT_BYTES", size_bytes):
        yield


def build_record(turn: str, retention_s: float = SHORT_RETENTION_S) -> LedgerRecord:
    return LedgerRecord(
        RecordKind.SETTLED,
        CUSTOMER,
        ProgramId(turn),
        TurnId(turn),
        1,
        int(retention_s * 1000),
        whole=True,
        prompt=b"prompt",
        answer=b"answer",
    )


class StubbornFiles(FakeFiles):
    """A folder whose files can't be removed while `refuses_removals` is set."""

    refuses_removals = False

    def remove(self, name: str) -> None:
        if self.refuses_removals:
            raise OSError("not removed")
        super().remove(name)


class JournalHistory:
    """Writes, removals, kills and power losses of one store, beside a simple model.

    `confirmed` are the numbers of the records that must be found, in their order.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(f"journal-{seed}")
        self.files = StubbornFiles(self.random)
        self.journal = LedgerJournal(self.files)
        self.journal.recover()
        self.written = 0
        self.released = 0
        # The first record of the oldest file at the last removal that succeeded.
        self.removed = 0
        self.violations: list[str] = []

    def run(self) -> None:
        with use_small_segments():
            for _ in range(STEPS):
                step = self.random.choice(
                    (self._write, self._write, self._release, self._fail)
                )
                step()
            self._lose_power()

    def _write(self) -> None:
        count = self.random.randint(1, 4)
        self.journal.write(self._build_next(count))
        self.written += count

    def _build_next(self, count: int) -> list[StoredRecord]:
        first = self.written
        return [build_record(str(first + number)) for number in range(count)]

    def _release(self) -> None:
        count = self.random.randint(0, self.written - self.released)
        self.released += count
        self.journal.release(count)
        self.files.refuses_removals = self.random.random() < 0.2
        try:
            self.journal.remove_released()
        except OSError:
            return
        finally:
            self.files.refuses_removals = False
        self.removed = self._find_first()

    def _find_first(self) -> int:
        names = [name for name in self.files.list_names() if "ledger" in name]
        data = b"".join(self.files.read(name) for name in names)
        records, _ = storage_journal.parse_stored(data)
        numbers = [read_number(record) for record in records]
        return min(numbers, default=self.removed)

    def _fail(self) -> None:
        match self.random.choice(("power", "kill", "kill while writing")):
            case "power":
                self._lose_power()
            case "kill":
                self._recover()
            case "kill while writing":
                self._kill_while_writing()

    def _lose_power(self) -> None:
        self.files.crash()
        self._recover()

    def _kill_while_writing(self) -> None:
        after = self.files.operations + self.random.randint(1, 4)
        self.files.crash_at_operation = after
        count = self.random.randint(1, 4)
        try:
            self.journal.write(self._build_next(count))
            self.written += count
        except CrashPoint:
            pass
        self.files.crash_at_operation = None
        self._recover()

    def _recover(self) -> None:
        self.journal = LedgerJournal(self.files)
        recovery = self.journal.recover()
        found = [read_number(record) for record in recovery.records]
        if not recovery.whole:
            self.violations.append("not whole")
        # A write that was cut off may be found or not; what is found counts from now.
        last = max([self.written, *(number + 1 for number in found)])
        expected = list(range(last))[found[0] if found else last :]
        first = found[0] if found else last
        if found != expected or not self.removed <= first <= self.released:
            place = f"{self.removed}, {self.released}, {self.written}"
            self.violations.append(f"{found[:3]} to {found[-1:]} of {place}")
        self.written = last
        self.released = first


def read_number(record: StoredRecord) -> int:
    assert isinstance(record, LedgerRecord)
    return int(record.turn)


class RemovedSegment:
    """A store that loses a file that it needs."""

    def __init__(self, position: int) -> None:
        files = FakeFiles(random.Random(1))
        with use_small_segments():
            journal = LedgerJournal(files)
            journal.recover()
            for number in range(30):
                journal.write([build_record(str(number))])
            journal.release(10)
            journal.remove_released()
            names = [name for name in files.list_names() if "ledger" in name]
            files.remove(names[position])
            self.recovery = LedgerJournal(files).recover()


class EarlierFolder:
    """A folder of a store of an earlier build, without the number of a first file."""

    def __init__(self) -> None:
        self.files = FakeFiles(random.Random(1))
        with use_small_segments():
            journal = LedgerJournal(self.files)
            for number in range(30):
                journal.write([build_record(str(number))])
            self.files.remove(name_segment(1))
            self.files.remove(name_segment(2))

    def recover_twice(self) -> list[bool]:
        """Start the store, lose power, and start it again; return whether whole."""
        whole = []
        for _ in range(2):
            with use_small_segments():
                whole.append(LedgerJournal(self.files).recover().whole)
            self.files.crash()
        return whole


class ReturnedControlFiles:
    """A control journal with a removed file that has come back, on a full disk."""

    def __init__(self, seed: int) -> None:
        self.files = FakeFiles(random.Random(seed))
        journal = Journal(self.files)
        member = Member(VoterId("v"), InstanceId("control-1"))
        identity = Identity(member.voter, member.instance)
        journal.create(identity, build_first_records("c", member))
        removed = next(name for name in self.files.list_names() if "journal-" in name)
        snapshot = Snapshot(1, Term(0), Membership((member,)), b"state")
        journal.append(SaveSnapshot(1, snapshot, HardState("c"), ()))
        journal.flush()
        self.files.truncate(removed, 0)
        self.files.sync_folder()

    def open(self) -> None:
        """Open the journal on the full disk, and lose power in the next write."""
        self.files.space_left = 10
        journal = Journal(self.files)
        journal.recover()
        self.files.space_left = None
        # A write and a sync of the journal come before the write of its mark.
        self.files.crash_at_operation = self.files.operations + 3
        journal.append(Persist(2, HardState("c"), ()))
        try:
            journal.flush()
        except CrashPoint:
            self.files.crash()
        Journal(self.files).recover()
