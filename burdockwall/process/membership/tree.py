"""Compute the relay tree: the relay through which each instance reports."""

import math
from collections.abc import Sequence

from burdockwall.process.membership.messages import MemberEntry
from burdockwall.types import EndpointState, InstanceId

FAN_OUT = 20


def compute_fan_out(count: int, fan_out: int) -> int:
    """Return the group size: `fan_out`, or more if two levels need it for `count`."""
    return max(fan_out, math.isqrt(max(0, count - 1)) + 1)


def group_members(
    members: Sequence[MemberEntry], fan_out: int = FAN_OUT
) -> list[list[InstanceId]]:
    """Group the live members; the first of each group is its relay.

    All members of a group are in one region, so that only the relay's report goes to
    another region.
    """
    # Control instances report to the leader directly and are not relays.
    live = [
        item
        for item in members
        if item.state is EndpointState.LIVE and item.details.role.serves_callers
    ]
    if len(live) <= fan_out:
        return [[item.details.instance] for item in live]
    size = compute_fan_out(len(live), fan_out)
    regions: dict[str, list[MemberEntry]] = {}
    for item in live:
        regions.setdefault(item.details.region, []).append(item)
    groups = []
    for region in sorted(regions):
        groups.extend(_split_region(regions[region], size))
    return groups


def _split_region(members: list[MemberEntry], size: int) -> list[list[InstanceId]]:
    order = sorted(
        members, key=lambda item: (item.details.failure_domain, item.details.instance)
    )
    count = math.ceil(len(order) / size)
    groups = []
    for start in range(count):
        group = [item.details.instance for item in order[start::count]]
        # Rotate each group by a different amount, so that the relays are in different
        # failure domains and most of them survive the loss of one domain.
        offset = start * len(group) // count
        groups.append(group[offset:] + group[:offset])
    return groups


def find_candidates(
    groups: Sequence[Sequence[InstanceId]], instance: InstanceId
) -> list[InstanceId]:
    """List the relays to try, in order; empty means to report to the leader."""
    for group in groups:
        if instance not in group:
            continue
        if group[0] == instance:
            return []
        # The member in the middle of the group is the fallback, because it is in
        # another failure domain than the first.
        relays = [group[0], group[len(group) // 2]]
        return [item for item in relays if item != instance]
    return []


def list_relays(groups: Sequence[Sequence[InstanceId]]) -> list[InstanceId]:
    """List the relays of all groups."""
    return [group[0] for group in groups]
