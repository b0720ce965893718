"""Draft the next view of a shard."""

import msgspec

from burdockwall.process.membership.fleet import Fleet, Holder, list_holders
from burdockwall.types import EndpointState, FencingNumber, InstanceId, ShardId
from burdockwall.version.shards import ShardView

BACKUPS = 2
COPIES = BACKUPS + 1


class Draft(msgspec.Struct):
    """The next view of a shard while it is being built.

    `renumbered` makes the draft count as changed although its holders are the same.
    """

    fleet: Fleet
    current: ShardView
    primary: Holder
    backups: list[Holder]
    joining: list[Holder]
    confirmed_copies: set[InstanceId]
    renumbered: bool = False

    @property
    def shard(self) -> ShardId:
        """Return the shard."""
        return self.current.shard

    @property
    def number(self) -> FencingNumber:
        """Return the fencing number of the current view."""
        return self.current.number

    @property
    def holders(self) -> list[Holder]:
        """List the primary, the backups and the joining instances."""
        return [self.primary, *self.backups, *self.joining]

    def is_changed(self) -> bool:
        """Return whether the draft has to become a new view."""
        if self.renumbered or self.holders != list_holders(self.current):
            return True
        return len(self.backups) != len(self.current.backups)

    # Replacing the primary.

    def find_successor(self) -> Holder | None:
        """Return the live backup with the fewest primaries, or None without one."""
        live = [item for item in self.backups if self.fleet.is_live(item)]
        if not live:
            return None
        return min(
            live,
            key=lambda item: (self.fleet.get_load(item).primaries, item.instance),
        )

    def promote(self) -> bool:
        """Replace a failed primary by a backup; return False if no backup serves.

        The lease of the primary must have expired.
        """
        successor = self.find_successor()
        if successor is None:
            serving = [item for item in self.backups if self.fleet.is_serving(item)]
            successor = serving[0] if serving else None
        if successor is None:
            return False
        self._set_primary(successor)
        return True

    def hand_over(self) -> None:
        """Replace a primary that has released the shard."""
        former = self.primary
        # Without a successor, a view with a new number and the same primary ends the
        # release, since the primary masks only the released number.
        self.renumbered = True
        successor = self.find_successor()
        if successor is None:
            return
        self._set_primary(successor)
        if self.fleet.is_live(former):
            self.joining.append(former)

    def _set_primary(self, successor: Holder) -> None:
        self.fleet.get_load(self.primary).primaries -= 1
        self.fleet.get_load(successor).primaries += 1
        self.backups.remove(successor)
        self.primary = successor

    def is_lost(self) -> bool:
        """Return whether every complete copy is permanently lost."""
        return all(self.fleet.is_lost(item) for item in (self.primary, *self.backups))

    def restart_empty(self) -> bool:
        """Restart the shard empty on a live instance; return False without one."""
        primary = self.fleet.choose_holder(self.shard, [])
        if primary is None:
            return False
        self.primary = primary
        self.backups = []
        self.joining = []
        return True

    # Repairing the copies.

    def repair(self, max_added: int) -> int:
        """Drop copies of failed or removed instances, and start a missing copy.

        Joining instances with a confirmed copy become backups.

        Return how many copies were started, at most `max_added`.
        """
        fleet = self.fleet
        self.backups = [item for item in self.backups if not fleet.is_gone(item)]
        complete = [
            item
            for item in self.joining
            if item.instance in self.confirmed_copies and fleet.is_live(item)
        ]
        self.backups += complete
        self.joining = [
            item
            for item in self.joining
            if item not in complete and not fleet.is_gone(item)
        ]
        self._drop_extra()
        if max_added < 1 or not self._needs_copy():
            return 0
        added = fleet.choose_holder(self.shard, self.holders)
        if added is None or not self._is_useful(added):
            return 0
        self.add_joining(added)
        return 1

    def add_joining(self, holder: Holder) -> None:
        """Add an instance that the primary has to copy the shard to."""
        self.joining.append(holder)
        self.fleet.get_load(holder).copies += 1

    def _list_staying(self) -> list[Holder]:
        leaving = EndpointState.LEAVING
        return [item for item in self.backups if self.fleet.get_state(item) != leaving]

    def _drop_extra(self) -> None:
        while len(self.backups) > BACKUPS and len(self._list_live()) >= BACKUPS:
            self.backups.remove(max(self.backups, key=self._build_removal_key))

    def _list_live(self) -> list[Holder]:
        return [item for item in self.backups if self.fleet.is_live(item)]

    def _build_removal_key(self, holder: Holder) -> tuple[bool, int, int, InstanceId]:
        # The largest key is removed first.
        remaining = [item for item in (self.primary, *self.backups) if item != holder]
        return (
            not self.fleet.is_live(holder),
            self.count_domains(remaining),
            self.fleet.get_load(holder).copies,
            holder.instance,
        )

    def count_domains(self, holders: list[Holder]) -> int:
        """Count the failure domains of the holders that are members."""
        members = [item for item in holders if item in self.fleet.records]
        return len({self.fleet.get_domain(item) for item in members})

    def _needs_copy(self) -> bool:
        staying = self._list_staying()
        if len(staying) + len(self.joining) < BACKUPS:
            return True
        if self.joining:
            return False
        possible = min(COPIES, self.fleet.count_domains())
        return self.count_domains([self.primary, *staying]) < possible

    def _is_useful(self, added: Holder) -> bool:
        if len(self._list_staying()) + len(self.joining) < BACKUPS:
            return True
        holders = self.holders
        return self.count_domains([*holders, added]) > self.count_domains(holders)

    def can_move(self, source: Holder, target: Holder) -> bool:
        """Return whether moving a backup keeps the number of failure domains."""
        if source not in self.backups or target.instance in {
            item.instance for item in self.holders
        }:
            return False
        before = [self.primary, *self.backups]
        after = [item for item in before if item != source] + [target]
        return self.count_domains(after) >= self.count_domains(before)


