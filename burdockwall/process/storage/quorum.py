"""Judge the answers of stores: what a quorum of them says about a turn."""

from dataclasses import dataclass, field
from enum import Enum

from burdockwall.process.storage.messages import (
    ChainLink,
    Charge,
    Presence,
    TurnBegun,
)
from burdockwall.process.storage.view import StoreView
from burdockwall.types import InstanceId, TurnId


class Verdict(Enum):
    """Name what the answers so far allow."""

    OPEN = "open"
    ADMITTED = "admitted"
    BUDGET_SPENT = "budget spent"
    TURN_UNKNOWN = "turn unknown"
    CHAIN_MISSING = "chain missing"


@dataclass(slots=True)
class BeginQuorum:
    """Count the answers to the beginning of one turn."""

    view: StoreView
    tokens: int
    budget: int | None
    continues: bool
    needs_chain: bool
    answers: dict[InstanceId, TurnBegun] = field(default_factory=dict)

    def add(self, store: InstanceId, answer: TurnBegun) -> None:
        """Take a store's answer; a later one with the chain replaces an earlier."""
        known = self.answers.get(store)
        if known is None or known.chain is None:
            self.answers[store] = answer

    def decide(self) -> Verdict:
        """Tell what the answers so far allow."""
        complete = [answer for answer in self.answers.values() if answer.complete]
        if len(self.answers) < self.view.write_quorum:
            return Verdict.OPEN
        if len(complete) < self.view.read_quorum:
            return Verdict.OPEN
        if self._exceeds_budget():
            return Verdict.BUDGET_SPENT
        if not self.continues:
            return Verdict.ADMITTED
        return self._decide_by_presence()

    def _decide_by_presence(self) -> Verdict:
        found = {answer.presence for answer in self.answers.values()}
        if Presence.STORED in found:
            lacks_chain = self.needs_chain and self.find_chain() is None
            return Verdict.CHAIN_MISSING if lacks_chain else Verdict.ADMITTED
        if Presence.PARTIAL in found:
            return Verdict.OPEN
        # Absent at so many complete stores: no write quorum ever held the turn.
        return Verdict.TURN_UNKNOWN

    def _exceeds_budget(self) -> bool:
        if self.budget is None:
            return False
        return self.count_charges() + self.tokens > self.budget

    def count_charges(self) -> int:
        """Count what the program's other turns have used or may use, in tokens."""
        charges: dict[TurnId, Charge] = {}
        for answer in self.answers.values():
            for charge in answer.charges:
                known = charges.get(charge.turn)
                if known is None or not known.settled:
                    charges[charge.turn] = charge
        return sum(charge.tokens for charge in charges.values())

    def discard_partial(self) -> None:
        """Ask again the stores that may hold more of the chain by now."""
        found = {answer.presence for answer in self.answers.values()}
        if Presence.PARTIAL in found and Presence.STORED not in found:
            self.answers.clear()

    def find_chain(self) -> list[ChainLink] | None:
        """Return the earlier turns, the oldest first, or None until they came."""
        for answer in self.answers.values():
            if answer.chain is not None:
                return answer.chain
        return None

    def list_stores_with_chain(self) -> list[InstanceId]:
        """List the stores that can send the chain."""
        return [
            store
            for store, answer in self.answers.items()
            if answer.presence is Presence.STORED
        ]
