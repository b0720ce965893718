"""The quorum of stores' answers about the beginning of a turn."""

from enum import Enum

import msgspec

from burdockwall.process.storage.messages import (
    ChainLink,
    Charge,
    Presence,
    StreamPlace,
    TurnBegun,
)
from burdockwall.process.storage.view import StoreView
from burdockwall.types import InstanceId, TurnId


class Verdict(Enum):
    """The decision that the answers so far allow."""

    OPEN = "open"
    ADMITTED = "admitted"
    BUDGET_SPENT = "budget spent"
    TURN_UNKNOWN = "turn unknown"
    CHAIN_MISSING = "chain missing"
    STORES_FULL = "stores full"


class BeginQuorum(msgspec.Struct):
    """The stores' answers to the beginning of one turn.

    `continues` is whether the turn names a previous one. If the turn takes up a stream,
    `stream_s` is how long that may have lasted, else 0. `place_overdue` is set once the
    place of that stream is not waited for any longer.
    """

    view: StoreView
    tokens: int
    budget: int | None
    continues: bool
    needs_chain: bool
    stream_s: float = 0.0
    place_overdue: bool = False
    answers: dict[InstanceId, TurnBegun] = msgspec.field(default_factory=dict)

    def add(self, store: InstanceId, answer: TurnBegun) -> None:
        """Add a store's answer; it replaces an earlier answer without the chain."""
        earlier = self.answers.get(store)
        if earlier is None or earlier.chain is None:
            self.answers[store] = answer

    def decide(self) -> Verdict:
        """Return the decision that the answers so far allow."""
        complete = [answer for answer in self.answers.values() if answer.complete]
        if len(self.answers) < self.view.write_quorum:
            return Verdict.OPEN
        if len(complete) < self.view.read_quorum or self._awaits_place():
            return Verdict.OPEN
        if self._exceeds_budget():
            return Verdict.BUDGET_SPENT
        if not self.continues:
            return Verdict.ADMITTED
        return self._decide_by_presence()

    def _decide_by_presence(self) -> Verdict:
        presences = {answer.presence for answer in self.answers.values()}
        if Presence.STORED in presences:
            lacks_chain = self.needs_chain and self.find_chain() is None
            return Verdict.CHAIN_MISSING if lacks_chain else Verdict.ADMITTED
        if Presence.PARTIAL in presences:
            return Verdict.OPEN
        # So many complete stores lack the turn that no write quorum ever stored it.
        return Verdict.TURN_UNKNOWN

    def _exceeds_budget(self) -> bool:
        if self.budget is None:
            return False
        return self.count_charges() + self.tokens > self.budget

    def count_charges(self) -> int:
        """Count the tokens that the program's other turns have used or reserved."""
        charges: dict[TurnId, Charge] = {}
        for answer in self.answers.values():
            for charge in answer.charges:
                earlier = charges.get(charge.turn)
                if earlier is None or not earlier.settled:
                    charges[charge.turn] = charge
        return sum(charge.tokens for charge in charges.values())

    def discard_partial(self) -> None:
        """Discard the answers if they only have part of the chain.

        The stores are then asked again, since they may have copied the rest by now.
        """
        presences = {answer.presence for answer in self.answers.values()}
        if Presence.PARTIAL in presences and Presence.STORED not in presences:
            self.answers.clear()

    def find_chain(self) -> list[ChainLink] | None:
        """Return the earlier turns, oldest first, or None if no store has sent them."""
        for answer in self.answers.values():
            if answer.chain is not None:
                return answer.chain
        return None

    def find_answered(self) -> bool | None:
        """Return whether a turn of the program was answered completely.

        A complete answer is stored at a write quorum, so one of the stores of every
        read quorum knows it. Return None if no store tells.
        """
        told = {answer.answered for answer in self.answers.values()} - {None}
        return True in told if told else None

    def _awaits_place(self) -> bool:
        if not self.stream_s or self.place_overdue or self._is_place_certain():
            return False
        return len(self.answers) < len(self.view.members)

    def _is_place_certain(self) -> bool:
        """Return whether the answers overlap with every quorum that was told a place.

        A store without the place that started or joined within the stream's life does
        not count: it may have forgotten the place, or was never told.
        """
        certain = [
            answer
            for answer in self.answers.values()
            if answer.place is not None or answer.places_s > self.stream_s
        ]
        return len(certain) >= self.view.read_quorum

    def find_place(self) -> StreamPlace | None:
        """Return the latest place of the stream that the turn takes up, if certain."""
        if not self._is_place_certain():
            return None
        places = [answer.place for answer in self.answers.values() if answer.place]
        return max(places, key=lambda place: place.attempt, default=None)

    def list_stores_with_chain(self) -> list[InstanceId]:
        """List the stores that can send the chain."""
        return [
            store
            for store, answer in self.answers.items()
            if answer.presence is Presence.STORED
        ]
