"""Choose to which instances an instance passes news on.

Each has the instances that follow it at distances 1, 2, 4 and so on in the order of
their names, so news reaches all of n instances in log2(n) steps over log2(n)
connections an instance.
"""

from collections.abc import Iterable

from burdockwall.types import InstanceId


def choose_neighbours(
    own: InstanceId, instances: Iterable[InstanceId]
) -> tuple[InstanceId, ...]:
    """Return the instances to which `own` passes news on."""
    ordered = sorted({own, *instances})
    position = ordered.index(own)
    neighbours = []
    distance = 1
    while distance < len(ordered):
        neighbours.append(ordered[(position + distance) % len(ordered)])
        distance *= 2
    return tuple(neighbours)
