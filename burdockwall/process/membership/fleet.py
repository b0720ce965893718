"""Evaluate the members for the shard planner: their states, domains and load."""

from collections.abc import Iterable

import msgspec

from burdockwall.process.membership.records import MemberRecord
from burdockwall.types import (
    EndpointState,
    Incarnation,
    InstanceId,
    ShardId,
)
from burdockwall.version.shards import ShardView


class Holder(msgspec.Struct, frozen=True):
    """One incarnation of an instance that a view lists."""

    instance: InstanceId
    incarnation: Incarnation


def list_holders(view: ShardView) -> list[Holder]:
    """List the primary, backups and joining instances of a view."""
    incarnations = view.incarnations or (Incarnation(0),) * len(view.holders)
    return [
        Holder(instance, incarnation)
        for instance, incarnation in zip(view.holders, incarnations, strict=True)
    ]


class Load(msgspec.Struct):
    """Number of shards that an instance holds."""

    primaries: int = 0
    copies: int = 0


class Fleet(msgspec.Struct):
    """Snapshot of the members that can hold shards, with their load.

    `removed` are incarnations that this leader removed from the list.
    `unlisted_state` is the state of an incarnation that the list has never named.
    """

    records: dict[Holder, MemberRecord]
    now: float
    removed: frozenset[Holder] = frozenset()
    unlisted_state: EndpointState = EndpointState.SUSPECTED
    loads: dict[InstanceId, Load] = msgspec.field(default_factory=dict)
    live: list[Holder] = msgspec.field(default_factory=list)
    domain_count: int = 0
    granted_incarnations: dict[InstanceId, Incarnation] = msgspec.field(
        default_factory=dict
    )

    def __post_init__(self) -> None:
        # The list of a former leader may name an older incarnation than a view does,
        # so only incarnations that this leader has granted a lease count as current.
        self.granted_incarnations = {
            holder.instance: holder.incarnation
            for holder, record in self.records.items()
            if record.has_grant
        }
        self.live = [holder for holder in self.records if self.is_live(holder)]
        self.domain_count = len({self.get_domain(holder) for holder in self.live})

    def get_state(self, holder: Holder) -> EndpointState | None:
        """Return the state of an incarnation, or None if it is permanently lost.

        An incarnation that is listed as live without a grant of this leader counts as
        suspected: it may have joined under a former leader and not have reported to
        this one yet.
        """
        record = self.records.get(holder)
        if record is not None:
            confirmed = record.has_grant or record.state is not EndpointState.LIVE
            return record.state if confirmed else EndpointState.SUSPECTED
        current = self.granted_incarnations.get(holder.instance, holder.incarnation)
        replaced = current > holder.incarnation
        return None if replaced or holder in self.removed else self.unlisted_state

    def is_live(self, holder: Holder) -> bool:
        """Return whether the incarnation is live."""
        return self.get_state(holder) is EndpointState.LIVE

    def is_serving(self, holder: Holder) -> bool:
        """Return whether the incarnation is live or leaving."""
        state = self.get_state(holder)
        return state in (EndpointState.LIVE, EndpointState.LEAVING)

    def is_gone(self, holder: Holder) -> bool:
        """Return whether the incarnation has failed or is no longer a member."""
        return self.get_state(holder) in (None, EndpointState.FAILED)

    def is_lost(self, holder: Holder) -> bool:
        """Return whether the memory of the incarnation is permanently lost."""
        return self.get_state(holder) is None

    def get_domain(self, holder: Holder) -> tuple[str, str]:
        """Return the region and the failure domain of a member."""
        details = self.records[holder].details
        return details.region, details.failure_domain

    def list_live(self) -> list[Holder]:
        """List the live members."""
        return self.live

    def count_domains(self) -> int:
        """Count the failure domains that have a live member."""
        return self.domain_count

    def get_load(self, holder: Holder) -> Load:
        """Return the load of an instance."""
        return self.loads.setdefault(holder.instance, Load())

    def choose_holder(self, shard: ShardId, holders: list[Holder]) -> Holder | None:
        """Choose an instance for an additional copy of a shard, or None without one.

        Prefer another failure domain, then the same region, then the lowest load.
        """
        names = {holder.instance for holder in holders}
        members = [holder for holder in holders if holder in self.records]
        domains = {self.get_domain(holder) for holder in members}
        regions = {region for region, _ in domains}
        candidates = [item for item in self.list_live() if item.instance not in names]
        if not candidates:
            return None
        return min(
            candidates,
            key=lambda item: (
                self.get_domain(item) in domains,
                bool(regions) and self.get_domain(item)[0] not in regions,
                self.get_load(item).copies,
                _build_tie_breaker(shard, item.instance),
            ),
        )


def _build_tie_breaker(shard: ShardId, instance: InstanceId) -> tuple[int, InstanceId]:
    return (sum(instance.encode()) + shard * 31) % 257, instance


def create_fleet(
    records: Iterable[MemberRecord],
    views: Iterable[ShardView],
    now: float,
    removed: Iterable[Holder] = (),
    unlisted_state: EndpointState = EndpointState.SUSPECTED,
) -> Fleet:
    """Create the fleet from the members that serve callers, and count their load."""
    members = {
        Holder(record.details.instance, record.details.incarnation): record
        for record in records
        if record.details.role.serves_callers
    }
    fleet = Fleet(members, now, frozenset(removed), unlisted_state)
    for view in views:
        holders = list_holders(view)
        fleet.get_load(holders[0]).primaries += 1
        for holder in holders:
            fleet.get_load(holder).copies += 1
    return fleet
