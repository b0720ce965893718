"""Calls to the stores at the beginning and end of turns, decided by a quorum.

A program's turns are held by one group of stores. A turn may continue a turn of another
program, whose group is not known: if the own group does not have it, every other group
is asked.
"""

import msgspec

from burdockwall.machine import Message, Receive, Send, Tick
from burdockwall.process.storage.messages import (
    AskCopied,
    BeginTurn,
    EndTurn,
    FindTurn,
    StoreFull,
    StreamPlace,
    TurnBegun,
    TurnEnded,
)
from burdockwall.process.storage.quorum import BeginQuorum, Verdict
from burdockwall.process.storage.view import StoreView
from burdockwall.process.storage.writers import choose_writers
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
# Interval between repetitions, since a message may be lost with its connection. An end
# carries the texts of its turn: it is repeated after twice the time each time, so that
# repetitions never fill a link that is too slow for them.
REPEAT_S = 0.2


class TurnStart(msgspec.Struct, frozen=True):
    """A turn that is about to run.

    `needs_chain` asks the stores for the chain of earlier turns. `place` is where the
    turn's stream will come from, if callers may take it up. `resumes` is the turn whose
    stream this one takes up, which has lasted `stream_s` seconds at most.
    """

    customer: CustomerId
    program: ProgramId
    turn: TurnId
    previous: TurnId | None
    tokens: int
    budget: int | None
    retention_s: float
    needs_chain: bool
    place: StreamPlace | None = None
    resumes: TurnId | None = None
    stream_s: float = 0.0
    prompt_bytes: int = 0


class TurnOutcome(msgspec.Struct, frozen=True):
    """The end of a turn: the tokens sent to the caller, and the texts if it is whole.

    A turn is whole if its answer is complete.
    """

    tokens: int
    whole: bool
    prompt: bytes = b""
    answer: bytes = b""


class AskBegin(msgspec.Struct, frozen=True):
    """A call that reserves a turn's tokens and fetches the chain that it continues."""

    call: CallId
    start: TurnStart


class ChainOverdue(msgspec.Struct, frozen=True):
    """The store that was asked for a call's chain has been silent for a while."""

    call: CallId


class AskEnd(msgspec.Struct, frozen=True):
    """A call that settles a turn."""

    call: CallId
    start: TurnStart
    outcome: TurnOutcome


class Withdraw(msgspec.Struct, frozen=True):
    """No caller waits for a call any more."""

    call: CallId


class InstallView(msgspec.Struct, frozen=True):
    """The view of the stores, and the nearest of each group, may have changed."""

    view: StoreView
    nearest: tuple[InstanceId | None, ...]


class ProbeStores(msgspec.Struct, frozen=True):
    """A command to send every store a message, to detect which are reachable."""


class BeginDecided(msgspec.Struct, frozen=True):
    """The verdict of a quorum about the beginning of a turn.

    `other_group` is whether the chain came from a group that does not hold the program.
    `place` is that of the stream which the turn takes up. `answered` is whether a turn
    of the program was answered completely, or None if no store tells.
    """

    call: CallId
    verdict: Verdict
    quorum: BeginQuorum
    other_group: bool = False
    place: StreamPlace | None = None
    answered: bool | None = None


class EndStored(msgspec.Struct, frozen=True):
    """A quorum has synced the end of a turn."""

    call: CallId


class StoreRefused(msgspec.Struct, frozen=True):
    """A store has refused a call, since it has reached its size limit."""

    store: InstanceId


class _Search(msgspec.Struct):
    """What the stores of one group have answered about the beginning of a turn.

    The group that holds the program also reserves the turn's tokens.
    """

    quorum: BeginQuorum
    nearest: InstanceId | None
    reserves: bool
    chain_requests: set[InstanceId] = msgspec.field(default_factory=set)

    def list_first_sources(self) -> set[InstanceId]:
        """Return the store to ask for the chain first, if it is needed."""
        if self.nearest is None or not self.quorum.needs_chain:
            return set()
        return {self.nearest}


