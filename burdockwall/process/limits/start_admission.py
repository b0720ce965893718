"""Decides at the owner of a rate which waiting requests may begin a program.

Answers the load of a customer whose callers begin more programs than its rate carries:
starts are refused at once, each with a time of its own to come again, and the programs
under way keep the rate.
"""

import msgspec

from burdockwall.process.limits.bucket import CustomerBucket
from burdockwall.process.limits.kinds import ProgramMark
from burdockwall.process.limits.messages import (
    LimitProgress,
    LimitWant,
    StartVerdict,
)
from burdockwall.process.limits.program_load import ProgramLoad, Supply
from burdockwall.process.limits.units import MS_PER_S, UNITS_PER_REQUEST
from burdockwall.types import CustomerId, InstanceId

# Most programs that are tracked in all, for each customer at least, and at most.
PROGRAMS_TOTAL = 65_536
PROGRAMS_MIN, PROGRAMS_MAX = 16, 64


class StartDecision(msgspec.Struct):
    """The verdicts on the starts of one demand, and the units of either kind."""

    verdicts: list[StartVerdict] = msgspec.field(default_factory=list)
    admitted_units: int = 0
    refused_units: int = 0


class StartAdmission:
    """The programs under way of all customers of one owner."""

    def __init__(self, wait_s: float) -> None:
        self.wait_s = wait_s
        self.loads: dict[CustomerId, ProgramLoad] = {}

    def record(self, progress: list[LimitProgress], now: float) -> None:
        """Record what holders report of programs."""
        for item in progress:
            waited_s = item.waited_ms / MS_PER_S
            load = self._get_load(item.customer)
            load.record(item.program, item.requests, waited_s, now, item.earlier)

    def retain(self, customers: dict[CustomerId, CustomerBucket]) -> None:
        """Forget the customers that this instance no longer owns."""
        self.loads = {
            customer: load
            for customer, load in self.loads.items()
            if customer in customers
        }

    def decide(
        self, holder: InstanceId, want: LimitWant, bucket: CustomerBucket, now: float
    ) -> StartDecision:
        """Decide about the starts of a holder's want; the bucket is refilled."""
        decision = StartDecision()
        if not want.starts:
            return decision
        load = self._get_load(want.customer)
        former = bucket.needs.get(holder)
        in_flight = bucket.count_in_flight() + want.in_flight
        level = bucket.spendable - in_flight + (former.in_flight if former else 0)
        for start in want.starts:
            supply = Supply(
                (level - decision.admitted_units) / UNITS_PER_REQUEST,
                bucket.limit.rate_per_s / UNITS_PER_REQUEST,
                self.wait_s,
            )
            retry_s = load.admit_start(start.program, supply, now)
            decision.verdicts.append(_build_verdict(want, start.program, retry_s))
            if retry_s is None:
                decision.admitted_units += start.units
            else:
                decision.refused_units += start.units
        return decision

    def count_programs(self) -> float:
        """Estimate the programs under way."""
        return float(sum(load.count_programs() for load in self.loads.values()))

    def count_refused(self) -> float:
        """Count the refused starts of the customers that are owned."""
        return float(sum(load.refused_count for load in self.loads.values()))

    def _get_load(self, customer: CustomerId) -> ProgramLoad:
        load = self.loads.get(customer)
        if load is None:
            share = PROGRAMS_TOTAL // (len(self.loads) + 1)
            capacity = min(PROGRAMS_MAX, max(PROGRAMS_MIN, share))
            load = self.loads[customer] = ProgramLoad(capacity)
        return load


def _build_verdict(
    want: LimitWant, program: ProgramMark, retry_s: float | None
) -> StartVerdict:
    if retry_s is None:
        return StartVerdict(want.customer, program, True)
    retry_ms = max(1, round(retry_s * MS_PER_S))
    return StartVerdict(want.customer, program, False, retry_ms)
