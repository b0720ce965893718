"""A begin of a turn whose nearest store is silent."""

from burdockwall.machine import Receive, Send
from burdockwall.process.storage.calls import (
    AskBegin,
    BeginDecided,
    ChainOverdue,
    InstallView,
    TurnCalls,
    TurnStart,
)
from burdockwall.process.storage.messages import BeginTurn, Presence, TurnBegun
from burdockwall.process.storage.view import StoreMember, StoreView
from burdockwall.types import (
    CallId,
    CustomerId,
    Incarnation,
    InstanceId,
    ProgramId,
    TurnId,
)

CALL = CallId(1)
STORES = [InstanceId(f"s{number}") for number in (1, 2, 3)]


class ChainSources:
    """The calls of an instance to three stores, the first of which is the nearest."""

    def __init__(self) -> None:
        self.calls = TurnCalls(Incarnation(1))
        members = tuple(StoreMember(store, 1) for store in STORES)
        self.calls.handle(InstallView(StoreView(1, members), (STORES[0],)), 0.0)
        start = TurnStart(
            CustomerId("c"),
            ProgramId("p"),
            TurnId("b"),
            TurnId("a"),
            5,
            None,
            60.0,
            True,
        )
        self.calls.handle(AskBegin(CALL, start), 0.0)

    def answer(self, store: InstanceId, with_chain: bool = False) -> bool:
        """Let a store answer; return whether the begin is decided."""
        chain = [] if with_chain else None
        begun = TurnBegun(CALL, Incarnation(1), True, [], Presence.STORED, chain)
        actions = self.calls.handle(Receive(store, begun), 0.001)
        return any(isinstance(item, BeginDecided) for item in actions)

    def wait(self) -> list[InstanceId]:
        """Let the chain be overdue; return the stores that are asked for it."""
        actions = self.calls.handle(ChainOverdue(CALL), 0.02)
        return [
            item.to
            for item in actions
            if isinstance(item, Send)
            and isinstance(item.message, BeginTurn)
            and item.message.sends_chain
        ]