class _Begin(msgspec.Struct):
    start: TurnStart
    own: _Search
    others: list[_Search] = msgspec.field(default_factory=list)
    sent_at: float = 0.0
    # The stores that have no room for the turn.
    full: set[InstanceId] = msgspec.field(default_factory=set)

    def list_searches(self) -> list[_Search]:
        return [self.own, *self.others]

    def find_search(self, store: InstanceId) -> _Search | None:
        """Return the search of the group that a store belongs to."""
        for search in self.list_searches():
            if search.quorum.view.find(store) is not None:
                return search
        return None


class _End(msgspec.Struct):
    message: EndTurn
    view: StoreView
    repeat_at: float = 0.0
    repeat_s: float = REPEAT_S
    synced: set[InstanceId] = msgspec.field(default_factory=set)


Event = (
    Tick
    | Receive
    | AskBegin
    | ChainOverdue
    | AskEnd
    | Withdraw
    | InstallView
    | ProbeStores
)
Action = Send | BeginDecided | EndStored | StoreRefused


class TurnCalls:
    """Sends the calls of one instance to the stores until a quorum has answered."""

    def __init__(self, incarnation: Incarnation) -> None:
        self.incarnation = incarnation
        self.view = StoreView()
        self.nearest: tuple[InstanceId | None, ...] = (None,)
        self._group_views: tuple[StoreView, ...] = (self.view,)
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
            case ChainOverdue(call=call):
                return self._ask_other_source(call)
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
                    self._group_views = tuple(
                        view.select_group(group) for group in range(view.groups)
                    )
        return []

    def find_group_view(self, customer: CustomerId, program: ProgramId) -> StoreView:
        """Return the view of the group that holds a program."""
        return self._group_views[self.view.find_group(customer, program)]

    def _receive(
        self, sender: InstanceId, message: Message, now: float
    ) -> list[Action]:
        match message:
            case TurnBegun() if message.incarnation == self.incarnation:
                return self._handle_begun(sender, message, now)
            case TurnEnded() if message.incarnation == self.incarnation:
                return self._handle_ended(sender, message)
            case StoreFull() if message.incarnation == self.incarnation:
                return [StoreRefused(sender), *self._handle_full(sender, message)]
            case _:
                return []

    # The beginning of turns.

    def _begin(self, call: CallId, start: TurnStart, now: float) -> list[Action]:
        group = self.view.find_group(start.customer, start.program)
        quorum = BeginQuorum(
            self._group_views[group],
            start.tokens,
            start.budget,
            start.previous is not None,
            start.needs_chain,
            start.stream_s if start.resumes is not None else 0.0,
        )
        begin = _Begin(start, _Search(quorum, self._get_nearest(group), True), [], now)
        self._begins[call] = begin
        return self._ask_stores(call, begin, begin.own, begin.own.list_first_sources())

    def _get_nearest(self, group: int) -> InstanceId | None:
        return self.nearest[group] if group < len(self.nearest) else None

    def _search_other_groups(self, call: CallId, begin: _Begin) -> list[Action]:
        """Ask every other group for the turn that this one continues."""
        actions: list[Action] = []
        for group, view in enumerate(self._group_views):
            if view.members == begin.own.quorum.view.members:
                continue
            quorum = BeginQuorum(view, 0, None, True, begin.start.needs_chain)
            search = _Search(quorum, self._get_nearest(group), False)
            begin.others.append(search)
            sources = search.list_first_sources()
            actions += self._ask_stores(call, begin, search, sources)
        return actions

    def _ask_stores(
        self, call: CallId, begin: _Begin, search: _Search, sources: set[InstanceId]
    ) -> list[Action]:
        """Ask the stores that have not answered, and `sources` for the chain."""
        actions: list[Action] = []
        for store in search.quorum.view.instances:
            sends_chain = store in sources and begin.start.previous is not None
            if store in search.quorum.answers and not sends_chain:
                continue
            message = self._build_question(call, begin.start, search, sends_chain)
            actions.append(Send(store, message))
        search.chain_requests |= sources
        return actions

    def _ask_other_source(self, call: CallId) -> list[Action]:
        """Ask one more store for the chain, if that is all that a call lacks."""
        begin = self._begins.get(call)
        actions: list[Action] = []
        for search in begin.list_searches() if begin is not None else []:
            if search.quorum.decide() is not Verdict.CHAIN_MISSING:
                continue
            sources = set(search.quorum.list_stores_with_chain())
            sources -= search.chain_requests
            if begin is not None and sources:
                actions += self._ask_stores(call, begin, search, {min(sources)})
        return actions

    def _build_question(
        self, call: CallId, start: TurnStart, search: _Search, sends_chain: bool
    ) -> BeginTurn | FindTurn:
        if not search.reserves:
            assert start.previous is not None
            return FindTurn(
                call, self.incarnation, start.customer, start.previous, sends_chain
            )
        return BeginTurn(
            call,
            self.incarnation,
            start.customer,
            start.program,
            start.turn,
            start.tokens,
            int(start.retention_s * MS_PER_S),
            start.previous,
            sends_chain,
            start.place,
            start.resumes,
            start.prompt_bytes,
        )

    def _handle_begun(
        self, sender: InstanceId, answer: TurnBegun, now: float
    ) -> list[Action]:
        begin = self._begins.get(answer.call)
        search = begin.find_search(sender) if begin is not None else None
        if begin is None or search is None:
            return []
        search.quorum.add(sender, answer)
        if search.quorum.decide() is Verdict.CHAIN_MISSING:
            # The nearest store has answered without the chain, so ask another one.
            sources = set(search.quorum.list_stores_with_chain())
            sources -= search.chain_requests
            if search.nearest in search.quorum.answers and sources:
                begin.sent_at = now
                return self._ask_stores(answer.call, begin, search, {min(sources)})
            return []
        return self._decide(answer.call, begin)

    def _handle_full(self, sender: InstanceId, message: StoreFull) -> list[Action]:
        """Refuse a turn once too few stores have room for it."""
        begin = self._begins.get(message.call)
        if begin is None:
            return []
        begin.full.add(sender)
        view = begin.own.quorum.view
        if len(view.members) - len(begin.full) >= view.write_quorum:
            return []
        del self._begins[message.call]
        return [BeginDecided(message.call, Verdict.STORES_FULL, begin.own.quorum)]

    def _decide(self, call: CallId, begin: _Begin) -> list[Action]:
        own = begin.own.quorum
        verdict = own.decide()
        if verdict in (Verdict.OPEN, Verdict.CHAIN_MISSING):
            return []
        place, answered = own.find_place(), own.find_answered()
        decided = BeginDecided(call, verdict, own, False, place, answered)
        if verdict is Verdict.TURN_UNKNOWN and self.view.groups > 1:
            if not begin.others:
                return self._search_other_groups(call, begin)
            verdicts = [search.quorum.decide() for search in begin.others]
            if Verdict.ADMITTED in verdicts:
                found = begin.others[verdicts.index(Verdict.ADMITTED)].quorum
                decided = BeginDecided(
                    call, Verdict.ADMITTED, found, True, place, answered
                )
            elif set(verdicts) != {Verdict.TURN_UNKNOWN}:
                return []
        del self._begins[call]
        return [decided]

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
        group = self.view.find_group(start.customer, start.program)
        end = _End(message, self._group_views[group], now + REPEAT_S)
        self._ends[event.call] = end
        writers = choose_writers(end.view, start.turn, self._get_nearest(group))
        return [Send(store, message) for store in writers]

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
        due = [
            call
            for call, begin in self._begins.items()
            if now - begin.sent_at >= REPEAT_S
        ]
        for call in due:
            actions += self._repeat_begin(call, self._begins[call], now)
        for end in self._ends.values():
            if now >= end.repeat_at:
                end.repeat_s *= 2
                end.repeat_at = now + end.repeat_s
                waiting = set(end.view.instances) - end.synced
                actions += [Send(store, end.message) for store in sorted(waiting)]
        return actions

    def _repeat_begin(self, call: CallId, begin: _Begin, now: float) -> list[Action]:
        begin.sent_at = now
        quorum = begin.own.quorum
        if quorum.stream_s and not quorum.place_overdue:
            quorum.place_overdue = True
            decided = self._decide(call, begin)
            if decided:
                return decided
        actions: list[Action] = []
        for search in begin.list_searches():
            actions += self._repeat_search(call, begin, search)
        return actions

    def _repeat_search(
        self, call: CallId, begin: _Begin, search: _Search
    ) -> list[Action]:
        search.quorum.discard_partial()
        sources: set[InstanceId] = set()
        if search.quorum.needs_chain:
            sources.update(search.quorum.list_stores_with_chain())
        return self._ask_stores(call, begin, search, sources)
