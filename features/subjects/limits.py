"""Owners and holders of limits on a virtual network, with a check of every window."""

import math
import random
from collections import Counter
from dataclasses import dataclass
from functools import partial

from burdockwall.fakes.network import FakeNetwork, NetworkConditions
from burdockwall.process.limits.events import (
    Admit,
    Admitted,
    Limit,
    LimitsInstalled,
    Refused,
)
from burdockwall.process.limits.holder import LimitHolder
from burdockwall.process.limits.messages import LimitDemand, LimitGrants, LimitRecall
from burdockwall.process.limits.owner import LimitOwner
from burdockwall.process.limits.units import GRANT_LIMIT_S, LimitParameters
from burdockwall.types import (
    CallId,
    CustomerId,
    FencingNumber,
    Incarnation,
    InstanceId,
)
from burdockwall.version.shards import (
    LeaseRenewed,
    ShardMap,
    ShardsInstalled,
    ShardView,
    find_customer_shard,
)

UNITS_PER_REQUEST = 1000
CHANGE_SPREAD_S = 1.0
LEASE_S = 0.8
RENEW_S = 0.2
CLOCK_MARGIN = 0.01


@dataclass(slots=True)
class PossibleLimit:
    """A limit that some instance may still apply until a time."""

    rate: float
    burst: float
    rate_until: float = math.inf
    burst_until: float = math.inf


class WindowCheck:
    """Checks admissions against every window of true time.

    It is a bucket that starts full, refills at the rate in force and is capped at the
    burst in force. Its level stays at or above zero exactly if no window [t1, t2]
    admits more than the burst at t1 plus the rate over the window.
    """

    def __init__(self, limit: Limit) -> None:
        self.possible = [PossibleLimit(limit.rate_per_s, limit.burst)]
        self.level = float(limit.burst)
        self.refilled_at = 0.0
        self.total = 0
        self.worst = 0.0

    def change(
        self, now: float, limit: Limit, spread_s: float, expiry_s: float
    ) -> None:
        """Change the limit within `spread_s`; a burst counts until its grants end."""
        self.refill(now)
        for item in self.possible:
            item.rate_until = min(item.rate_until, now + spread_s)
            item.burst_until = min(item.burst_until, now + spread_s + expiry_s)
        self.possible.append(PossibleLimit(limit.rate_per_s, limit.burst))

    def refill(self, now: float) -> None:
        ends = {item.rate_until for item in self.possible}
        ends |= {item.burst_until for item in self.possible}
        for end in sorted(end for end in ends if self.refilled_at < end < now):
            self._advance(end)
        self._advance(now)

    def _advance(self, now: float) -> None:
        rate = max(i.rate for i in self.possible if i.rate_until > self.refilled_at)
        self.level += (now - self.refilled_at) * rate
        self.refilled_at = now
        self.possible = [item for item in self.possible if item.burst_until > now]
        self.level = min(self.level, max(item.burst for item in self.possible))

    def admit(self, now: float, units: int) -> None:
        self.refill(now)
        self.level -= units
        self.total += units
        self.worst = min(self.worst, self.level)


