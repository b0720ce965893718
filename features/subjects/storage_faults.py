"""Runs of stores through drawn faults, which check the answers to callers."""

import random
from dataclasses import dataclass, field

from burdockwall.fakes.network import NetworkConditions
from burdockwall.process.storage.calls import TurnCalls, TurnOutcome, TurnStart
from burdockwall.process.storage.copier import Copier
from burdockwall.process.storage.quorum import BeginQuorum, Verdict
from burdockwall.process.storage.records import StoreState
from burdockwall.process.storage.view import StoreView
from burdockwall.types import CallId, InstanceId, TurnId
from features.subjects.seeds import SeedRuns
from features.subjects.storage import StorageNetwork, read_chain

RUN_S = 14.0
SETTLE_S = 6.0
# Deployments require a returned store to copy the others' records within this time.
CATCH_UP_S = 4.4
CALLERS = (InstanceId("front-1"), InstanceId("front-2"))
MOST_TOKENS = 40
BUDGET_TOKENS = 150
STEP_S = 0.02


@dataclass(slots=True)
class ModelTurn:
    """A caller's state of one of its turns."""

    start: TurnStart
    caller: InstanceId
    begin: CallId
    asked_at: float
    expected_chain: str
    end: CallId | None = None
    outcome: TurnOutcome | None = None


@dataclass(slots=True)
class ModelProgram:
    """The turns and tokens that the callers of one program have received."""

    name: str
    whole: dict[TurnId, str] = field(default_factory=dict)
    received_tokens: int = 0
    turns: int = 0
    running: int = 0


class FaultRun:
    """Programs that run while stores crash, lose power or disks, and are cut off."""

    def __init__(self, seed: int, network_class: type[StorageNetwork]) -> None:
        self.random = random.Random(f"storage-faults-{seed}")
        conditions = NetworkConditions(
            delay_max_s=self.random.choice((0.003, 0.003, 0.05)),
            loss_probability=self.random.choice((0.0, 0.0, 0.05)),
            duplicate_probability=self.random.choice((0.0, 0.05)),
        )
        self.storage = network_class(seed, conditions=conditions)
        self.storage.start_caller(CALLERS[1])
        self.network = self.storage.network
        self.programs = [ModelProgram(f"p{n}") for n in range(4)]
        self.turns: list[ModelTurn] = []
        self.violations: list[str] = []
        self.stored = 0
        self._down: InstanceId | None = None
        self._next_fault = self.random.uniform(0.3, 1.0)

    def run(self) -> None:
        while self.network.now < RUN_S:
            self._cause_fault()
            self._advance_turns()
            self._begin_turn()
            self.storage.run(STEP_S)
        self._end_faults()
        self.storage.run(SETTLE_S)
        self._check_all()

    # Faults.

    def _cause_fault(self) -> None:
        if self.network.now < self._next_fault:
            return
        stores = list(self.storage.stores)
        fault = self.random.choice(("wipe", "cut", "kill", "power", "power all"))
        name = self.random.choice(stores)
        match fault:
            case "wipe":
                self.storage.wipe(name)
            case "cut":
                self.network.isolate(name)
                self._recover_later(self.network.heal, self.random.uniform(0.2, 3))
            case "kill":
                self.storage.restart_store(name)
            case "power":
                self.storage.lose_power(name)
                self._recover_later(lambda: self._return(name), 0.5)
            case "power all":
                for each in stores:
                    self.storage.lose_power(each)
                    self._recover_later(lambda each=each: self._return(each), 0.8)
        self._next_fault = (
            self.network.now + 3.0 + CATCH_UP_S * self.random.uniform(0.35, 1)
        )
        if fault == "wipe":
            self._next_fault = self.network.now + CATCH_UP_S

    def _recover_later(self, recover, delay_s: float) -> None:
        self.network.schedule(delay_s, recover)

    def _return(self, name: InstanceId) -> None:
        if not self.network.nodes[name].up:
            self.storage.start_store(name, self.storage.stores[name].files, False)

    def _end_faults(self) -> None:
        self.network.heal()
        for name in list(self.storage.stores):
            self._return(name)

    # Turns.

    def _begin_turn(self) -> None:
        program = self.random.choice(self.programs)
        if self.random.random() > 0.4 or program.running >= 3:
            return
        program.turns += 1
        program.running += 1
        whole = list(program.whole)
        latest = whole[-1:] if self.random.random() < 0.5 else whole
        previous = self.random.choice(latest) if latest else None
        turn = f"{program.name}-{program.turns}"
        start = self.storage.describe(
            turn,
            program.name,
            previous,
            self.random.randint(1, MOST_TOKENS),
            BUDGET_TOKENS,
        )
        caller = self.random.choice(CALLERS)
        call = self.storage.ask_begin(start, caller)
        chain = program.whole[previous] if previous else ""
        self.turns.append(ModelTurn(start, caller, call, self.network.now, chain))

    def _advance_turns(self) -> None:
        for turn in list(self.turns):
            program = self._find_program(turn.start)
            if turn.end is None:
                self._handle_begin(turn, program)
            elif turn.end in self.storage.decisions.ends:
                self._record_stored(turn, program)
            elif self.network.now - turn.asked_at > 3.0:
                # Its storage is not confirmed, so the caller's answer fails.
                self._remove(turn, program)

    def _find_program(self, start: TurnStart) -> ModelProgram:
        return next(each for each in self.programs if each.name == start.program)

    def _handle_begin(self, turn: ModelTurn, program: ModelProgram) -> None:
        decided = self.storage.decisions.begins.get(turn.begin)
        if decided is None:
            if self.network.now - turn.asked_at > 1.5:
                self.storage.withdraw(turn.begin, turn.caller)
                self._settle(turn, 0)
                self._remove(turn, program)
            return
        if decided.verdict is Verdict.TURN_UNKNOWN:
            self.violations.append(
                f"{turn.start.previous} is lost at {self.network.now}"
            )
        if decided.verdict is not Verdict.ADMITTED:
            self._settle(turn, 0)
            self._remove(turn, program)
            return
        chain = read_chain(decided)
        if turn.start.previous and chain != turn.expected_chain:
            self.violations.append(f"{turn.start.turn} got {chain!r}")
        tokens = self.random.randint(0, turn.start.tokens)
        program.received_tokens += tokens
        if program.received_tokens > BUDGET_TOKENS + MOST_TOKENS:
            self.violations.append(
                f"{program.name} was given {program.received_tokens} tokens"
            )
        if self.random.random() < 0.1:
            # The caller left or its instance crashed, so the turn is not settled.
            self._remove(turn, program)
            return
        whole = self.random.random() < 0.8
        text = str(turn.start.turn).encode()
        turn.outcome = TurnOutcome(tokens, whole, text, b"!")
        turn.end = self.storage.ask_end(turn.start, turn.outcome, turn.caller)
        turn.asked_at = self.network.now

    def _settle(self, turn: ModelTurn, tokens: int) -> None:
        self.storage.ask_end(turn.start, TurnOutcome(tokens, False), turn.caller)

    def _record_stored(self, turn: ModelTurn, program: ModelProgram) -> None:
        if turn.outcome is not None and turn.outcome.whole:
            chain = f"{turn.expected_chain} {turn.start.turn}!".strip()
            program.whole[turn.start.turn] = chain
            self.stored += 1
        self._remove(turn, program)

    def _remove(self, turn: ModelTurn, program: ModelProgram) -> None:
        program.running -= 1
        self.turns.remove(turn)

    # The checks at the end.

    def _check_all(self) -> None:
        for program in self.programs:
            for turn, chain in program.whole.items():
                start = self.storage.describe(f"check-{turn}", "check", turn, 1)
                decided = self.storage.begin(start)
                if decided is None or decided.verdict is not Verdict.ADMITTED:
                    self.violations.append(f"{turn} is lost: {decided}")
                elif read_chain(decided) != chain:
                    self.violations.append(
                        f"{turn} has the wrong chain: {read_chain(decided)}"
                    )


