"""The planner of store views, which changes one store at a time."""

from collections.abc import Iterable
from dataclasses import dataclass

from burdockwall.process.membership.messages import MemberEntry
from burdockwall.process.storage.view import StoreMember, StoreView
from burdockwall.types import EndpointState, InstanceId, Role

# The first view is formed this long after the first store at the earliest, and once no
# store has come for a while: the number of groups depends on it and never changes.
FIRST_VIEW_S = 2.0
FIRST_VIEW_SETTLE_S = 1.0
FIRST_VIEW_LIMIT_S = 6.0
REMOVE_SILENCE_S = 5.0
CHANGE_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class ObserveStores:
    """The members and the view in force, as the leader observes them.

    `leaving` are the stores that are being emptied or are empty.
    """

    members: tuple[MemberEntry, ...]
    view: StoreView
    leaving: frozenset[InstanceId] = frozenset()


@dataclass(frozen=True, slots=True)
class ProposeView:
    """A view to put in force, and the reason for it."""

    view: StoreView
    reason: str


class StorePlanner:
    """Plans the views of the stores while this instance leads."""

    def __init__(self, tolerated_losses: int) -> None:
        self.min_stores = 2 * tolerated_losses + 1
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
        for instance in wanted:
            if view.find(instance) is None:
                group = _find_smallest_group(view, live)
                member = StoreMember(instance, number, group)
                added = StoreView(number, (*view.members, member), view.groups)
                return ProposeView(added, f"added {instance}")
        return self._plan_removal(event, live, now)

    def _form_groups(
        self, event: ObserveStores, wanted: list[InstanceId], number: int
    ) -> StoreView:
        """Deal the stores out to groups, each over as many failure domains as possible.

        Each group has a store more than it needs, so that one may be emptied.
        """
        groups = max(1, len(wanted) // (self.min_stores + 1))
        domains = {
            entry.details.instance: entry.details.failure_domain
            for entry in event.members
        }
        ordered = sorted(wanted, key=lambda instance: (domains[instance], instance))
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


def _find_smallest_group(view: StoreView, live: list[InstanceId]) -> int:
    """Return the group with the fewest live stores."""
    sizes = [0] * view.groups
    for member in view.members:
        sizes[member.group] += member.instance in live
    return sizes.index(min(sizes))


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
