"""The service, in engine seconds, that programs and customers have received."""

import math
from collections import OrderedDict

from burdockwall.process.scheduling.policy import Policy
from burdockwall.types import CustomerId, ProgramId

PROGRAM_RECORDS = 50_000
LEVELS = 12


class AttainedService:
    """The attained service of programs and the virtual time of customers.

    A customer's virtual time is its received service divided by its weight. Programs
    beyond PROGRAM_RECORDS are removed, the least recently charged first.
    """

    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self.virtual_time = 0.0
        self._programs: OrderedDict[ProgramId, float] = OrderedDict()
        self._first_seen_at: dict[ProgramId, float] = {}
        self._customers: dict[CustomerId, float] = {}

    def charge(
        self, program: ProgramId, customer: CustomerId, weight: float, cost_s: float
    ) -> None:
        """Add service to a program and to its customer's virtual time."""
        attained = self._programs.pop(program, 0.0)
        self._programs[program] = max(0.0, attained + cost_s)
        self._first_seen_at.setdefault(program, 0.0)
        virtual_time = self._customers.get(customer, self.virtual_time)
        self._customers[customer] = virtual_time + cost_s / weight
        while len(self._programs) > PROGRAM_RECORDS:
            removed, _ = self._programs.popitem(last=False)
            self._first_seen_at.pop(removed, None)

    def record_program(self, program: ProgramId, now: float) -> float:
        """Record a program and return when it was first seen."""
        if program not in self._programs:
            self._programs[program] = 0.0
            self._first_seen_at[program] = now
        return self._first_seen_at[program]

    def remove_program(self, program: ProgramId) -> None:
        """Remove a program that has ended."""
        self._programs.pop(program, None)
        self._first_seen_at.pop(program, None)

    def get_level(self, program: ProgramId) -> int:
        """Return the logarithm of a program's service as a level from 0 up."""
        attained = self._programs.get(program, 0.0)
        level = int(math.log2(1.0 + attained / self.policy.service_quantum_s))
        return min(level, LEVELS - 1)

    def activate_customer(self, customer: CustomerId) -> float:
        """Raise an idle customer to the current virtual time, and return its own.

        Otherwise a customer would gain credit while it sends nothing.
        """
        former = self._customers.get(customer, 0.0)
        current = max(former, self.virtual_time)
        self._customers[customer] = current
        return current

    def get_virtual_time(self, customer: CustomerId) -> float:
        """Return a customer's virtual time."""
        return self._customers.get(customer, self.virtual_time)

    def advance_virtual_time(self, customer: CustomerId) -> None:
        """Raise the virtual time to that of the customer being served."""
        self.virtual_time = max(self.virtual_time, self.get_virtual_time(customer))
