"""Account for the service that programs and customers have received."""

import math
from collections import OrderedDict

from burdockwall.process.scheduling.policy import Policy
from burdockwall.types import CustomerId, ProgramId

PROGRAM_RECORDS = 50_000
LEVELS = 12


class AttainedService:
    """Hold the attained service of programs and the virtual time of customers."""

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
        started = self._customers.get(customer, self.virtual_time)
        self._customers[customer] = started + cost_s / weight
        while len(self._programs) > PROGRAM_RECORDS:
            forgotten, _ = self._programs.popitem(last=False)
            self._first_seen_at.pop(forgotten, None)

    def record_program(self, program: ProgramId, now: float) -> float:
        """Return when a program was first seen, which is now for a new one."""
        if program not in self._programs:
            self._programs[program] = 0.0
            self._first_seen_at[program] = now
        return self._first_seen_at[program]

    def forget_program(self, program: ProgramId) -> None:
        """Forget a program that is over."""
        self._programs.pop(program, None)
        self._first_seen_at.pop(program, None)

    def get_level(self, program: ProgramId) -> int:
        """Return the service level of a program, 0 for the least attained."""
        attained = self._programs.get(program, 0.0)
        level = int(math.log2(1.0 + attained / self.policy.service_quantum_s))
        return min(level, LEVELS - 1)

    def activate_customer(self, customer: CustomerId) -> float:
        """Bring a customer that was idle up to the present virtual time."""
        started = self._customers.get(customer, 0.0)
        current = max(started, self.virtual_time)
        self._customers[customer] = current
        return current

    def get_virtual_time(self, customer: CustomerId) -> float:
        """Return a customer's virtual time."""
        return self._customers.get(customer, self.virtual_time)

    def advance_virtual_time(self, customer: CustomerId) -> None:
        """Move the virtual time on to that of the customer served."""
        self.virtual_time = max(self.virtual_time, self.get_virtual_time(customer))
