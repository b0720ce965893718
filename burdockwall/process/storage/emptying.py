"""Emptying a store, so that it and one more store can be lost with their disks.

The store is first removed from the view and receives no more records. It is empty once
every store of the view is complete and has copied all of its records. That state is
final.
"""

import msgspec

from burdockwall.machine import Receive, Send
from burdockwall.process.storage.messages import AskCopied, Copied
from burdockwall.process.storage.view import StoreView
from burdockwall.types import DocumentName, InstanceId

EMPTYING = DocumentName("emptying")
# Time after which every entry instance writes to the view without the store.
VIEW_SETTLE_S = 2.0
ASK_INTERVAL_S = 0.4
ANSWER_VALID_S = 1.5


class EmptyingStores(msgspec.Struct, frozen=True):
    """The stores that are being emptied, and those that are empty."""

    number: int = 0
    running: tuple[InstanceId, ...] = ()
    completed: tuple[InstanceId, ...] = ()
    # The group of each store that was in the view when its emptying began.
    groups: dict[InstanceId, int] = msgspec.field(default_factory=dict)

    @property
    def instances(self) -> frozenset[InstanceId]:
        """List all stores that must not receive new records."""
        return frozenset((*self.running, *self.completed))


def encode_emptying(emptying: EmptyingStores) -> bytes:
    """Encode as a document of the control state."""
    return msgspec.json.encode(emptying)


def decode_emptying(data: bytes) -> EmptyingStores:
    """Decode a document of the control state."""
    return msgspec.json.decode(data, type=EmptyingStores)


class ObserveEmptying(msgspec.Struct, frozen=True):
    """The stores being emptied and the view, as the leader observes them."""

    emptying: EmptyingStores
    view: StoreView


class ProposeEmptying(msgspec.Struct, frozen=True):
    """A new state to put in force, in which `instance` is empty."""

    emptying: EmptyingStores
    instance: InstanceId


class EmptyingPlanner:
    """Checks when the other stores have copied a store; used by the leader."""

    def __init__(self) -> None:
        self._removed_at: dict[InstanceId, float] = {}
        self._answers: dict[tuple[InstanceId, InstanceId], float] = {}
        self._asked_at = float("-inf")

    def reset(self) -> None:
        """Discard the observations of an earlier leadership."""
        self._removed_at = {}
        self._answers = {}

    def handle(
        self, event: ObserveEmptying | Receive, now: float
    ) -> list[Send | ProposeEmptying]:
        """Handle an event and return the messages and proposals."""
        match event:
            case Receive(sender=sender, message=Copied(source=source, done=True)):
                self._answers[source, sender] = now
            case ObserveEmptying(emptying=emptying, view=view):
                return self._observe(emptying, view, now)
            case _:
                pass
        return []

    def _observe(
        self, emptying: EmptyingStores, view: StoreView, now: float
    ) -> list[Send | ProposeEmptying]:
        actions: list[Send | ProposeEmptying] = []
        due = now - self._asked_at >= ASK_INTERVAL_S
        for instance in emptying.running:
            if view.find(instance) is not None:
                self._removed_at.pop(instance, None)
                continue
            settled_s = now - self._removed_at.setdefault(instance, now) - VIEW_SETTLE_S
            if settled_s <= 0:
                continue
            group = view.select_group(emptying.groups.get(instance, 0))
            if self._is_copied(instance, group, now):
                actions.append(_complete(emptying, instance))
                break
            if due:
                self._asked_at = now
                ask = AskCopied(instance, settled_s)
                actions += [Send(member, ask) for member in group.instances]
        return actions

    def _is_copied(self, instance: InstanceId, view: StoreView, now: float) -> bool:
        return all(
            now - self._answers.get((instance, member), float("-inf")) < ANSWER_VALID_S
            for member in view.instances
        )


def _complete(emptying: EmptyingStores, instance: InstanceId) -> ProposeEmptying:
    running = tuple(other for other in emptying.running if other != instance)
    updated = EmptyingStores(
        emptying.number + 1,
        running,
        (*emptying.completed, instance),
        emptying.groups,
    )
    return ProposeEmptying(updated, instance)
