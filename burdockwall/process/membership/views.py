"""Draft the next view of a shard."""

from dataclasses import dataclass

from burdockwall.process.membership.fleet import Fleet, Holder, list_holders
from burdockwall.types import EndpointState, FencingNumber, InstanceId, ShardId
from burdockwall.version.shards import ShardView

BACKUPS = 2
COPIES = BACKUPS + 1


@dataclass(slots=True)
class Draft:
    """Hold a view while it is changed."""

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
        """Return the number of the view in force."""
        return self.current.number

    @property
    def holders(self) -> list[Holder]:
        """List the primary, the backups and the joining instances."""
        return [self.primary, *self.backups, *self.joining]

    def is_changed(self) -> bool:
        """Tell whether the draft differs from the view in force."""
        if self.renumbered or self.holders != list_holders(self.current):
            return True
        return len(self.backups) != len(self.current.backups)

    # The primary.

    def find_successor(self) -> Holder | None:
        """Return the live backup that should be the next primary, if there is one."""
        live = [item for item in self.backups if self.fleet.is_live(item)]
        if not live:
            return None
        return min(
            live,
            key=lambda item: (self.fleet.get_load(item).primaries, item.instance),
        )

    def promote(self) -> bool:
        """Replace a primary that has stopped and is out by a backup."""
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
        # Where no successor is left, a later view of the same primary ends the
        # release.
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
        """Tell whether no copy can come back."""
        return all(self.fleet.is_lost(item) for item in (self.primary, *self.backups))

    def restart_empty(self) -> bool:
        """Begin anew on a live instance and tell whether there is one."""
        chosen = self.fleet.choose_copy(self.shard, [])
        if chosen is None:
            return False
        self.primary = chosen
        self.backups = []
        self.joining = []
        return True

    # The copies.

    def repair(self, room: int) -> int:
        """Mend the copies; return how many were added, at most `room`."""
        fleet = self.fleet
        self.backups = [item for item in self.backups if not fleet.is_gone(item)]
        whole = [
            item
            for item in self.joining
            if item.instance in self.confirmed_copies and fleet.is_live(item)
        ]
        self.backups += whole
        self.joining = [
            item
            for item in self.joining
            if item not in whole and not fleet.is_gone(item)
        ]
        self._drop_extra()
        if room < 1 or not self._needs_copy():
            return 0
        added = fleet.choose_copy(self.shard, self.holders)
        if added is None or not self._is_useful(added):
            return 0
        self.add_joining(added)
        return 1

    def add_joining(self, holder: Holder) -> None:
        """Add an instance that has to be copied to."""
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
        left = [item for item in (self.primary, *self.backups) if item != holder]
        return (
            not self.fleet.is_live(holder),
            self.count_domains(left),
            self.fleet.get_load(holder).copies,
            holder.instance,
        )

    def count_domains(self, holders: list[Holder]) -> int:
        """Count the failure domains of those that are members."""
        known = [item for item in holders if item in self.fleet.records]
        return len({self.fleet.get_domain(item) for item in known})

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
        held = self.holders
        return self.count_domains([*held, added]) > self.count_domains(held)

    def can_move(self, source: Holder, target: Holder) -> bool:
        """Tell whether a copy may move without losing a failure domain."""
        if source not in self.backups or target.instance in {
            item.instance for item in self.holders
        }:
            return False
        held = [self.primary, *self.backups]
        moved = [item for item in held if item != source] + [target]
        return self.count_domains(moved) >= self.count_domains(held)


def create_draft(
    view: ShardView, fleet: Fleet, confirmed_copies: set[InstanceId]
) -> Draft:
    """Create a draft that equals the view in force."""
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
    """Build the view with the next number."""
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
    """Assign every shard for the first time; empty shards need no copying."""
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
            backup = fleet.choose_copy(shard, [primary, *backups])
            if backup is not None:
                fleet.get_load(backup).copies += 1
                backups.append(backup)
        views.append(_create_view(shard, FencingNumber(1), primary, backups, []))
    return views
