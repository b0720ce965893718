"""The planner of store views, which changes one store at a time.

Made for many turns, each of which costs a message to every store of its group: a group
has one store more than it needs, and the others stand by. A standby holds no records
until it replaces a member.
"""

from collections import Counter
from collections.abc import Iterable

import msgspec

from burdockwall.process.membership.messages import MemberEntry
from burdockwall.process.storage.view import StoreMember, StoreView
from burdockwall.types import EndpointState, FailureDomain, InstanceId, Role

# The first view is formed this long after the first store at the earliest, and once no
# store has come for a while: the number of groups depends on it and never changes.
FIRST_VIEW_S = 2.0
FIRST_VIEW_SETTLE_S = 1.0
FIRST_VIEW_LIMIT_S = 6.0
REMOVE_SILENCE_S = 5.0
# A standby replaces a member that is silent for longer than a restart takes, and before
# the member is removed, so that the group has copies to spare again soon.
STANDBY_SILENCE_S = 2.0
CHANGE_INTERVAL_S = 1.0


class ObserveStores(msgspec.Struct, frozen=True):
    """The members and the view in force, as the leader observes them.

    `leaving` are the stores that are being emptied or are empty.
    """

    members: tuple[MemberEntry, ...]
    view: StoreView
    leaving: frozenset[InstanceId] = frozenset()


class ProposeView(msgspec.Struct, frozen=True):
    """A view to put in force, and the reason for it."""

    view: StoreView
    reason: str


