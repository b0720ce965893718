"""Let programs under way go before new ones where a customer's rate is taken.

It answers the load of a customer whose programs need more than its rate: if all begin,
all wait for every request and most end late; only a whole program is of use.
"""

from dataclasses import dataclass, field

from burdockwall.types import CustomerId

# A request that waits this long for its rate shows that the rate is taken.
TAKEN_WAIT_S = 0.15
# For how long new programs are then refused.
TAKEN_MEMORY_S = 1.0
# One in so many new programs begins all the same, so that none waits for good.
BEGINS_ALL_THE_SAME = 8


@dataclass(slots=True)
class _Taken:
    until: float
    refused: int = 0


@dataclass(slots=True)
class ProgramOpening:
    """Remember whose rate is taken, and choose which new programs may begin."""

    _taken: dict[CustomerId, _Taken] = field(default_factory=dict)

    def note_wait(self, customer: CustomerId, waited_s: float, now: float) -> None:
        """Note how long a request has waited for its customer's rate."""
        if waited_s > TAKEN_WAIT_S:
            self.note_refusal(customer, now)

    def note_refusal(self, customer: CustomerId, now: float) -> None:
        """Note that a program under way was refused a request."""
        taken = self._taken.setdefault(customer, _Taken(now))
        taken.until = now + TAKEN_MEMORY_S

    def may_begin(self, customer: CustomerId, now: float) -> bool:
        """Tell whether a new program of a customer may begin now."""
        taken = self._taken.get(customer)
        if taken is None:
            return True
        if now >= taken.until:
            del self._taken[customer]
            return True
        taken.refused += 1
        return taken.refused % BEGINS_ALL_THE_SAME == 0
