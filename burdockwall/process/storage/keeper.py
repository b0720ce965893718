"""Begin and end turns at the stores, on behalf of callers."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio
import logbook

from burdockwall.errors import Code, RequestRefused
from burdockwall.machine import Receive, Send, Tick
from burdockwall.process.host import Host
from burdockwall.process.storage.messages import (
    BeginTurn,
    ChainLink,
    EndTurn,
    StoreFull,
    TurnBegun,
    TurnEnded,
)
from burdockwall.process.storage.tally import BeginTally, Verdict
from burdockwall.process.storage.view import StoreView
from burdockwall.types import (
    CallId,
    CustomerId,
    FailureDomain,
    Incarnation,
    InstanceId,
    ProgramId,
    TurnId,
)

MS_PER_S = 1000
# A message may be lost with its connection; the same one is sent again.
REPEAT_S = 0.2
BEGIN_LIMIT_S = 1.5
END_LIMIT_S = 2.5
RETRY_AFTER_S = 0.3


@dataclass(frozen=True, slots=True)
class TurnStart:
    """Describe a turn that is about to run."""

    customer: CustomerId
    program: ProgramId
    turn: TurnId
    previous: TurnId | None
    tokens: int
    budget: int | None
    retention_s: float
    keeps: bool


@dataclass(frozen=True, slots=True)
class TurnOutcome:
    """Describe how a turn ended: tokens handed out, and the texts of a whole one."""

    tokens: int
    whole: bool
    prompt: bytes = b""
    answer: bytes = b""


@dataclass(slots=True)
class _BeginCall:
    tally: BeginTally
    done: anyio.Event


@dataclass(slots=True)
class _EndCall:
    stores: set[InstanceId]
    quorum: int
    done: anyio.Event


class TurnKeeper:
    """Ask the stores, and wait for a quorum of them."""

    def __init__(
        self,
        host: Host,
        incarnation: Incarnation,
        near: FailureDomain,
        find_domain: Callable[[InstanceId], FailureDomain | None],
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.near = near
        self.find_domain = find_domain
        self.view = StoreView()
        self._logger = logbook.Logger("turns")
        self._last_call = 0
        self._begins: dict[CallId, _BeginCall] = {}
        self._ends: dict[CallId, _EndCall] = {}
        host.add(self, (TurnBegun, TurnEnded, StoreFull))

    def install_view(self, view: StoreView) -> None:
        """Use a later view of the stores."""
        if view.number > self.view.number:
            self.view = view

    def handle(self, event: Tick | Receive, now: float) -> list[Send]:
        """Give the answers of stores to the calls that wait for them."""
        match event:
            case Receive(sender=sender, message=TurnBegun() as answer):
                self._take_begun(sender, answer)
            case Receive(sender=sender, message=TurnEnded() as answer):
                self._take_ended(sender, answer)
            case Receive(sender=sender, message=StoreFull()):
                self._logger.error("store is full", extra={"store": sender})
            case _:
                pass
        return []

    def _take_begun(self, sender: InstanceId, answer: TurnBegun) -> None:
        call = self._begins.get(answer.call)
        if call is None or answer.incarnation != self.incarnation:
            return
        call.tally.add(sender, answer)
        if call.tally.judge() is not Verdict.OPEN:
            call.done.set()

    def _take_ended(self, sender: InstanceId, answer: TurnEnded) -> None:
        call = self._ends.get(answer.call)
        if call is None or answer.incarnation != self.incarnation:
            return
        call.stores.add(sender)
        if len(call.stores) >= call.quorum:
            call.done.set()

    def _create_call(self) -> CallId:
        self._last_call += 1
        return CallId(self._last_call)

    def _find_nearest(self, view: StoreView) -> InstanceId | None:
        for instance in view.instances:
            if self.find_domain(instance) == self.near:
                return instance
        return view.instances[0] if view.instances else None

    async def begin(
        self, start: TurnStart, limit_s: float = BEGIN_LIMIT_S
    ) -> list[ChainLink]:
        """Reserve a turn's tokens and return its chain, or raise RequestRefused."""
        view = self.view
        if not view.members:
            raise RequestRefused(Code.RECORDS_UNAVAILABLE, "no stores", RETRY_AFTER_S)
        tally = BeginTally(
            view, start.tokens, start.budget, start.previous is not None, start.keeps
        )
        number = self._create_call()
        call = _BeginCall(tally, anyio.Event())
        self._begins[number] = call
        try:
            verdict = await self._ask_begin(number, call, start, limit_s)
        finally:
            del self._begins[number]
        match verdict:
            case Verdict.ADMITTED:
                return tally.find_chain() or []
            case Verdict.BUDGET_SPENT:
                used = tally.count_charges()
                detail = f"{used} of {start.budget} tokens are used or reserved"
                raise RequestRefused(Code.BUDGET_SPENT, detail)
            case Verdict.TURN_UNKNOWN:
                raise RequestRefused(Code.TURN_UNKNOWN, f"no turn {start.previous}")
            case _:
                answered = " ".join(sorted(tally.answers)) or "none"
                detail = f"stores that answered: {answered}"
                raise RequestRefused(Code.TURN_UNCERTAIN, detail, RETRY_AFTER_S)

    async def _ask_begin(
        self, number: CallId, call: _BeginCall, start: TurnStart, limit_s: float
    ) -> Verdict:
        nearest = self._find_nearest(call.tally.view)
        with anyio.move_on_after(limit_s):
            senders = {nearest} if start.keeps else set()
            while True:
                self._send_begin(number, call, start, senders)
                call.done = anyio.Event()
                with anyio.move_on_after(REPEAT_S):
                    await call.done.wait()
                verdict = call.tally.judge()
                if verdict not in (Verdict.OPEN, Verdict.CHAIN_MISSING):
                    return verdict
                # The nearest store lacks the chain, or did not answer in time.
                senders = set(call.tally.list_keepers()) if start.keeps else set()
        return Verdict.OPEN

    def _send_begin(
        self,
        number: CallId,
        call: _BeginCall,
        start: TurnStart,
        senders: set[InstanceId | None],
    ) -> None:
        for store in call.tally.view.instances:
            sends_chain = store in senders
            if store in call.tally.answers and not sends_chain:
                continue
            message = BeginTurn(
                number,
                self.incarnation,
                start.customer,
                start.program,
                start.turn,
                start.tokens,
                int(start.retention_s * MS_PER_S),
                start.previous,
                sends_chain and start.previous is not None,
            )
            self.host.send(store, message)

    async def end(
        self, start: TurnStart, outcome: TurnOutcome, limit_s: float = END_LIMIT_S
    ) -> bool:
        """Settle a turn; tell whether a quorum of stores has synced it."""
        view = self.view
        number = self._create_call()
        call = _EndCall(set(), view.write_quorum, anyio.Event())
        self._ends[number] = call
        message = EndTurn(
            number,
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
        try:
            with anyio.move_on_after(limit_s):
                while not call.done.is_set():
                    for store in view.instances:
                        if store not in call.stores:
                            self.host.send(store, message)
                    with anyio.move_on_after(REPEAT_S):
                        await call.done.wait()
        finally:
            del self._ends[number]
        return call.done.is_set()
