"""Stores that keep more texts than their memory has room for."""

import random

from burdockwall.fakes.files import FakeFiles
from burdockwall.machine import Receive, Send, Tick
from burdockwall.process.storage.journal import LedgerJournal, name_segment
from burdockwall.process.storage.ledger import (
    Ledger,
    RecordsSynced,
    ReleaseRecords,
    WriteRecords,
)
from burdockwall.process.storage.messages import (
    BeginTurn,
    EndTurn,
    StoreFull,
    TurnBegun,
)
from burdockwall.types import CallId, Incarnation, InstanceId, ProgramId, TurnId
from features.subjects.storage import CUSTOMER

ENTRY = InstanceId("entry-1")
PROGRAM = ProgramId("p")
RETENTION_MS = 4000


class TextStore:
    """A store with its files, which writes and syncs at once."""

    def __init__(self, limit_bytes: int, disk_limit_bytes: int = 0) -> None:
        self.limits = (limit_bytes, disk_limit_bytes)
        self.files = FakeFiles(random.Random(1))
        self.now = 0.0
        self.refused = 0
        self.most_bytes = 0
        self.ended: list[str] = []
        self._calls = 0
        self._incarnations = 0
        self.start()

    def start(self) -> None:
        """Start the store from its files."""
        self._incarnations += 1
        limit_bytes, disk_limit_bytes = self.limits
        self.journal = LedgerJournal(self.files)
        recovery = self.journal.recover()
        self.ledger = Ledger(
            Incarnation(self._incarnations),
            True,
            limit_bytes,
            self.journal.read,
            disk_limit_bytes,
        )
        self.ledger.recover(recovery.records, recovery.whole, self.now, recovery.places)
        self._handle(Tick())

    def lose_power(self) -> None:
        """Lose what is not synced, and start again."""
        self.files.crash()
        self.start()

    def _handle(self, event) -> list[object]:
        waiting = self.ledger.handle(event, self.now)
        sent: list[object] = []
        while waiting:
            action = waiting.pop(0)
            match action:
                case WriteRecords(ticket=ticket, records=records):
                    places = self.journal.write(records)
                    waiting += self._report(ticket, places)
                case ReleaseRecords(records=records):
                    self.journal.release(records)
                    self.journal.remove_released()
                    waiting += self._report(0, [])
                case Send(message=message):
                    sent.append(message)
        self.most_bytes = max(self.most_bytes, self.ledger.stored_bytes)
        return sent

    def _report(self, ticket: int, places) -> list[object]:
        synced = RecordsSynced(ticket, places, self.journal.size_bytes)
        return self.ledger.handle(synced, self.now)

    def pass_time(self, seconds: int) -> None:
        for _ in range(seconds):
            self.now += 1.0
            self._handle(Tick())

    def store_turn(self, text: bytes) -> bool:
        """Store a turn that continues the one before; return whether it was taken."""
        turn = TurnId(f"t{len(self.ended)}")
        previous = TurnId(self.ended[-1]) if self.ended else None
        begun = self._begin(turn, previous, len(text))
        if isinstance(begun, StoreFull):
            self.refused += 1
            return False
        call, incarnation = self._create_call()
        end = EndTurn(
            call,
            incarnation,
            CUSTOMER,
            PROGRAM,
            turn,
            1,
            True,
            RETENTION_MS,
            previous,
            text,
            b"answer",
        )
        self._handle(Receive(ENTRY, end))
        self.ended.append(turn)
        return True

    def _create_call(self) -> tuple[CallId, Incarnation]:
        self._calls += 1
        return CallId(self._calls), Incarnation(1)

    def _begin(self, turn: TurnId, previous: TurnId | None, size: int) -> object:
        call, incarnation = self._create_call()
        begin = BeginTurn(
            call,
            incarnation,
            CUSTOMER,
            PROGRAM,
            turn,
            1,
            RETENTION_MS,
            previous,
            True,
            prompt_bytes=size,
        )
        (answer,) = self._handle(Receive(ENTRY, begin))
        return answer

    def find_chain(self) -> list[bytes] | None:
        """Return the prompts of the program's turns."""
        begun = self._begin(TurnId("asked"), TurnId(self.ended[-1]), 0)
        if not isinstance(begun, TurnBegun) or begun.chain is None:
            return None
        return [link.prompt for link in begun.chain]

    def damage_files(self) -> None:
        """Flip a bit in the text of the first turn."""
        self.files.flip_bit(name_segment(1), 2000, 1)
