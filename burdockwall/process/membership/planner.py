"""Plan at the leader which instances hold which shards."""

from collections.abc import Iterable

import msgspec

from burdockwall.machine import Send
from burdockwall.process.control.commands import AssignShards
from burdockwall.process.membership.fleet import (
    Fleet,
    Holder,
    create_fleet,
)
from burdockwall.process.membership.messages import (
    CopyDone,
    InstanceDetails,
    MemberListVersion,
    Release,
    Released,
)
from burdockwall.process.membership.page import ShardHealth
from burdockwall.process.membership.records import MemberRecord
from burdockwall.process.membership.views import (
    BACKUPS,
    Draft,
    build_first_views,
    build_view,
    create_draft,
)
from burdockwall.types import (
    EndpointState,
    FencingNumber,
    InstanceId,
    OperatorId,
    ShardId,
    Term,
    Version,
)
from burdockwall.version.shards import SHARD_COUNT, ShardView

PLAN_INTERVAL_S = 0.5
# Interval after a plan that found nothing to do, while neither the control state nor
# the member list changes.
IDLE_INTERVAL_S = 5.0
FIRST_ASSIGNMENT_DELAY_S = 0.3
PROPOSE_RETRY_S = 1.0
# A suspected primary whose lease has expired is replaced after this silence.
REPLACE_SUSPECTED_AFTER_S = 10.0
# Starting a copy sends one new view to every instance, so a large fleet starts fewer
# copies per second.
VIEWS_SENT_PER_S = 512.0
MIN_COPIES_PER_S = 8.0
MAX_COPIES_PER_S = 64.0
MAX_JOINING = 64
SYSTEM_OPERATOR = OperatorId("system")


class Propose(msgspec.Struct, frozen=True):
    """Asks the shell to put a command into the control log."""

    command: AssignShards


class _OutstandingProposal(msgspec.Struct, frozen=True):
    proposal: Propose
    views: tuple[ShardView, ...]
    blocked: frozenset[Holder]
    sent_at: float


