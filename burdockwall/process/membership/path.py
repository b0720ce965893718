"""Choose the next hop for an instance's heartbeats, and another if it is silent."""

import msgspec

from burdockwall.process.membership.timing import HOP_AVOID_S
from burdockwall.process.membership.tree import find_candidates, list_relays
from burdockwall.types import InstanceId

MAX_DETOURS = 3


class Hop(msgspec.Struct, frozen=True):
    """Next instance on the path to the leader."""

    instance: InstanceId
    is_control: bool


class ReportPath:
    """Path to the leader: relays first, then control instances, then other relays."""

    def __init__(self, instance: InstanceId, control: list[InstanceId]) -> None:
        self.instance = instance
        self.control = control
        self.leader: InstanceId | None = None
        self._groups: list[list[InstanceId]] = []
        self._hop_index = 0
        self._changed_at = float("-inf")

    def set_groups(self, groups: list[list[InstanceId]]) -> None:
        """Set the groups of a new member list and return to the preferred hop."""
        if groups != self._groups:
            self._groups = groups
            self._hop_index = 0

    def find_hop(self, now: float) -> Hop | None:
        """Return the hop for the next heartbeat, or None without any."""
        if now - self._changed_at >= HOP_AVOID_S:
            self._hop_index = 0
        hops = self._list_hops()
        return hops[self._hop_index % len(hops)] if hops else None

    def find_control(self) -> InstanceId | None:
        """Return the control instance to send the children's reports to."""
        if self.leader is not None:
            return self.leader
        return (
            self.control[self._hop_index % len(self.control)] if self.control else None
        )

    def follow_leader(self, leader: InstanceId) -> None:
        """Make the leader that a control instance has named the next hop."""
        self.leader = leader
        for index, hop in enumerate(self._list_hops()):
            if hop.is_control and hop.instance == leader:
                self._hop_index = index
                return

    def use_next_hop(self, now: float) -> None:
        """Switch to the next hop, because the current one is silent."""
        self._hop_index += 1
        self._changed_at = now
        self.leader = None

    def _list_hops(self) -> list[Hop]:
        relays = find_candidates(self._groups, self.instance)
        control = self.control
        if self.leader is not None:
            others = [item for item in control if item != self.leader]
            control = [self.leader, *others]
        excluded = {self.instance, *relays}
        detours = [item for item in list_relays(self._groups) if item not in excluded]
        return [
            *(Hop(item, False) for item in relays),
            *(Hop(item, True) for item in control),
            *(Hop(item, False) for item in detours[:MAX_DETOURS]),
        ]
