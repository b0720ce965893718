"""Calls to the stores at the beginning and end of turns, decided by a quorum."""

from dataclasses import dataclass, field

from burdockwall.machine import Message, Receive, Send, Tick
from burdockwall.process.storage.messages import (
    AskCopied,
    BeginTurn,
    EndTurn,
    StoreFull,
    TurnBegun,
    TurnEnded,
)
from burdockwall.process.storage.quorum import BeginQuorum, Verdict
from burdockwall.process.storage.view import StoreView
from burdockwall.types import (
    CallId,
    CustomerId,
    Incarnation,
    InstanceId,
    ProgramId,
    TurnId,
)

CALL_MESSAGES: tuple[type[Message], ...] = (TurnBegun, TurnEnded, StoreFull)
MS_PER_S = 1000
# Interval between repetitions, since a message may be lost with its connection.
REPEAT_S = 0.2


@dataclass(frozen=True, slots=True)
class TurnStart:
    """A turn that is about to run.

    `needs_chain` asks the stores for the chain of earlier turns.
    """

    customer: CustomerId
    program: ProgramId
    turn: TurnId
    previous: TurnId | None
    tokens: int
    budget: int | None
    retention_s: float
    needs_chain: bool


@dataclass(frozen=True, slots=True)
class TurnOutcome:
    """The end of a turn: the tokens sent to the caller, and the texts if it is whole.

    A turn is whole if its answer is complete.
    """

    tokens: int
    whole: bool
    prompt: bytes = b""
    answer: bytes = b""


@dataclass(frozen=True, slots=True)
class AskBegin:
    """A call that reserves a turn's tokens and fetches the chain that it continues."""

    call: CallId
    start: TurnStart


@dataclass(frozen=True, slots=True)
class AskEnd:
    """A call that settles a turn."""

    call: CallId
    start: TurnStart
    outcome: TurnOutcome


@dataclass(frozen=True, slots=True)
class Withdraw:
    """No caller waits for a call any more."""

    call: CallId


@dataclass(frozen=True, slots=True)
class InstallView:
    """The view of the stores, and the nearest of them, may have changed."""

    view: StoreView
    nearest: InstanceId | None


@dataclass(frozen=True, slots=True)
class ProbeStores:
    """A command to send every store a message, to detect which are reachable."""


@dataclass(frozen=True, slots=True)
class BeginDecided:
    """The verdict of a quorum about the beginning of a turn."""

    call: CallId
    verdict: Verdict
    quorum: BeginQuorum


@dataclass(frozen=True, slots=True)
class EndStored:
    """A quorum has synced the end of a turn."""

    call: CallId


@dataclass(frozen=True, slots=True)
class StoreRefused:
    """A store has refused a call, since it has reached its size limit."""

    store: InstanceId


@dataclass(slots=True)
class _Begin:
    start: TurnStart
    quorum: BeginQuorum
    sent_at: float = 0.0
    chain_requests: set[InstanceId] = field(default_factory=set)


@dataclass(slots=True)
class _End:
    message: EndTurn
    view: StoreView
    sent_at: float = 0.0
    synced: set[InstanceId] = field(default_factory=set)


Event = Tick | Receive | AskBegin | AskEnd | Withdraw | InstallView | ProbeStores
Action = Send | BeginDecided | EndStored | StoreRefused


