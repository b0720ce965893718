"""Views of stores in groups, as the leader plans them."""

from collections import Counter

from burdockwall.machine import Send
from burdockwall.process.membership.messages import InstanceDetails, MemberEntry
from burdockwall.process.storage.calls import TurnCalls
from burdockwall.process.storage.messages import EndTurn
from burdockwall.process.storage.store_planner import (
    REMOVE_SILENCE_S,
    ObserveStores,
    StorePlanner,
    count_remaining,
)
from burdockwall.process.storage.view import StoreView
from burdockwall.types import (
    Address,
    EndpointState,
    FailureDomain,
    Incarnation,
    InstanceId,
    MemberNumber,
    Role,
)
from features.subjects.storage import StorageNetwork
from features.subjects.storage_faults import EarlyAnswers, GroupedStorage, IdleStores

PLAN_STEP_S = 0.1


def create_entry(number: int, domain: int, state: EndpointState) -> MemberEntry:
    """Create the member entry of a store."""
    name = InstanceId(f"store-{number:02}")
    details = InstanceDetails(
        instance=name,
        incarnation=Incarnation(1),
        role=Role.STORAGE,
        region="r",
        failure_domain=FailureDomain(f"d{domain}"),
        peer_address=Address(name),
        caller_address=Address(""),
        name=name,
    )
    return MemberEntry(MemberNumber(number), details, state)


class PlannedFleet:
    """A leader's planner of views, and the views that it has put in force."""

    def __init__(
        self, stores: int, domains: int, losses: int, gap_s: float = 0.0
    ) -> None:
        self.planner = StorePlanner(losses)
        self.domains = domains
        self.entries: list[MemberEntry] = []
        self.leaving: frozenset[InstanceId] = frozenset()
        self.views: list[StoreView] = []
        self.now = 0.0
        for number in range(stores):
            entry = create_entry(number, number % domains, EndpointState.LIVE)
            self.entries.append(entry)
            self.run(gap_s)
        self.run(8.0)

    @property
    def view(self) -> StoreView:
        """Return the view in force."""
        return self.views[-1] if self.views else StoreView()

    def run(self, seconds: float) -> None:
        """Let the leader observe the stores for a while."""
        until = self.now + seconds
        while self.now < until:
            observed = ObserveStores(tuple(self.entries), self.view, self.leaving)
            for proposed in self.planner.handle(observed, self.now):
                self.views.append(proposed.view)
            self.now += PLAN_STEP_S

    def replace_store(self, group: int) -> InstanceId:
        """Let a store of a group fail for good, and add a new one; return its name."""
        failed = self.view.select_group(group).instances[0]
        self.entries = [
            entry for entry in self.entries if entry.details.instance != failed
        ]
        added = create_entry(99, 0, EndpointState.LIVE)
        self.entries.append(added)
        self.run(REMOVE_SILENCE_S + 5.0)
        assert self.view.find(failed) is None
        return added.details.instance

    def interrupt_store(self, group: int, seconds: float) -> None:
        """Let a store of a group be away for a while, and run until views settle."""
        name = self.view.select_group(group).instances[0]
        away = [entry for entry in self.entries if entry.details.instance == name]
        self.entries.remove(away[0])
        self.run(seconds)
        self.entries += away
        self.run(5.0)

    def empty_store(self, group: int) -> InstanceId:
        """Let a store of a group be emptied, and return its name."""
        name = self.view.select_group(group).instances[0]
        self.leaving = frozenset({name})
        self.run(5.0)
        return name

    def count_outside(self, view: StoreView, domain: int) -> int:
        """Count the stores of a view that are not in a failure domain."""
        lost = FailureDomain(f"d{domain}")
        return sum(
            entry.details.failure_domain != lost
            for entry in self.entries
            if entry.details.instance in view.instances
        )

    def count_remaining(self, instance: InstanceId) -> int:
        """Count the stores that remain in the group of a store without it."""
        return count_remaining(self.entries, self.view, frozenset(), instance)

    def count_domains(self, group: int) -> int:
        """Count the failure domains of a group."""
        instances = self.view.select_group(group).instances
        return len(
            {
                entry.details.failure_domain
                for entry in self.entries
                if entry.details.instance in instances
            }
        )


class CountedEnds:
    """Counts how often one caller's machine sends the end of a turn to each store."""

    def __init__(self, calls: TurnCalls) -> None:
        self.counts: Counter[InstanceId] = Counter()
        self._handle = calls.handle
        calls.handle = self.handle

    def handle(self, event, now):
        """Handle an event and count the ends that are sent."""
        actions = self._handle(event, now)
        for action in actions:
            if isinstance(action, Send) and isinstance(action.message, EndTurn):
                self.counts[action.to] += 1
        return actions


class NarrowCalls(TurnCalls):
    """Takes the program's own group for the whole ledger."""

    def _search_other_groups(self, call, begin):
        return []

    def _decide(self, call, begin):
        groups, self.view = self.view, self.view.select_group(0)
        try:
            return super()._decide(call, begin)
        finally:
            self.view = groups


class NarrowCallers(GroupedStorage):
    """Callers that never search in other groups."""

    calls_class = NarrowCalls


class FiveStores(StorageNetwork):
    """One group of five stores, of which four are sent the end of a turn at first."""

    def __init__(self, seed: int = 1, stores: int = 5, conditions=None) -> None:
        super().__init__(seed, stores, conditions)


class EarlyGroups(GroupedStorage, EarlyAnswers):
    """Stores in groups that answer before the sync."""


class IdleGroups(GroupedStorage, IdleStores):
    """Stores in groups that copy nothing from each other."""


UNSAFE_GROUPS = {
    "the search in other groups": NarrowCallers,
    "the sync before the answer": EarlyGroups,
    "the copies between stores": IdleGroups,
}
