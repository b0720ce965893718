"""Host the replicas of this instance's shards, and pass them their events."""

from burdockwall.machine import Message, Receive, Tick
from burdockwall.process.programs.messages import (
    Committed,
    CopyChunk,
    CopyChunkConfirmed,
    Prepare,
    Prepared,
    RecordCall,
    StartView,
    ViewReport,
)
from burdockwall.process.programs.program_tree import Limits
from burdockwall.process.programs.replica import Action, ShardReplica
from burdockwall.types import Incarnation, InstanceId, ShardId
from burdockwall.version.shards import (
    LeaseRenewed,
    ShardMap,
    ShardsInstalled,
    ShardView,
)

STORE_MESSAGES: tuple[type[Message], ...] = (
    RecordCall,
    StartView,
    ViewReport,
    Prepare,
    Prepared,
    Committed,
    CopyChunk,
    CopyChunkConfirmed,
)


class RecordStore:
    """The replicas of the shards whose views name this instance."""

    def __init__(
        self, instance: InstanceId, incarnation: Incarnation, limits: Limits
    ) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.limits = limits
        self.replicas: dict[ShardId, ShardReplica] = {}
        self.lease_until = 0.0

    def handle(
        self, event: Tick | Receive | ShardsInstalled | LeaseRenewed, now: float
    ) -> list[Action]:
        """Handle an event and return the actions to perform."""
        match event:
            case Tick():
                for replica in self.replicas.values():
                    replica.tick(now)
            case LeaseRenewed(until=until):
                self.lease_until = max(self.lease_until, until)
                for replica in self.replicas.values():
                    replica.lease_until = self.lease_until
            case ShardsInstalled(shards=shards):
                for view in shards.views.values():
                    self._install(view, now)
                self._suspend_missing(shards)
            case Receive(sender=sender, message=StartView(view=view) as message):
                if self._is_member(view):
                    self._get_replica(view.shard).receive(sender, message, now)
            case Receive(sender=sender, message=message):
                recipient = self.replicas.get(getattr(message, "shard", ShardId(-1)))
                if recipient is not None:
                    recipient.receive(sender, message, now)
        return self._take_actions()

    def _is_member(self, view: ShardView) -> bool:
        return view.includes(self.instance, self.incarnation)

    def _suspend_missing(self, shards: ShardMap) -> None:
        # A released view is removed from the map before its successor is assigned.
        for shard, replica in self.replicas.items():
            if shard not in shards.views:
                replica.suspend()

    def _get_replica(self, shard: ShardId) -> ShardReplica:
        replica = self.replicas.get(shard)
        if replica is None:
            replica = ShardReplica(self.instance, self.incarnation, shard, self.limits)
            replica.lease_until = self.lease_until
            self.replicas[shard] = replica
        return replica

    def _install(self, view: ShardView, now: float) -> None:
        if self._is_member(view):
            self._get_replica(view.shard).install(view, now)
            return
        replica = self.replicas.get(view.shard)
        if replica is not None:
            replica.install(view, now)
            if replica.view is view:
                del self.replicas[view.shard]

    def _take_actions(self) -> list[Action]:
        actions: list[Action] = []
        for replica in self.replicas.values():
            if replica.actions:
                actions += replica.actions
                replica.actions = []
        return actions


def create_store(
    instance: InstanceId, incarnation: Incarnation, limits: Limits | None = None
) -> RecordStore:
    """Create the store of an instance that has no records yet."""
    return RecordStore(instance, incarnation, limits or Limits())
