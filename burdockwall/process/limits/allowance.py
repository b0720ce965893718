"""Allowances over a window: how much of a rate and burst may be used at once.

Made for programs that send dozens of requests within a second and then pause. A bucket
of the plain burst refuses them although the customer is far below rate x window + burst
in every window. A larger bucket with a cap on each window admits them.
"""

import msgspec
from msgspec.structs import replace

from burdockwall.process.limits.events import Limit, WindowCap
from burdockwall.process.limits.excess import ToleratedExcess, count_instance_requests
from burdockwall.process.limits.fallback import LimitSplit


class WindowAllowance(msgspec.Struct, frozen=True):
    """Enlarges bursts as far as a change of the owner keeps within the excess.

    A new owner does not know what the former one granted, and starts with an empty
    bucket. Both together admit at most the enlarged burst and the rate in a window, so
    the burst may grow by the tolerated excess that no instance admits on its own.
    """

    excess: ToleratedExcess
    split: LimitSplit

    def enlarge(self, limit: Limit, instances: int) -> Limit:
        """Return the limit with an enlarged burst and the cap of a window."""
        cap = int(limit.rate_per_s * self.excess.window_s + limit.burst)
        burst = min(cap, limit.burst + int(self._get_free_excess(limit, instances)))
        if burst <= limit.burst:
            return limit
        return replace(limit, burst=burst, window=WindowCap(self.excess.window_s, cap))

    def _get_free_excess(self, limit: Limit, instances: int) -> float:
        if instances <= 0 or self.split.get_total_share(limit, instances):
            return 0.0
        excess = self.excess.count_units(limit)
        if count_instance_requests(self.excess, limit, instances) >= 1.0:
            return excess / 2
        return excess
