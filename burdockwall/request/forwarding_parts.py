"""The components that the forwarding of all requests of a process shares."""

from collections.abc import Awaitable, Callable

import msgspec

from burdockwall.connection.upstream_pools import UpstreamPools
from burdockwall.process.crashes.client import CrashSuspects
from burdockwall.process.endpoint_limits.client import EndpointLimits
from burdockwall.process.endpoint_reach import EndpointReach
from burdockwall.process.endpoints import EndpointFollower
from burdockwall.process.limits.gate import Admission
from burdockwall.process.limits.kinds import RateRequest
from burdockwall.process.scheduling.balance import Balancer
from burdockwall.process.scheduling.endpoint_health import EndpointHealth
from burdockwall.process.scheduling.hedge_delay import HedgeDelay
from burdockwall.process.scheduling.unreadable_loads import UnreadableLoads
from burdockwall.process.storage.calls import TurnOutcome, TurnStart
from burdockwall.process.storage.client import TurnClient
from burdockwall.request.codec import RequestCodec
from burdockwall.request.regions import Regions
from burdockwall.request.stream_binding import ConfirmVersion
from burdockwall.types import CustomerId


class ForwardingParts(msgspec.Struct):
    """The components of a process that all forwarded requests share."""

    codec: RequestCodec
    upstreams: UpstreamPools
    endpoints: EndpointFollower
    balancer: Balancer
    turn_client: TurnClient
    clock: Callable[[], float]
    count_instances: Callable[[], int]
    is_leaving: Callable[[], bool]
    settle_later: Callable[[TurnStart, TurnOutcome], None]
    admit: Callable[[CustomerId, RateRequest], Awaitable[Admission]]
    hedge_delay: HedgeDelay
    endpoint_limits: EndpointLimits
    reach: EndpointReach
    crashes: CrashSuspects
    regions: Regions
    health: EndpointHealth
    unreadable_loads: UnreadableLoads
    confirm_version: ConfirmVersion
    program_wait_s: float = 0.0
