"""The order in which an owner meets the holders' needs, and what it promises of them.

Answers the load of a customer whose rate is spent: units go to programs under way
first, and their needs are promised for as long as their requests may wait. After a run
of them, a request without a program is served.
"""

from burdockwall.process.limits.bucket import CustomerBucket, Need
from burdockwall.process.limits.kinds import URGENT_RUN
from burdockwall.types import InstanceId

# Share of what comes in that programs under way can't take from other requests.
OTHERS_SHARE = 1 / (URGENT_RUN + 1)


def choose_need(bucket: CustomerBucket) -> tuple[InstanceId, Need, bool]:
    """Return the need to meet next, in turns among those of the same kind.

    The last item is whether it is met for programs under way.
    """
    urgent = next((item for item in bucket.needs.items() if item[1].in_flight), None)
    others = next((item for item in bucket.needs.items() if item[1].others), None)
    if urgent is not None and (others is None or bucket.urgent_run < URGENT_RUN):
        return *urgent, True
    assert others is not None
    return *others, False


def reduce_in_flight(bucket: CustomerBucket, need: Need, available: float) -> int:
    """Return the units for programs under way that can be met from what is available.

    Each holder gets at least an equal share.
    """
    total = bucket.count_in_flight()
    if total <= available:
        return need.in_flight
    others = total - need.in_flight
    holders = sum(item.in_flight > 0 for item in bucket.needs.values())
    met = max(available - others, available / max(1, holders))
    head = max(1, min(need.head, need.in_flight))
    return min(need.in_flight, int(met // head) * head)


def limit_others(bucket: CustomerBucket, available: float) -> float:
    """Return what is left of the available units for requests without a program."""
    in_flight = bucket.count_in_flight()
    return max(available - in_flight, available * OTHERS_SHARE if in_flight else 0.0)
