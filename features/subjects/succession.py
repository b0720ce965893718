"""Two leaders that own a rate in succession, with grants spent as late as possible."""

from dataclasses import dataclass, field

from burdockwall.machine import Receive, Tick
from burdockwall.process.limits.events import LimitsInstalled
from burdockwall.process.limits.leader import LEADER_LEASE_S, build_leader_shards
from burdockwall.process.limits.messages import LimitDemand, LimitGrants, LimitWant
from burdockwall.process.limits.owner import LimitOwner
from burdockwall.process.limits.units import (
    MS_PER_S,
    UNITS_PER_REQUEST,
    create_parameters,
)
from burdockwall.settings import Settings
from burdockwall.types import CustomerId, Incarnation, InstanceId, Term
from burdockwall.version.shards import LeaseRenewed, ShardsInstalled
from features.subjects.fallback_shares import create_limit

CUSTOMER = CustomerId("c")
HOLDER = InstanceId("front")
STEP_S = 0.01
END_S = 20.0
WANTED = 500 * UNITS_PER_REQUEST


@dataclass(slots=True)
class Succession:
    """A first leader until `until`, and a second one from then on."""

    rate: int
    burst: int
    until: float
    first_later_grant_at: float = float("inf")
    _sequence: int = 0
    _spent: list[float] = field(default_factory=list)

    def simulate(self, overload_at: float) -> list[float]:
        """Return the times of requests under overload from `overload_at` on."""
        former, later = self._create("core-1", 1), self._create("core-2", 2)
        self._lead(former, "core-1", 1, 0.0)
        for step in range(int(END_S / STEP_S)):
            now = step * STEP_S
            if now < self.until:
                former.handle(LeaseRenewed(now + LEADER_LEASE_S), now)
            elif now - STEP_S < self.until:
                self._lead(later, "core-2", 2, now)
            if now >= self.until:
                later.handle(LeaseRenewed(now + LEADER_LEASE_S), now)
            if now < overload_at:
                continue
            self._demand(former, now)
            if now >= self.until and self._demand(later, now):
                self.first_later_grant_at = min(self.first_later_grant_at, now)
        return self._spent

    def _create(self, name: str, epoch: int) -> LimitOwner:
        parameters = create_parameters(Settings())
        wait_s = LEADER_LEASE_S * parameters.expiry_factor
        owner = LimitOwner(InstanceId(name), Incarnation(epoch), parameters, wait_s)
        limit = create_limit(self.rate, self.burst)
        owner.handle(LimitsInstalled({CUSTOMER: limit}), 0.0)
        return owner

    def _lead(self, owner: LimitOwner, name: str, term: int, now: float) -> None:
        shards = build_leader_shards(InstanceId(name), Term(term))
        owner.handle(ShardsInstalled(shards), now)

    def _demand(self, owner: LimitOwner, now: float) -> bool:
        self._sequence += 1
        want = LimitWant(CUSTOMER, WANTED, UNITS_PER_REQUEST, WANTED)
        demand = LimitDemand(
            Incarnation(1), self._sequence, Incarnation(0), 0, [want], []
        )
        sends = owner.handle(Receive(HOLDER, demand), now)
        sends += owner.handle(Tick(), now)
        granted = False
        for send in sends:
            if isinstance(send.message, LimitGrants):
                for grant in send.message.grants:
                    granted = True
                    at = now + grant.valid_ms / MS_PER_S
                    self._spent += [at] * (grant.units // UNITS_PER_REQUEST)
        return granted
