"""Stores, and the instances that call them, on a virtual network."""

import random
from dataclasses import dataclass, field

from msgspec.structs import replace

from burdockwall.fakes.files import FakeFiles
from burdockwall.fakes.network import FakeNetwork, NetworkConditions
from burdockwall.process.storage.calls import (
    CALL_MESSAGES,
    AskBegin,
    AskEnd,
    BeginDecided,
    EndStored,
    InstallView,
    TurnCalls,
    TurnOutcome,
    TurnStart,
    Withdraw,
)
from burdockwall.process.storage.copier import COPIER_MESSAGES, Copier, ViewInstalled
from burdockwall.process.storage.emptying import (
    EmptyingPlanner,
    EmptyingStores,
    ObserveEmptying,
    ProposeEmptying,
)
from burdockwall.process.storage.journal import LedgerJournal
from burdockwall.process.storage.ledger import (
    LEDGER_MESSAGES,
    Ledger,
    RecordsSynced,
    ReleaseRecords,
    WriteRecords,
)
from burdockwall.process.storage.messages import Copied
from burdockwall.process.storage.quorum import Verdict
from burdockwall.process.storage.view import StoreMember, StoreView
from burdockwall.types import (
    CallId,
    CustomerId,
    Incarnation,
    InstanceId,
    ProgramId,
    TurnId,
)

FRONT = InstanceId("front-1")
LEADER = InstanceId("leader")
CUSTOMER = CustomerId("customer")
RETENTION_S = 60.0
SYNC_S = 0.002
LIMIT_BYTES = 100_000_000
CALL_LIMIT_S = 2.0


def name_store(number: int) -> InstanceId:
    return InstanceId(f"store-{number}")


@dataclass(slots=True)
class StoreParts:
    """The parts of one store; its files survive a restart."""

    files: FakeFiles
    ledger: Ledger
    copier: Copier
    journal: LedgerJournal
    # Writes end in the order of their requests.
    written_at: float = 0.0


@dataclass(slots=True)
class Decisions:
    """The results of calls by their ids, and of emptying."""

    begins: dict[CallId, BeginDecided] = field(default_factory=dict)
    ends: set[CallId] = field(default_factory=set)
    emptied: list[EmptyingStores] = field(default_factory=list)