class TurnCalls:
    """Sends the calls of one instance to the stores until a quorum has answered."""

    def __init__(self, incarnation: Incarnation) -> None:
        self.incarnation = incarnation
        self.view = StoreView()
        self.nearest: InstanceId | None = None
        self._begins: dict[CallId, _Begin] = {}
        self._ends: dict[CallId, _End] = {}

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event and return the messages and the decided calls."""
        match event:
            case Tick():
                return self._repeat(now)
            case Receive(sender=sender, message=message):
                return self._receive(sender, message, now)
            case AskBegin(call=call, start=start):
                return self._begin(call, start, now)
            case AskEnd():
                return self._end(event, now)
            case Withdraw(call=call):
                self._begins.pop(call, None)
                self._ends.pop(call, None)
            case ProbeStores():
                # Any message serves, since only the connection's reply matters.
                probe = AskCopied(InstanceId(""), 0.0)
                return [Send(store, probe) for store in self.view.instances]
            case InstallView(view=view, nearest=nearest):
                self.nearest = nearest
                if view.number > self.view.number:
                    self.view = view
        return []

    def _receive(
        self, sender: InstanceId, message: Message, now: float
    ) -> list[Action]:
        match message:
            case TurnBegun() if message.incarnation == self.incarnation:
                return self._handle_begun(sender, message, now)
            case TurnEnded() if message.incarnation == self.incarnation:
                return self._handle_ended(sender, message)
            case StoreFull():
                return [StoreRefused(sender)]
            case _:
                return []

    # The beginning of turns.

    def _begin(self, call: CallId, start: TurnStart, now: float) -> list[Action]:
        quorum = BeginQuorum(
            self.view,
            start.tokens,
            start.budget,
            start.previous is not None,
            start.needs_chain,
        )
        begin = _Begin(start, quorum, now)
        self._begins[call] = begin
        sources = {self.nearest} if start.needs_chain and self.nearest else set()
        return self._ask_stores(call, begin, sources)

    def _ask_stores(
        self, call: CallId, begin: _Begin, sources: set[InstanceId]
    ) -> list[Action]:
        """Ask the stores that have not answered, and `sources` for the chain."""
        start = begin.start
        actions: list[Action] = []
        for store in begin.quorum.view.instances:
            sends_chain = store in sources and start.previous is not None
            if store in begin.quorum.answers and not sends_chain:
                continue
            message = BeginTurn(
                call,
                self.incarnation,
                start.customer,
                start.program,
                start.turn,
                start.tokens,
                int(start.retention_s * MS_PER_S),
                start.previous,
                sends_chain,
            )
            actions.append(Send(store, message))
        begin.chain_requests |= sources
        return actions

    def _handle_begun(
        self, sender: InstanceId, answer: TurnBegun, now: float
    ) -> list[Action]:
        begin = self._begins.get(answer.call)
        if begin is None:
            return []
        begin.quorum.add(sender, answer)
        verdict = begin.quorum.decide()
        if verdict is Verdict.OPEN:
            return []
        if verdict is Verdict.CHAIN_MISSING:
            # The nearest store has answered without the chain, so ask another one.
            sources = set(begin.quorum.list_stores_with_chain()) - begin.chain_requests
            if self.nearest in begin.quorum.answers and sources:
                begin.sent_at = now
                return self._ask_stores(answer.call, begin, {min(sources)})
            return []
        del self._begins[answer.call]
        return [BeginDecided(answer.call, verdict, begin.quorum)]

    # The end of turns.

    def _end(self, event: AskEnd, now: float) -> list[Action]:
        start, outcome = event.start, event.outcome
        message = EndTurn(
            event.call,
            self.incarnation,
            start.customer,
            start.program,
            start.turn,
            outcome.tokens,
            outcome.whole,
            int(start.retention_s * MS_PER_S),
            start.previous,
            outcome.prompt,
            outcome.answer,
        )
        end = _End(message, self.view, now)
        self._ends[event.call] = end
        return [Send(store, message) for store in end.view.instances]

    def _handle_ended(self, sender: InstanceId, answer: TurnEnded) -> list[Action]:
        end = self._ends.get(answer.call)
        if end is None or end.view.find(sender) is None:
            return []
        end.synced.add(sender)
        if len(end.synced) < end.view.write_quorum:
            return []
        del self._ends[answer.call]
        return [EndStored(answer.call)]

    # Time.

    def _repeat(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for call, begin in self._begins.items():
            if now - begin.sent_at >= REPEAT_S:
                begin.sent_at = now
                begin.quorum.discard_partial()
                sources = (
                    begin.quorum.list_stores_with_chain()
                    if begin.start.needs_chain
                    else []
                )
                actions += self._ask_stores(call, begin, set(sources))
        for end in self._ends.values():
            if now - end.sent_at >= REPEAT_S:
                end.sent_at = now
                waiting = set(end.view.instances) - end.synced
                actions += [Send(store, end.message) for store in sorted(waiting)]
        return actions
