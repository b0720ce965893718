"""Stores that return to service after losses of files and records."""

from msgspec.structs import replace

from burdockwall.machine import Receive, Send, Tick
from burdockwall.process.storage.calls import TurnOutcome
from burdockwall.process.storage.copier import Copier, ViewInstalled
from burdockwall.process.storage.ledger import Ledger
from burdockwall.process.storage.messages import (
    AskIndex,
    AskRecords,
    RecordIndex,
    RecordsFound,
)
from burdockwall.process.storage.records import StoreState
from burdockwall.process.storage.view import StoreMember, StoreView
from burdockwall.types import Incarnation, InstanceId, TurnId
from features.subjects.returned_files import SHORT_RETENTION_S, build_record
from features.subjects.storage import (
    LIMIT_BYTES,
    StorageNetwork,
    is_admitted,
    name_store,
    read_chain,
)

# With few turns of one program, no file is created for a while.
GROUP_SEGMENT_BYTES = 16_000
OTHER_TURNS = 106
# Longer than a store keeps its state at the beginning of its files.
BUSY_S = 36.0


class ReturningStores:
    """Three stores whose turns expire soon, and whose files hold a few records."""

    def __init__(self, seed: int) -> None:
        self.storage = StorageNetwork(seed)
        self.storage.run(0.5)
        self.chain: list[str] = []

    def continue_program(self) -> None:
        """Store a turn that continues the one before."""
        previous = f"long-{len(self.chain)}" if self.chain else None
        self.chain.append(f"q{len(self.chain) + 1}!")
        self._store(f"long-{len(self.chain)}", "long", previous)

    def store_other(self, turn: str) -> None:
        self._store(turn, turn, None, b"x" * 500)

    def _store(
        self, turn: str, program: str, previous: str | None, answer: bytes = b"!"
    ) -> None:
        start = self.storage.describe(turn, program, previous)
        start = replace(start, retention_s=SHORT_RETENTION_S)
        assert is_admitted(self.storage.begin(start)), turn
        asked = f"q{turn.rpartition('-')[2]}".encode()
        assert self.storage.end(start, TurnOutcome(1, True, asked, answer))

    def live(self) -> None:
        """Store many turns, and let them expire while one program goes on."""
        for number in range(OTHER_TURNS):
            self.store_other(f"other-{number}")
        until = self.storage.network.now + BUSY_S
        while self.storage.network.now < until:
            self.continue_program()
            self.storage.run(0.8)

    def live_briefly(self) -> None:
        """Store turns of one program until each store has several files."""
        for _ in range(20):
            self.continue_program()

    def lose_power(self) -> None:
        """Let all stores lose power at the same time."""
        for name in self.storage.stores:
            self.storage.lose_power(name)
        for name in self.storage.stores:
            files = self.storage.stores[name].files
            self.storage.start_store(name, files, first=False)

    def damage(self) -> None:
        """Flip a bit in a file of each store, another at each, and start them again."""
        for position, (name, parts) in enumerate(list(self.storage.stores.items())):
            self.storage.network.crash(name)
            names = [each for each in parts.files.list_names() if "ledger" in each]
            parts.files.flip_bit(names[position], 20, 1)
            self.storage.start_store(name, parts.files, first=False)

    def find_chain(self, after_s: float) -> str | None:
        """Return the chain of the program that goes on, asked after a time, or None."""
        self.storage.run(after_s)
        latest = f"long-{len(self.chain)}"
        start = self.storage.describe("checked", "long", latest)
        decided = self.storage.begin(start)
        return read_chain(decided) if is_admitted(decided) else None

    def count_complete(self) -> int:
        stores = self.storage.stores.values()
        return sum(parts.ledger.state.complete for parts in stores)