class LimitNetwork:
    """Instances that each run an owner and a holder, with an assigner of shards.

    The assigner stands in for the control state. It renews an instance's lease while
    the instance can reach it, and moves a shard after the lease of its primary has
    expired by true time.
    """

    holder_class = LimitHolder
    owner_class = LimitOwner
    parameters_class = LimitParameters

    def __init__(
        self,
        seed: int,
        instances: int,
        customers: dict[CustomerId, Limit],
        conditions: NetworkConditions | None = None,
        clocks: bool = False,
        idle_s: float = 0.2,
        horizon_s: float = 0.25,
        margin: float = CLOCK_MARGIN,
    ) -> None:
        self.margin = margin
        self.parameters = self.parameters_class(
            0.4, 0.2, 0.8, horizon_s, idle_s, 0.1, margin
        )
        self.start_wait_s = self.get_start_wait_s()
        self.random = random.Random(f"limits-{seed}")
        self.network = FakeNetwork(seed, conditions, self.perform)
        self.names = [InstanceId(f"entry-{n + 1}") for n in range(instances)]
        self.limits = dict(customers)
        self.clocks = clocks
        self.checks = {name: WindowCheck(limit) for name, limit in customers.items()}
        self.machines: dict[InstanceId, tuple] = {}
        self.starts: Counter[InstanceId] = Counter()
        self.leases: dict[InstanceId, float] = {}
        self.unreachable: set[InstanceId] = set()
        self.views: dict = {}
        self.last_call = 0
        self.requested: dict[int, tuple[float, CustomerId]] = {}
        self.admitted: Counter[CustomerId] = Counter()
        self.refused: Counter[CustomerId] = Counter()
        self.reasons: Counter = Counter()
        self.waits: list[float] = []
        self.on_refused = lambda call, customer, now: None
        self.on_admitted = lambda call, customer, now: None
        for name in self.names:
            self.start(name)
        self._assign()

    def get_start_wait_s(self) -> float:
        return self.parameters.start_wait_s

    # Start and crash of instances.

    def start(self, name: InstanceId) -> None:
        self.starts[name] += 1
        incarnation = Incarnation(self.starts[name])
        holder = self.holder_class(name, incarnation, self.parameters)
        owner = self.owner_class(name, incarnation, self.parameters, self.start_wait_s)
        self.machines[name] = (holder, owner)
        machines = [(holder, (LimitGrants, LimitRecall)), (owner, (LimitDemand,))]
        node = self.network.start(name, machines)
        if self.clocks:
            node.clock_rate = 1 + self.random.uniform(-0.98, 0.98) * self.margin
            node.clock_offset_s = self.random.uniform(0, 1000)
        self.network.apply(name, owner, LimitsInstalled(dict(self.limits)))
        self.publish(name, ShardsInstalled(ShardMap(dict(self.views))))
        start = self.starts[name]
        self.network.schedule(0.0, lambda: self._renew(name, start))

    def crash(self, name: InstanceId) -> None:
        self.network.crash(name)

    def is_up(self, name: InstanceId) -> bool:
        return self.network.nodes[name].up

    def publish(self, name: InstanceId, event) -> None:
        for machine in self.machines[name]:
            self.network.apply(name, machine, event)

    def _renew(self, name: InstanceId, start: int) -> None:
        if self.starts[name] != start or not self.is_up(name):
            return
        if name not in self.unreachable:
            now = self.network.now
            self.leases[name] = now + LEASE_S
            node = self.network.nodes[name]
            # The lease is measured by the instance's clock, less both clocks' margin.
            length_s = LEASE_S * (1 - self.margin) * (1 - self.margin)
            until = self.network.read_clock(name) + length_s
            assert length_s / node.clock_rate <= LEASE_S
            self.publish(name, LeaseRenewed(until))
            self.publish(name, ShardsInstalled(ShardMap(dict(self.views))))
        self.network.schedule(RENEW_S, lambda: self._renew(name, start))

    def _assign(self) -> None:
        now = self.network.now
        alive = [name for name in self.names if self.leases.get(name, 0.0) > now]
        if not alive and not self.views:
            alive = self.names
        for customer in self.limits:
            shard = find_customer_shard(customer)
            view = self.views.get(shard)
            if view is not None and self.leases.get(view.primary, 1.0) > now:
                continue
            if not alive:
                continue
            number = view.number + 1 if view else 1
            primary = self.random.choice(alive)
            self.views[shard] = ShardView(shard, FencingNumber(number), primary)
        self.network.schedule(RENEW_S / 2, self._assign)

    def change_limit(self, customer: CustomerId, limit: Limit) -> None:
        self.limits[customer] = limit
        expiry_s = GRANT_LIMIT_S * self.parameters.expiry_factor / (1 - self.margin)
        now = self.network.now
        self.checks[customer].change(now, limit, CHANGE_SPREAD_S, expiry_s)
        for name in self.names:
            delay_s = self.random.uniform(0, CHANGE_SPREAD_S)
            self.network.schedule(delay_s, partial(self._install_limits, name))

    def _install_limits(self, name: InstanceId) -> None:
        owner = self.machines[name][1]
        self.network.apply(name, owner, LimitsInstalled(dict(self.limits)))

    # Requests.

    def request(
        self, name: InstanceId, customer: CustomerId, units: int = UNITS_PER_REQUEST
    ) -> int:
        self.last_call += 1
        call = self.last_call
        if not self.is_up(name):
            return 0
        self.requested[call] = (self.network.now, customer)
        admit = Admit(CallId(call), customer, units, self.parameters.wait_s)
        self.network.apply(name, self.machines[name][0], admit)
        return call

    def perform(self, instance, action, now: float) -> None:
        match action:
            case Admitted(call=call, customer=customer, units=units):
                self.checks[customer].admit(now, units)
                self.admitted[customer] += units
                self.waits.append(now - self.requested.pop(call)[0])
                self.on_admitted(call, customer, now)
            case Refused(call=call, customer=customer, reason=reason):
                self.requested.pop(call)
                self.refused[customer] += 1
                self.reasons[reason] += 1
                self.on_refused(call, customer, now)

    @property
    def worst(self) -> float:
        return min(check.worst for check in self.checks.values())
