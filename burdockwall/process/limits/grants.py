"""The grants and waiting requests of one customer on one instance."""

from collections import deque

import msgspec

from burdockwall.process.limits.events import Reason
from burdockwall.process.limits.kinds import NO_PROGRAM, URGENT_RUN, Kind, ProgramMark
from burdockwall.process.limits.progress import ProgressReports
from burdockwall.types import CallId, CustomerId, Incarnation, InstanceId


class ReceivedGrant(msgspec.Struct):
    """Granted units, which may be spent until `expires_at` of this instance's clock."""

    owner: InstanceId
    epoch: Incarnation
    number: int
    units: int
    expires_at: float
    spent_at: float
    report_spend: bool


class WaitingRequest(msgspec.Struct):
    """A request that waits for units.

    `demand` is the sequence number of the first demand that included the request, or
    0. `waits_for_start` lets it wait longer for an owner that is about to start. A
    request that begins a program has the kind START until its owner has admitted that,
    and then waits until `latest_at`.
    """

    call: CallId
    units: int
    expires_at: float
    demand: int = 0
    waits_for_start: bool = True
    kind: Kind = Kind.ALONE
    program: ProgramMark = NO_PROGRAM
    arrived_at: float = 0.0
    latest_at: float = 0.0


class Estimate(msgspec.Struct):
    """Estimates the demand of the next horizon from the last two horizons."""

    horizon_s: float
    started_at: float
    previous: int = 0
    current: int = 0

    def record(self, units: int, now: float) -> None:
        """Count the units of a request."""
        self._roll(now)
        self.current += units

    def expect(self, now: float) -> int:
        """Return the units expected in the next horizon."""
        self._roll(now)
        return max(self.previous, self.current)

    def _roll(self, now: float) -> None:
        passed = now - self.started_at
        if passed < self.horizon_s:
            return
        self.previous = self.current if passed < 2 * self.horizon_s else 0
        self.current = 0
        self.started_at = now


class CustomerGrants(msgspec.Struct):
    """Spends a customer's grants on its requests by kind and in order of arrival.

    `reported_need` is the need that the owner has recorded, from the latest demand or
    verdict and less the units granted since. `reported_at` is the time of the latest
    demand.
    """

    customer: CustomerId
    estimate: Estimate
    owner: InstanceId | None = None
    grants: list[ReceivedGrant] = msgspec.field(default_factory=list)
    waiting: deque[WaitingRequest] = msgspec.field(default_factory=deque)
    used_at: float = 0.0
    reported_need: int = 0
    reported_at: float = float("-inf")
    wants_prefetch: bool = False
    prefetch_at: float = float("-inf")
    blocked_until: float = float("-inf")
    reason: Reason = Reason.RATE
    reports: ProgressReports = msgspec.field(default_factory=ProgressReports)
    urgent_run: int = 0

    def enqueue(self, request: WaitingRequest) -> None:
        """Let a request wait behind those that are as urgent."""
        index = len(self.waiting)
        while index and self.waiting[index - 1].kind > request.kind:
            index -= 1
        self.waiting.insert(index, request)

    def is_ahead(self, kind: Kind) -> bool:
        """Return whether a request of a kind need not wait behind another one."""
        return all(request.kind > kind for request in self.waiting)

    def find_next(self) -> WaitingRequest | None:
        """Return the request to serve next; no start that the owner has not admitted.

        After a run of requests of programs under way, one without a program is served.
        """
        ready = [item for item in self.waiting if item.kind is not Kind.START]
        if ready and self.urgent_run >= URGENT_RUN and ready[-1].kind is Kind.ALONE:
            return next(item for item in ready if item.kind is Kind.ALONE)
        return ready[0] if ready else None

    def count_in_flight(self) -> int:
        """Count the units that waiting requests of programs under way lack."""
        waiting = [item for item in self.waiting if item.kind is Kind.IN_FLIGHT]
        return max(0, sum(item.units for item in waiting) - self.count_units())

    def list_starts(self) -> list[WaitingRequest]:
        """List the requests that begin a program and aren't admitted yet."""
        return [item for item in self.waiting if item.kind is Kind.START]

    def admit_start(self, request: WaitingRequest) -> None:
        """Let a request that begins a program wait like those of programs under way."""
        self.waiting.remove(request)
        request.kind = Kind.IN_FLIGHT
        request.expires_at = max(request.expires_at, request.latest_at)
        self.enqueue(request)

    def record_admitted(
        self, kind: Kind, program: ProgramMark, waited_s: float, now: float
    ) -> None:
        """Count an admitted request for the report to the owner."""
        self.urgent_run = self.urgent_run + 1 if kind is Kind.IN_FLIGHT else 0
        self.reports.record(program, waited_s, now)

    def count_units(self) -> int:
        """Count the units that can be spent now."""
        return sum(grant.units for grant in self.grants)

    def count_need(self) -> int:
        """Count the units that the waiting requests lack."""
        if not self.waiting:
            return 0
        waiting = sum(request.units for request in self.waiting)
        return max(0, waiting - self.count_units())

    def count_head(self) -> int:
        """Count the units that the first waiting request lacks."""
        return max(1, self.waiting[0].units - self.count_units())

    def expire(self, now: float) -> None:
        """Drop the expired grants."""
        if self.grants and self.grants[0].expires_at <= now:
            self.grants = [item for item in self.grants if item.expires_at > now]

    def add(self, grant: ReceivedGrant) -> None:
        """Add a grant; grants that expire first are spent first."""
        self.grants.append(grant)
        self.grants.sort(key=lambda item: item.expires_at)

    def spend(self, units: int, now: float) -> bool:
        """Spend units if enough are available, and return whether they were spent."""
        if self.count_units() < units:
            return False
        for grant in self.grants:
            part = min(units, grant.units)
            if part:
                grant.spent_at = now
            grant.units -= part
            units -= part
            if units == 0:
                break
        return True

    def remove_grants(
        self, expiring_before: float = float("inf")
    ) -> list[ReceivedGrant]:
        """Remove and return the spent grants, and those that expire before a time.

        By default all grants are removed.
        """
        removed = [
            grant
            for grant in self.grants
            if grant.units == 0 or grant.expires_at < expiring_before
        ]
        if removed:
            self.grants = [grant for grant in self.grants if grant not in removed]
        return removed