class TwiceWrittenRecord:
    """A store that reads a record twice from its files, with another between them."""

    def __init__(self) -> None:
        self.ledger = Ledger(Incarnation(1), True, LIMIT_BYTES)
        twice = build_record("twice")
        longer = build_record("longer", 10 * SHORT_RETENTION_S)
        copy = replace(twice)
        self.ledger.recover([StoreState(True, 1), twice, longer, copy], True, 0.0)

    def list_keys_without_record(self, now: float) -> list[TurnId]:
        """Return the turns that the index lists and the store does not hold."""
        self.ledger.handle(Tick(), now)
        ask = Receive(name_store(2), AskIndex(Incarnation(0), 0))
        sent = self.ledger.handle(ask, now)
        index = next(
            each.message
            for each in sent
            if isinstance(each, Send) and isinstance(each.message, RecordIndex)
        )
        return [key.turn for key in index.keys if not self.ledger.holds(key)]


class VanishedRecord:
    """A store that has lost its disk, and two that list a record and drop it."""

    def __init__(self) -> None:
        self.now = 0.0
        name = name_store(1)
        self.others = (name_store(2), name_store(3))
        self.ledger = Ledger(Incarnation(5), False, LIMIT_BYTES)
        self.ledger.recover([], True, 0.0)
        self.copier = Copier(name, self.ledger)
        members = tuple(StoreMember(each, 0) for each in (name, *self.others))
        self._handle(ViewInstalled(StoreView(1, members)))
        self.sent = 0

    def _handle(self, event) -> list[Send]:
        actions = self.copier.handle(event, self.now)
        return [action for action in actions if isinstance(action, Send)]

    def run(self, seconds: float, names_absent: bool) -> None:
        """Answer the store's questions for some seconds, each in 1 ms."""
        until = self.now + seconds
        while self.now < until:
            waiting = self._handle(Tick())
            for _ in range(20):
                self.now += 0.001
                waiting = self._answer(waiting, names_absent)
            self.now += 0.03

    def _answer(self, asked: list[Send], names_absent: bool) -> list[Send]:
        self.sent += len(asked)
        answers: list[Send] = []
        for send in asked:
            answers += self._answer_one(send.to, send.message, names_absent)
        return answers

    def _answer_one(self, source: InstanceId, message, names_absent) -> list[Send]:
        key = build_record("vanished").key
        if isinstance(message, AskIndex):
            keys = [key] if message.position == 0 else []
            index = RecordIndex(
                Incarnation(2), True, 1, True, keys, self.ledger.incarnation
            )
            return self._handle(Receive(source, index))
        absent = list(message.keys) if names_absent else []
        return self._handle(Receive(source, RecordsFound([], absent)))


class SilentSource(VanishedRecord):
    """A store that has lost its disk, and two that list a record; one falls silent."""

    def _answer_one(self, source: InstanceId, message, names_absent) -> list[Send]:
        if isinstance(message, AskIndex) and message.position == 0:
            return super()._answer_one(source, message, names_absent)
        if source == self.others[0]:
            return []
        if isinstance(message, AskIndex):
            return super()._answer_one(source, message, names_absent)
        found = RecordsFound([build_record("vanished")] if message.keys else [])
        return self._handle(Receive(source, found))

    def holds_record(self) -> bool:
        return self.ledger.holds(build_record("vanished").key)


class BusySources(VanishedRecord):
    """A store without a disk, and two that list new records all the time."""

    RECORDS = 4000

    def __init__(self) -> None:
        super().__init__()
        self.waiting = 0
        self.most_waiting = 0

    def _answer(self, asked: list[Send], names_absent: bool) -> list[Send]:
        asks = [send for send in asked if isinstance(send.message, AskRecords)]
        self.most_waiting = max(self.most_waiting, len(asks))
        return super()._answer(asked, names_absent)

    def _answer_one(self, source: InstanceId, message, names_absent) -> list[Send]:
        if isinstance(message, AskIndex):
            last = min(message.position + 20, self.RECORDS)
            keys = [build_record(str(at)).key for at in range(message.position, last)]
            index = RecordIndex(
                Incarnation(2), True, last, True, keys, self.ledger.incarnation
            )
            return self._handle(Receive(source, index))
        records = [build_record(key.turn) for key in message.keys[:4]]
        return self._handle(Receive(source, RecordsFound(records)))