def create_draft(
    view: ShardView, fleet: Fleet, confirmed_copies: set[InstanceId]
) -> Draft:
    """Create a draft that equals the current view."""
    holders = list_holders(view)
    first_joining = 1 + len(view.backups)
    return Draft(
        fleet,
        view,
        holders[0],
        holders[1:first_joining],
        holders[first_joining:],
        confirmed_copies,
    )


def build_view(draft: Draft) -> ShardView:
    """Build the next view from a draft, with the next fencing number."""
    return _create_view(
        draft.shard,
        FencingNumber(draft.number + 1),
        draft.primary,
        draft.backups,
        draft.joining,
    )


def _create_view(
    shard: ShardId,
    number: FencingNumber,
    primary: Holder,
    backups: list[Holder],
    joining: list[Holder],
) -> ShardView:
    return ShardView(
        shard,
        number,
        primary.instance,
        tuple(item.instance for item in backups),
        tuple(item.instance for item in joining),
        tuple(item.incarnation for item in (primary, *backups, *joining)),
    )


def build_first_views(fleet: Fleet, count: int) -> list[ShardView]:
    """Assign every shard for the first time.

    Backups need no joining phase, since the shards are empty.
    """
    views = []
    live = fleet.list_live()
    for number in range(count):
        shard = ShardId(number)
        primary = min(
            live,
            key=lambda item: (
                fleet.get_load(item).primaries,
                fleet.get_load(item).copies,
                item.instance,
            ),
        )
        fleet.get_load(primary).primaries += 1
        fleet.get_load(primary).copies += 1
        backups: list[Holder] = []
        for _ in range(BACKUPS):
            backup = fleet.choose_holder(shard, [primary, *backups])
            if backup is not None:
                fleet.get_load(backup).copies += 1
                backups.append(backup)
        views.append(_create_view(shard, FencingNumber(1), primary, backups, []))
    return views
