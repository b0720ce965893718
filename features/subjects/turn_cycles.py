"""Turns that name one another as the turn before."""

import signal
from collections.abc import Iterator
from contextlib import contextmanager
from types import FrameType

from burdockwall.machine import Receive, Tick
from burdockwall.process.storage.ledger import Ledger, RecordsSynced
from burdockwall.process.storage.messages import FindTurn, Presence
from burdockwall.process.storage.records import LedgerRecord, RecordKind
from burdockwall.types import (
    CallId,
    CustomerId,
    Incarnation,
    InstanceId,
    ProgramId,
    TurnId,
)
from features.subjects.platform import PlatformSite, build_turn_headers

RETENTION_MS = 60_000
ENTRY = InstanceId("entry")
CUSTOMER = CustomerId("one")


class TooLong(Exception):
    """The ledger did not end in time."""


def stop_work(number: int, frame: FrameType | None) -> None:
    raise TooLong


class TurnCycles:
    """A ledger that takes turns."""

    def __init__(self) -> None:
        self.ledger = Ledger(Incarnation(1), True, 1_000_000)

    def take(self, turns: str) -> None:
        """Take turns, each as `ID:PREVIOUS`."""
        for item in turns.split():
            turn, _, previous = item.partition(":")
            self.ledger.add(build_record(turn, previous), 0.0)
        self.ledger.handle(Tick(), 0.0)

    def count_turns(self) -> int:
        return len(self.ledger._turns)

    def find(self, turn: str) -> Presence:
        question = FindTurn(CallId(1), Incarnation(1), CUSTOMER, TurnId(turn), True)
        self.ledger.handle(RecordsSynced(self.ledger._ticket), 0.0)
        (answer,) = self.ledger.handle(Receive(ENTRY, question), 0.0)
        return answer.message.presence


@contextmanager
def limit_time(limit_s: float) -> Iterator[None]:
    """Raise TooLong in the block after some seconds."""
    former = signal.signal(signal.SIGALRM, stop_work)
    signal.setitimer(signal.ITIMER_REAL, limit_s)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, former)


def store_cycle(site: PlatformSite) -> int:
    """Store a turn at two of three stores, and send it again naming itself."""
    site.cut_off_entry(1, (3,))
    headers = build_turn_headers("turn-a", None, 10_000)
    site.send_request("POST", "/chat/1", headers, instance=1)
    headers = build_turn_headers("turn-a", "turn-a", 10_000)
    return site.send_request("POST", "/chat/1", headers, instance=2).status_code


def build_record(turn: str, previous: str) -> LedgerRecord:
    return LedgerRecord(
        RecordKind.SETTLED,
        CUSTOMER,
        ProgramId("program"),
        TurnId(turn),
        1,
        RETENTION_MS,
        True,
        TurnId(previous),
    )