class StorageNetwork:
    """Stores, callers and a leader that empties stores."""

    copier_class: type[Copier] = Copier
    calls_class: type[TurnCalls] = TurnCalls
    syncs_first = True
    distrusts_new_disks = True

    def __init__(
        self,
        seed: int = 1,
        stores: int = 3,
        conditions: NetworkConditions | None = None,
        groups: int = 1,
    ) -> None:
        self.random = random.Random(f"storage-{seed}")
        self.network = FakeNetwork(seed, conditions, self._perform)
        self.decisions = Decisions()
        self.stores: dict[InstanceId, StoreParts] = {}
        self.callers: dict[InstanceId, TurnCalls] = {}
        names = [name_store(number) for number in range(1, stores + 1)]
        members = tuple(
            StoreMember(name, 1, index % groups) for index, name in enumerate(names)
        )
        self.view = StoreView(1, members, groups)
        self.former_group = 0
        self._calls = 0
        self._incarnations = 0
        for name in names:
            self.start_store(name, FakeFiles(self.random), first=True)
        self.start_caller(FRONT)
        self.planner = EmptyingPlanner()
        self.network.start(LEADER, [(self.planner, (Copied,))])

    # Instances.

    def _create_incarnation(self) -> Incarnation:
        self._incarnations += 1
        return Incarnation(self._incarnations)

    def start_store(self, name: InstanceId, files: FakeFiles, first: bool) -> None:
        journal = LedgerJournal(files)
        recovery = journal.recover()
        complete = first or not self.distrusts_new_disks
        ledger = Ledger(self._create_incarnation(), complete, LIMIT_BYTES, journal.read)
        now = self.network.now
        ledger.recover(recovery.records, recovery.whole, now, recovery.places)
        copier = self.copier_class(name, ledger)
        self.stores[name] = StoreParts(files, ledger, copier, journal)
        self.network.start(
            name,
            [
                (ledger, LEDGER_MESSAGES),
                (copier, COPIER_MESSAGES),
            ],
        )
        self.network.apply(name, copier, ViewInstalled(self.view))

    def start_caller(self, name: InstanceId) -> None:
        calls = self.calls_class(self._create_incarnation())
        self.callers[name] = calls
        self.network.start(name, [(calls, CALL_MESSAGES)])
        self._install(name)

    def _install(self, name: InstanceId) -> None:
        groups = map(self.view.select_group, range(self.view.groups))
        nearest = tuple(next(iter(group.instances), None) for group in groups)
        event = InstallView(self.view, nearest)
        self.network.apply(name, self.callers[name], event)

    def install_view(self, view: StoreView) -> None:
        self.view = view
        for name in self.callers:
            self._install(name)
        for name, parts in self.stores.items():
            self.network.apply(name, parts.copier, ViewInstalled(view))

    def restart_store(self, name: InstanceId) -> None:
        self.network.crash(name)
        self.start_store(name, self.stores[name].files, first=False)

    def lose_power(self, name: InstanceId) -> None:
        self.network.crash(name)
        self.stores[name].files.crash()

    def wipe(self, name: InstanceId) -> None:
        self.network.crash(name)
        self.stores[name].files.delete_all()
        self.start_store(name, self.stores[name].files, first=False)

    def _perform(self, instance: InstanceId, action: object, now: float) -> None:
        match action:
            case WriteRecords():
                self._store(instance, action)
            case ReleaseRecords(records=records):
                journal = self.stores[instance].journal
                journal.release(records)
                journal.remove_released()
            case BeginDecided(call=call):
                self.decisions.begins[call] = action
            case EndStored(call=call):
                self.decisions.ends.add(call)
            case ProposeEmptying(emptying=emptying):
                self.decisions.emptied.append(emptying)
            case _:
                pass

    def _store(self, instance: InstanceId, action: WriteRecords) -> None:
        parts = self.stores[instance]
        restarts = self.network.nodes[instance].restarts

        def is_same() -> bool:
            node = self.network.nodes[instance]
            return node.up and node.restarts == restarts

        def write() -> None:
            if is_same():
                places = parts.journal.write(action.records)
                synced = RecordsSynced(action.ticket, places)
                self.network.apply(instance, parts.ledger, synced)

        if not self.syncs_first:
            self.network.schedule(
                0.0,
                lambda: self.network.apply(
                    instance, parts.ledger, RecordsSynced(action.ticket)
                ),
            )
            self.network.schedule(100 * SYNC_S, write)
            return
        now = self.network.now
        sync_s = self.random.uniform(SYNC_S / 2, SYNC_S)
        parts.written_at = max(now, parts.written_at) + sync_s
        self.network.schedule(parts.written_at - now, write)

    # Calls.

    def describe(
        self,
        turn: str,
        program: str,
        previous: str | None = None,
        tokens: int = 10,
        budget: int | None = None,
        customer: CustomerId = CUSTOMER,
    ) -> TurnStart:
        return TurnStart(
            customer,
            ProgramId(program),
            TurnId(turn),
            TurnId(previous) if previous else None,
            tokens,
            budget,
            RETENTION_S,
            needs_chain=True,
        )

    def ask_begin(self, start: TurnStart, caller: InstanceId = FRONT) -> CallId:
        self._calls += 1
        call = CallId(self._calls)
        self.network.apply(caller, self.callers[caller], AskBegin(call, start))
        return call

    def ask_end(
        self, start: TurnStart, outcome: TurnOutcome, caller: InstanceId = FRONT
    ) -> CallId:
        self._calls += 1
        call = CallId(self._calls)
        event = AskEnd(call, start, outcome)
        self.network.apply(caller, self.callers[caller], event)
        return call

    def withdraw(self, call: CallId, caller: InstanceId = FRONT) -> None:
        self.network.apply(caller, self.callers[caller], Withdraw(call))

    def begin(
        self, start: TurnStart, limit_s: float = CALL_LIMIT_S
    ) -> BeginDecided | None:
        call = self.ask_begin(start)
        self.run_until(lambda: call in self.decisions.begins, limit_s)
        self.withdraw(call)
        return self.decisions.begins.get(call)

    def end(self, start: TurnStart, outcome: TurnOutcome) -> bool:
        call = self.ask_end(start, outcome)
        self.run_until(lambda: call in self.decisions.ends, CALL_LIMIT_S)
        self.withdraw(call)
        return call in self.decisions.ends

    def run_until(self, done, limit_s: float) -> bool:
        until = self.network.now + limit_s
        while not done() and self.network.now < until:
            self.network.run_until(self.network.now + 0.001)
        return done()

    def run(self, seconds: float) -> None:
        self.network.run_until(self.network.now + seconds)

    # Emptying.

    def empty(self, name: InstanceId) -> None:
        others = tuple(
            member for member in self.view.members if member.instance != name
        )
        member = self.view.find(name)
        self.former_group = member.group if member is not None else 0
        number = self.view.number + 1
        self.install_view(StoreView(number, others, self.view.groups))

    def run_until_empty(self, name: InstanceId, limit_s: float) -> bool:
        until = self.network.now + limit_s
        emptying = EmptyingStores(1, (name,), groups={name: self.former_group})
        while not self.decisions.emptied and self.network.now < until:
            observed = ObserveEmptying(emptying, self.view)
            self.network.apply(LEADER, self.planner, observed)
            self.run(0.1)
        return bool(self.decisions.emptied)


def change_tokens(start: TurnStart, tokens: int) -> TurnStart:
    return replace(start, tokens=tokens)


def read_chain(decided: BeginDecided) -> str:
    links = decided.quorum.find_chain() or []
    return " ".join((link.prompt + link.answer).decode() for link in links)


def is_admitted(decided: BeginDecided | None) -> bool:
    return decided is not None and decided.verdict is Verdict.ADMITTED
