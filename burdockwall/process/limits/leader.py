"""The leader of the control state as the owner of every customer's rate.

Entry instances are stopped and started often. If they owned the rates, each stop would
move the ownership of some; with the leader as the owner it moves only when the leader
changes.
"""

from burdockwall.process.host import Host
from burdockwall.process.limits.allowance import WindowAllowance
from burdockwall.process.limits.events import Limit, LimitsInstalled
from burdockwall.process.limits.excess import create_excess
from burdockwall.process.limits.fallback import LimitSplit
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

# A leader grants units for this long after it last confirmed that it leads.
LEADER_LEASE_S = 0.2


def build_leader_shards(leader: InstanceId, term: Term) -> ShardMap:
    """Assign every customer's rate to the leader of a term."""
    number = FencingNumber(term)
    shards = [ShardId(index) for index in range(SHARD_COUNT)]
    return ShardMap({shard: ShardView(shard, number, leader) for shard in shards})


def list_deployment_limits(deployment: Deployment) -> dict[CustomerId, Limit]:
    """List the limits of a configuration; customers without a rate have no limit."""
    return {
        customer.name: Limit(
            customer.rate_per_s * UNITS_PER_REQUEST,
            int(max(customer.burst, 1.0) * UNITS_PER_REQUEST),
        )
        for customer in deployment.customers
        if customer.rate_per_s > 0
    }


class LeaderLimits:
    """Hosts the owner of all rates on a control instance."""

    def __init__(
        self, host: Host, settings: Settings, incarnation: Incarnation
    ) -> None:
        excess = create_excess(settings)
        self.split = LimitSplit(excess)
        self.allowance: WindowAllowance | None = None
        if settings.limits_counted_over_window:
            self.allowance = WindowAllowance(excess, self.split)
        self.host = host
        self.instance = settings.instance_id
        parameters = create_parameters(settings)
        # The grants of the former leader count against its own burst, and this owner
        # starts with an empty bucket. So it waits only until the former leader's lease
        # has expired, and not until its grants have.
        start_wait_s = LEADER_LEASE_S * parameters.expiry_factor
        self.owner = LimitOwner(self.instance, incarnation, parameters, start_wait_s)
        self._term: Term | None = None
        self._hosted = host.add(self.owner, (LimitDemand,))

    def install(self, deployment: Deployment, instances: int, silent: int) -> None:
        """Install the limits less the fallback shares of silent instances."""
        limits = {
            customer: self._build_limit(limit, instances, silent)
            for customer, limit in list_deployment_limits(deployment).items()
        }
        self.host.apply(self._hosted, LimitsInstalled(limits))

    def _build_limit(self, limit: Limit, instances: int, silent: int) -> Limit:
        if self.allowance is not None:
            enlarged = self.allowance.enlarge(limit, instances)
            # No instance admits anything of an enlarged limit by itself.
            if enlarged != limit:
                return enlarged
        return self.split.reduce(limit, instances, silent)

    def follow(self, term: Term | None) -> None:
        """Own the rates while this instance leads a term; None if it does not lead."""
        if term != self._term:
            self._term = term
            shards = ShardMap()
            if term is not None:
                shards = build_leader_shards(self.instance, term)
            self.host.apply(self._hosted, ShardsInstalled(shards))
        if term is not None:
            lease_end = self.host.clock() + LEADER_LEASE_S
            self.host.apply(self._hosted, LeaseRenewed(lease_end))