class StorePlanner:
    """Plans the views of the stores while this instance leads."""

    def __init__(self, tolerated_losses: int) -> None:
        self.min_stores = 2 * tolerated_losses + 1
        # With a store to spare, a group can have one emptied.
        self.group_size = self.min_stores + 1
        self._observed_since: float | None = None
        self._last_live_at: dict[InstanceId, float] = {}
        self._latest_store_at = float("-inf")
        self._changed_at = float("-inf")

    def reset(self) -> None:
        """Discard the observations of an earlier leadership."""
        self._observed_since = None
        self._last_live_at = {}

    def handle(self, event: ObserveStores, now: float) -> list[ProposeView]:
        """Handle an observation and return the next view, if it should change."""
        live = _list_live(event.members)
        for instance in live:
            if instance not in self._last_live_at:
                self._latest_store_at = now
            self._last_live_at[instance] = now
        if live and self._observed_since is None:
            self._observed_since = now
            self._last_live_at |= dict.fromkeys(event.view.instances, now)
        if self._observed_since is None or now - self._observed_since < FIRST_VIEW_S:
            return []
        if now - self._changed_at < CHANGE_INTERVAL_S:
            return []
        if not event.view.members and self._are_stores_coming(now):
            return []
        proposed = self._plan(event, live, now)
        if proposed is None:
            return []
        self._changed_at = now
        return [proposed]

    def _are_stores_coming(self, now: float) -> bool:
        settled = now - self._latest_store_at >= FIRST_VIEW_SETTLE_S
        first_at = now if self._observed_since is None else self._observed_since
        return not settled and now - first_at < FIRST_VIEW_LIMIT_S

    def _plan(
        self, event: ObserveStores, live: list[InstanceId], now: float
    ) -> ProposeView | None:
        view = event.view
        number = view.number + 1
        wanted = [instance for instance in live if instance not in event.leaving]
        if not view.members:
            first = self._form_groups(event, wanted, number)
            return ProposeView(first, "first stores")
        group = self._find_smallest_group(event, now)
        lacks_store = self._count_present(event, now)[group] < self.group_size
        standby = self._choose_standby(event, wanted, group)
        if lacks_store and standby is not None:
            member = StoreMember(standby, number, group)
            added = StoreView(number, (*view.members, member), view.groups)
            return ProposeView(added, f"added {standby}")
        return self._plan_removal(event, live, now)

    def _find_smallest_group(self, event: ObserveStores, now: float) -> int:
        """Return the group with the fewest present stores."""
        present = self._count_present(event, now)
        return present.index(min(present))

    def _count_present(self, event: ObserveStores, now: float) -> list[int]:
        """Count the stores of each group that are neither silent nor being emptied."""
        present = [0] * event.view.groups
        for member in event.view.members:
            last_live_at = self._last_live_at.get(member.instance, now)
            silent = now - last_live_at >= STANDBY_SILENCE_S
            leaves = member.instance in event.leaving
            present[member.group] += not silent and not leaves
        return present

    def _choose_standby(
        self, event: ObserveStores, wanted: list[InstanceId], group: int
    ) -> InstanceId | None:
        """Return the store to add to a group that lacks one, or None.

        One from a failure domain of which the group has few stores comes first.
        """
        view = event.view
        standbys = [instance for instance in wanted if view.find(instance) is None]
        members = view.select_group(group).instances
        if not standbys:
            return None
        domains = _map_domains(event.members)
        counts = Counter(domains[item] for item in members if item in domains)
        return min(standbys, key=lambda item: (counts[domains[item]], item))

    def _form_groups(
        self, event: ObserveStores, wanted: list[InstanceId], number: int
    ) -> StoreView:
        """Deal the stores out to groups, each over as many failure domains as possible.

        Each group has a store more than it needs, so that one may be emptied.
        """
        groups = max(1, len(wanted) // self.group_size)
        domains = _map_domains(event.members)
        chosen = _choose_spread(wanted, domains, groups * self.group_size)
        ordered = sorted(chosen, key=lambda instance: (domains[instance], instance))
        members = tuple(
            StoreMember(instance, number, index % groups)
            for index, instance in enumerate(ordered)
        )
        return StoreView(number, members, groups)

    def _plan_removal(
        self, event: ObserveStores, live: list[InstanceId], now: float
    ) -> ProposeView | None:
        view = event.view
        for member in view.members:
            instance = member.instance
            silent_s = now - self._last_live_at.get(instance, now)
            others = [other for other in view.members if other != member]
            group = [other for other in others if other.group == member.group]
            present = [other for other in group if other.instance in live]
            reduced = StoreView(view.number + 1, tuple(others), view.groups)
            if silent_s < REMOVE_SILENCE_S and instance not in event.leaving:
                continue
            if len(present) == len(group) >= self.min_stores:
                return ProposeView(reduced, f"removed {instance}")
        return None


def _map_domains(members: Iterable[MemberEntry]) -> dict[InstanceId, FailureDomain]:
    return {entry.details.instance: entry.details.failure_domain for entry in members}


def _choose_spread(
    instances: list[InstanceId], domains: dict[InstanceId, FailureDomain], count: int
) -> list[InstanceId]:
    """Choose up to a number of stores, as evenly over failure domains as possible."""
    taken: Counter[FailureDomain] = Counter()
    ranked = []
    for instance in sorted(instances):
        domain = domains[instance]
        ranked.append((taken[domain], domain, instance))
        taken[domain] += 1
    return [instance for _, _, instance in sorted(ranked)[:count]]


def count_remaining(
    members: Iterable[MemberEntry],
    view: StoreView,
    leaving: frozenset[InstanceId],
    instance: InstanceId,
) -> int:
    """Count the stores that would remain in a store's group without it."""
    member = view.find(instance)
    others = [
        entry.details.instance
        for entry in members
        if entry.details.role is Role.STORAGE
        and entry.state is not EndpointState.FAILED
        and entry.details.instance not in (*leaving, instance)
    ]
    if member is None or view.groups == 1:
        return len(others)
    group = view.select_group(member.group).instances
    return sum(other in group for other in others)


def _list_live(members: Iterable[MemberEntry]) -> list[InstanceId]:
    live = (EndpointState.LIVE, EndpointState.LEAVING)
    return sorted(
        member.details.instance
        for member in members
        if member.details.role is Role.STORAGE and member.state in live
    )
