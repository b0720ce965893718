"""Remove one protection at a time, to show that the fleet's checks detect it."""

from collections.abc import Callable, Iterable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest import mock

from burdockwall.process.membership.agent import Agent
from burdockwall.process.membership.lease import Lease
from burdockwall.process.membership.messages import ChangesOutline
from burdockwall.process.membership.pending import PendingOutlines
from burdockwall.process.membership.planner import Planner
from burdockwall.process.membership.records import MemberRecord
from burdockwall.process.membership.replica import StateReplica
from burdockwall.process.membership.rollout import RolloutTracker
from burdockwall.process.membership.view_mask import ViewMask
from burdockwall.process.membership.views import Draft
from burdockwall.types import Version
from features.subjects.fleet import FleetSubject, run_seed


def _count_lease_from_answer() -> Any:
    handle_grant = Agent._handle_grant

    def replace(self: Agent, grant: Any, now: float) -> Any:
        if self.lease.has_sent(grant.sequence):
            self.lease.record_sent(grant.sequence, now)
        return handle_grant(self, grant, now)

    return mock.patch.object(Agent, "_handle_grant", replace)


def _ignore_grant_version() -> Any:
    apply_grant = Lease.apply_grant

    def replace(self: Lease, sequence: int, version: Version, installed: Version):
        return apply_grant(self, sequence, Version(0), installed)

    return mock.patch.object(Lease, "apply_grant", replace)


def _ignore_former_leases() -> Any:
    start_term = Planner.start_term

    def replace(self: Planner, term: Any, former_leases_until: float) -> None:
        start_term(self, term, float("-inf"))

    return mock.patch.object(Planner, "start_term", replace)


def _install_older_versions() -> Any:
    install = StateReplica.install_changes
    add = PendingOutlines.add

    def replace_install(self: StateReplica, message: Any) -> bool:
        if message.version < self.version:
            self.version = message.since
        return install(self, message)

    def replace_add(self: PendingOutlines, outline: Any) -> bool:
        if isinstance(outline, ChangesOutline) and outline.version < self.version:
            self.replica.version = outline.since
            self._outlines.clear()
        return add(self, outline)

    stack = ExitStack()
    stack.enter_context(
        mock.patch.object(StateReplica, "install_changes", replace_install)
    )
    stack.enter_context(mock.patch.object(PendingOutlines, "add", replace_add))
    return stack


def _move_without_release() -> Any:
    build = Planner._build_release

    def replace(self: Planner, draft: Any) -> Any:
        self._released.add((draft.shard, draft.number))
        return build(self, draft)

    return mock.patch.object(Planner, "_build_release", replace)


def _ignore_lagging_members() -> Any:
    examine = RolloutTracker._examine

    def replace(
        self: RolloutTracker, pending_call: Any, records: Any, now: float
    ) -> Any:
        confirmed = [item for item in records if item.version >= pending_call.version]
        return examine(self, pending_call, confirmed, now)

    return mock.patch.object(RolloutTracker, "_examine", replace)


def _return_always(name: str, owner: type, result: Any) -> Callable[[], Any]:
    def patch() -> Any:
        return mock.patch.object(owner, name, lambda *arguments: result)

    return patch


PROTECTIONS: dict[str, Callable[[], Any]] = {
    "lease counted from sending": _count_lease_from_answer,
    "grant bound to a version": _ignore_grant_version,
    "wait for the primary's lease": _return_always(
        "is_lease_expired", MemberRecord, True
    ),
    "no grant during a move": _return_always("is_blocked", Planner, False),
    "wait for leases of former leaders": _ignore_former_leases,
    "views name incarnations": _return_always("_is_usable", ViewMask, True),
    "versions only go forward": _install_older_versions,
    "release before a move": _move_without_release,
    "wait for every lease holder": _ignore_lagging_members,
    "restart empty only without copies": _return_always("is_lost", Draft, True),
}


@contextmanager
def remove_protection(name: str) -> Iterator[None]:
    with PROTECTIONS[name]():
        yield


def find_fault(name: str, seeds: Iterable[int]) -> FleetSubject | None:
    """Return the first run that shows a fault without the protection."""
    with remove_protection(name):
        for seed in seeds:
            subject = run_seed(seed)
            if subject.faults:
                return subject
    return None