class FaultSubject(SeedRuns):
    """Runs many seeds, and collects violations and the number of stored turns."""

    def __init__(self, network_class: type[StorageNetwork] = StorageNetwork) -> None:
        super().__init__(FaultRun, network_class)
        self.stored = 0

    def find_violations(self, run: FaultRun) -> list[str]:
        self.stored += run.stored
        return run.violations


class GroupedStorage(StorageNetwork):
    """Stores in two groups, of which each holds about half of the programs."""

    def __init__(self, seed: int = 1, stores: int = 6, conditions=None) -> None:
        super().__init__(seed, stores, conditions, groups=2)


class SoleQuorumView(StoreView):
    """A view in which one store is a quorum."""

    @property
    def write_quorum(self) -> int:
        return 1

    @property
    def read_quorum(self) -> int:
        return 1


class IdleCopier(Copier):
    """Copies nothing, and reports the store as complete."""

    def _request_due(self, now):
        return []

    def _check_complete(self, now):
        if not self.ledger.state.complete:
            self.ledger.set_state(StoreState(True, self.ledger.state.since), now)
        return []


class UnreservedQuorum(BeginQuorum):
    """Counts only settled charges, and not those of turns in progress."""

    def count_charges(self) -> int:
        charges = {}
        for answer in self.answers.values():
            charges |= {
                each.turn: each.tokens for each in answer.charges if each.settled
            }
        return sum(charges.values())


class UnreservedCalls(TurnCalls):
    """Begins turns regardless of other turns in progress."""

    def _begin(self, call, start, now):
        actions = super()._begin(call, start, now)
        begin = self._begins[call]
        quorum = begin.own.quorum
        begin.own.quorum = UnreservedQuorum(
            quorum.view,
            quorum.tokens,
            quorum.budget,
            quorum.continues,
            quorum.needs_chain,
        )
        return actions


class EarlyAnswers(StorageNetwork):
    """Stores that answer before the sync."""

    syncs_first = False


class SoleWriters(StorageNetwork):
    """Callers that wait for one store only."""

    def __init__(self, seed: int = 1, stores: int = 3, conditions=None) -> None:
        super().__init__(seed, stores, conditions)
        self.install_view(SoleQuorumView(2, self.view.members))


class TrustingStores(StorageNetwork):
    """Stores that treat an empty disk as complete."""

    distrusts_new_disks = False


class IdleStores(StorageNetwork):
    """Stores that copy nothing from each other."""

    copier_class = IdleCopier


class UnreservedCallers(StorageNetwork):
    """Callers that ignore reserved tokens."""

    calls_class = UnreservedCalls


UNSAFE = {
    "the sync before the answer": EarlyAnswers,
    "the quorum of writers": SoleWriters,
    "the distrust of a new disk": TrustingStores,
    "the copies between stores": IdleStores,
    "the reservation of tokens": UnreservedCallers,
}