class Planner:
    """State machine that proposes new views, with one proposal in flight at a time."""

    def __init__(self, instance: InstanceId, shard_count: int = SHARD_COUNT) -> None:
        self.instance = instance
        self.shard_count = shard_count
        self.term = Term(0)
        self.health = ShardHealth()
        self._counter = 0
        self._last_plan_at = float("-inf")
        self._former_leases_until = 0.0
        self._outstanding: _OutstandingProposal | None = None
        self._lease_expiries: dict[Holder, float] = {}
        self._releasing: set[tuple[ShardId, FencingNumber]] = set()
        self._released: set[tuple[ShardId, FencingNumber]] = set()
        self._confirmed_copies: dict[
            tuple[ShardId, FencingNumber], set[InstanceId]
        ] = {}
        self._copy_allowance = 0.0
        self._first_assignment_at: float | None = None
        self._idle_versions: tuple[Version, MemberListVersion] | None = None
        self._emptied = 0
        self._views: dict[ShardId, ShardView] = {}

    def start_term(self, term: Term, former_leases_until: float) -> None:
        """Reset the state of an earlier term.

        All leases of earlier leaders have expired by `former_leases_until`.
        """
        self.term = term
        self._counter = 0
        self._former_leases_until = former_leases_until
        self._outstanding = None
        self._lease_expiries = {}
        self._releasing = set()
        self._released = set()
        self._confirmed_copies = {}
        self._first_assignment_at = None
        self._idle_versions = None

    def record_lease_expiry(self, details: InstanceDetails, expires_at: float) -> None:
        """Record when the lease of an incarnation removed from the list expires."""
        holder = Holder(details.instance, details.incarnation)
        self._lease_expiries[holder] = expires_at

    def record_released(self, sender: InstanceId, released: Released) -> None:
        """Record that a primary has stopped acting under a view."""
        view = self._views.get(released.shard)
        if view is not None and view.primary == sender:
            self._released.add((released.shard, released.number))

    def record_copied(self, sender: InstanceId, copy: CopyDone) -> None:
        """Record that a joining instance holds a complete copy of a shard."""
        view = self._views.get(copy.shard)
        if view is None or view.primary != sender or view.number != copy.number:
            return
        self._confirmed_copies.setdefault((copy.shard, copy.number), set()).add(
            copy.instance
        )

    def is_blocked(self, details: InstanceDetails) -> bool:
        """Return whether the proposal in flight takes a shard from this primary.

        The lease of such a primary has expired. A renewal now would let it act at the
        same time as its successor.
        """
        holder = Holder(details.instance, details.incarnation)
        return self._outstanding is not None and holder in self._outstanding.blocked

    def plan(
        self,
        records: Iterable[MemberRecord],
        views: dict[ShardId, ShardView],
        versions: tuple[Version, MemberListVersion],
        now: float,
    ) -> list[Send | Propose]:
        """Return the proposal and the release requests that are due.

        `versions` are those of the control state, which has the views, and of the
        member list.
        """
        self._views = views
        if self._outstanding is not None:
            return self._check_outstanding(self._outstanding, now)
        elapsed = now - self._last_plan_at
        idle = self._idle_versions == versions
        if elapsed < (IDLE_INTERVAL_S if idle else PLAN_INTERVAL_S):
            return []
        self._last_plan_at = now
        # Until the leases of earlier leaders have expired, an instance that is not
        # in the list may still act.
        expired = now >= self._former_leases_until
        unlisted_state = EndpointState.FAILED if expired else EndpointState.SUSPECTED
        removed = self._lease_expiries
        fleet = create_fleet(records, views.values(), now, removed, unlisted_state)
        rate = _compute_copy_rate(len(fleet.list_live()))
        self._copy_allowance = min(
            rate, self._copy_allowance + min(1.0, elapsed) * rate
        )
        if not views:
            return self._propose_first_views(fleet, now)
        actions = self._plan_changes(fleet, views, now)
        waiting = self.health.waiting or self.health.joining
        self._idle_versions = None if actions or waiting else versions
        return actions

    def _check_outstanding(
        self, outstanding: _OutstandingProposal, now: float
    ) -> list[Send | Propose]:
        done = all(
            view.shard in self._views and self._views[view.shard].number >= view.number
            for view in outstanding.views
        )
        if done:
            self._outstanding = None
            return []
        if now - outstanding.sent_at < PROPOSE_RETRY_S:
            return []
        # Retrying is safe: a submission id is applied once, however often it is
        # proposed.
        self._outstanding = _OutstandingProposal(
            outstanding.proposal, outstanding.views, outstanding.blocked, now
        )
        return [outstanding.proposal]

    def _propose_first_views(self, fleet: Fleet, now: float) -> list[Send | Propose]:
        if not fleet.list_live():
            return []
        if self._first_assignment_at is None:
            self._first_assignment_at = now + FIRST_ASSIGNMENT_DELAY_S
        if now < self._first_assignment_at:
            return []
        return [
            self._propose(build_first_views(fleet, self.shard_count), frozenset(), now)
        ]

    def _propose(
        self, views: list[ShardView], blocked: frozenset[Holder], now: float
    ) -> Propose:
        self._counter += 1
        command = AssignShards(
            operator=SYSTEM_OPERATOR,
            submission=f"shards-{self.term}-{self.instance}-{self._counter}",
            views=tuple(views),
        )
        proposal = Propose(command)
        self._outstanding = _OutstandingProposal(proposal, command.views, blocked, now)
        return proposal

    def _plan_changes(
        self, fleet: Fleet, views: dict[ShardId, ShardView], now: float
    ) -> list[Send | Propose]:
        self._drop_replaced_views(views)
        changed: list[ShardView] = []
        blocked: set[Holder] = set()
        releases = self._repeat_releases()
        joining = sum(len(view.joining) for view in views.values())
        max_copies = max(0, min(int(self._copy_allowance), MAX_JOINING - joining))
        waiting = 0
        for shard in sorted(views):
            draft = create_draft(
                views[shard], fleet, self._get_confirmed_copies(views[shard])
            )
            if not self._replace_primary(draft, releases, blocked):
                waiting += 1
                continue
            added = draft.repair(max_copies)
            max_copies -= added
            self._copy_allowance -= added
            if draft.is_changed():
                changed.append(build_view(draft))
        if not changed and not joining and not releases and not waiting:
            changed, more = self._balance(fleet, views, max_copies)
            releases += more
        self._update_health(fleet, views, waiting)
        if changed:
            releases.append(self._propose(changed, frozenset(blocked), now))
        return releases

    def _get_confirmed_copies(self, view: ShardView) -> set[InstanceId]:
        return self._confirmed_copies.get((view.shard, view.number), set())

    def _drop_replaced_views(self, views: dict[ShardId, ShardView]) -> None:
        self._releasing = {
            (shard, number)
            for shard, number in self._releasing
            if views[shard].number <= number
        }
        self._released = {
            (shard, number)
            for shard, number in self._released
            if views[shard].number <= number
        }
        self._confirmed_copies = {
            (shard, number): names
            for (shard, number), names in self._confirmed_copies.items()
            if views[shard].number <= number
        }

    # Replacing a primary.

    def _replace_primary(
        self, draft: Draft, releases: list[Send | Propose], blocked: set[Holder]
    ) -> bool:
        """Assign another primary to a shard if it needs one.

        Return False while the shard has to wait: its primary is suspected, the lease
        of a failed primary has not expired, or no instance can take the shard.
        """
        fleet = draft.fleet
        primary = draft.primary
        released = (draft.shard, draft.number) in self._released
        if released:
            draft.hand_over()
            return True
        if self._must_be_replaced(primary, fleet):
            if not self._is_lease_expired(primary, fleet):
                return False
            if not draft.promote():
                if not draft.is_lost() or not draft.restart_empty():
                    return False
                self._emptied += 1
            blocked.add(primary)
            return True
        if fleet.get_state(primary) is EndpointState.SUSPECTED:
            return False
        leaving = fleet.get_state(primary) is EndpointState.LEAVING
        requested = (draft.shard, draft.number) in self._releasing
        if leaving and not requested and draft.find_successor() is not None:
            releases.append(self._build_release(draft))
        return True

    def _build_release(self, draft: Draft) -> Send:
        self._releasing.add((draft.shard, draft.number))
        release = Release(self.term, draft.shard, draft.number)
        return Send(draft.primary.instance, release)

    def _repeat_releases(self) -> list[Send | Propose]:
        # The request or the answer may have been lost.
        return [
            Send(self._views[shard].primary, Release(self.term, shard, number))
            for shard, number in sorted(self._releasing - self._released)
        ]

    def _must_be_replaced(self, holder: Holder, fleet: Fleet) -> bool:
        if fleet.is_gone(holder):
            return True
        record = fleet.records.get(holder)
        if record is None or record.state is not EndpointState.SUSPECTED:
            return False
        return fleet.now - record.last_heartbeat_at >= REPLACE_SUSPECTED_AFTER_S

    def _is_lease_expired(self, holder: Holder, fleet: Fleet) -> bool:
        record = fleet.records.get(holder)
        if record is not None:
            return record.is_lease_expired(fleet.now)
        return fleet.now >= self._lease_expiries.get(holder, self._former_leases_until)

    # Balancing load.

    def _balance(
        self, fleet: Fleet, views: dict[ShardId, ShardView], max_copies: int
    ) -> tuple[list[ShardView], list[Send | Propose]]:
        live = fleet.list_live()
        if len(live) < 2:
            return [], []
        most_loaded = max(
            live, key=lambda item: (fleet.get_load(item).copies, item.instance)
        )
        region = fleet.get_domain(most_loaded)[0]
        nearby = [item for item in live if fleet.get_domain(item)[0] == region]
        least_loaded = min(
            nearby, key=lambda item: (fleet.get_load(item).copies, item.instance)
        )
        if (
            fleet.get_load(most_loaded).copies - fleet.get_load(least_loaded).copies
            >= 2
        ):
            moved = _move_copies(fleet, views, most_loaded, least_loaded, max_copies)
            self._copy_allowance -= len(moved)
            if moved:
                return moved, []
        return [], self._balance_primaries(fleet, views, live)

    def _balance_primaries(
        self, fleet: Fleet, views: dict[ShardId, ShardView], live: list[Holder]
    ) -> list[Send | Propose]:
        most_loaded = max(
            live, key=lambda item: (fleet.get_load(item).primaries, item.instance)
        )
        for shard in sorted(views):
            draft = create_draft(views[shard], fleet, set())
            if draft.primary != most_loaded:
                continue
            successor = draft.find_successor()
            if successor is None:
                continue
            gap = (
                fleet.get_load(most_loaded).primaries
                - fleet.get_load(successor).primaries
            )
            if gap >= 2:
                return [self._build_release(draft)]
        return []

    def _update_health(
        self, fleet: Fleet, views: dict[ShardId, ShardView], waiting: int
    ) -> None:
        wanted = min(BACKUPS, max(0, len(fleet.list_live()) - 1))
        self.health = ShardHealth(
            assigned=len(views),
            whole=sum(1 for view in views.values() if len(view.backups) >= wanted),
            joining=sum(1 for view in views.values() if view.joining),
            waiting=waiting,
            emptied=self._emptied,
            failure_domains=fleet.count_domains(),
        )


def _compute_copy_rate(instances: int) -> float:
    """Return how many copies may be started per second in a fleet of this size."""
    rate = VIEWS_SENT_PER_S / max(1, instances)
    return max(MIN_COPIES_PER_S, min(MAX_COPIES_PER_S, rate))


def _move_copies(
    fleet: Fleet,
    views: dict[ShardId, ShardView],
    most_loaded: Holder,
    least_loaded: Holder,
    max_copies: int,
) -> list[ShardView]:
    gap = fleet.get_load(most_loaded).copies - fleet.get_load(least_loaded).copies
    count = min(max_copies, gap // 2)
    moved: list[ShardView] = []
    for shard in sorted(views):
        if len(moved) >= count:
            break
        draft = create_draft(views[shard], fleet, set())
        if draft.can_move(most_loaded, least_loaded):
            draft.add_joining(least_loaded)
            moved.append(build_view(draft))
    return moved
