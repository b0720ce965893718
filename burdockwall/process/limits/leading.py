"""Let the leader of the control state own every customer's rate.

It answers the load of a few entry instances that are stopped and started all the time:
their coming and going then moves no rate.
"""

from dataclasses import dataclass, field

from burdockwall.process.host import Host
from burdockwall.process.limits.events import Limit, LimitsInstalled
from burdockwall.process.limits.messages import LimitDemand
from burdockwall.process.limits.owner import LimitOwner
from burdockwall.process.limits.units import UNITS_PER_REQUEST, create_parameters
from burdockwall.settings import Settings
from burdockwall.types import (
    CustomerId,
    FencingNumber,
    Incarnation,
    InstanceId,
    ShardId,
    Term,
)
from burdockwall.version.deployment import Deployment
from burdockwall.version.shards import (
    SHARD_COUNT,
    LeaseRenewed,
    ShardMap,
    ShardsInstalled,
    ShardView,
)

# Less than a new owner waits for the grants of a former one.
LEAD_LEASE_S = 0.4


def build_leader_shards(leader: InstanceId, term: Term) -> ShardMap:
    """Assign every customer's rate to the leader of a term."""
    number = FencingNumber(term)
    shards = [ShardId(each) for each in range(SHARD_COUNT)]
    return ShardMap({shard: ShardView(shard, number, leader) for shard in shards})


def list_deployment_limits(deployment: Deployment) -> dict[CustomerId, Limit]:
    """List the limits of a configuration; customers without a rate have none."""
    return {
        customer.name: Limit(
            customer.rate_per_s * UNITS_PER_REQUEST,
            int(max(customer.burst, 1.0) * UNITS_PER_REQUEST),
        )
        for customer in deployment.customers
        if customer.rate_per_s > 0
    }


class LeaderLimits:
    """Host the owner of all rates on a control instance."""

    def __init__(
        self, host: Host, settings: Settings, incarnation: Incarnation
    ) -> None:
        self.host = host
        self.instance = settings.instance_id
        parameters = create_parameters(settings)
        self.owner = LimitOwner(
            self.instance, incarnation, parameters, parameters.start_wait_s
        )
        self._led: Term | None = None
        self._hosted = host.add(self.owner, (LimitDemand,))

    def install(self, deployment: Deployment) -> None:
        """Put the limits of a configuration in force."""
        limits = list_deployment_limits(deployment)
        self.host.apply(self._hosted, LimitsInstalled(limits))

    def follow(self, led: Term | None) -> None:
        """Own the rates while this instance leads a term."""
        if led != self._led:
            self._led = led
            shards = ShardMap()
            if led is not None:
                shards = build_leader_shards(self.instance, led)
            self.host.apply(self._hosted, ShardsInstalled(shards))
        if led is not None:
            until = self.host.clock() + LEAD_LEASE_S
            self.host.apply(self._hosted, LeaseRenewed(until))


@dataclass(frozen=True, slots=True)
class ToleratedExcess:
    """Say what the operators bear above rate and burst, over any window of time.

    `share` is of what rate and burst allow in the window, `requests` on top of it.
    """

    window_s: float = 5.0
    share: float = 0.0
    requests: float = 0.0


@dataclass(slots=True)
class _Spent:
    window_start: float
    requests: int = 0


@dataclass(slots=True)
class GraceBudget:
    """Admit a few requests while the owner of the rates does not answer.

    All instances together stay within the tolerated excess: each takes an equal part
    of half of it, so that two windows in a row stay within it too.
    """

    excess: ToleratedExcess
    _spent: dict[CustomerId, _Spent] = field(default_factory=dict)

    def take(
        self, customer: CustomerId, limit: Limit, instances: int, now: float
    ) -> bool:
        """Admit one request, or tell that there is no grace left."""
        spent = self._spent.get(customer)
        if spent is None or now - spent.window_start >= self.excess.window_s:
            spent = _Spent(now)
            self._spent[customer] = spent
        if spent.requests + 1 > self._count_part(limit, instances):
            return False
        spent.requests += 1
        return True

    def _count_part(self, limit: Limit, instances: int) -> float:
        allowed = limit.rate_per_s * self.excess.window_s + limit.burst
        excess = self.excess.share * allowed / UNITS_PER_REQUEST + self.excess.requests
        return excess / 2 / max(1, instances)
