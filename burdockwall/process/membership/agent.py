"""Keep an instance in the fleet: heartbeats, lease, versions, members, shards.

Each instance is a relay for those that choose it; see tree.py for the choice.
"""

from dataclasses import dataclass, field

from burdockwall.machine import Receive, Send, Tick
from burdockwall.process.membership.collector import Collector
from burdockwall.process.membership.lease import Lease
from burdockwall.process.membership.messages import (
    Beat,
    CopyDone,
    Grant,
    InstanceDetails,
    MemberChanges,
    MemberEntry,
    MemberSnapshot,
    NotLeader,
    Ping,
    Pong,
    Probe,
    Release,
    Released,
    StateChanges,
    StateSnapshot,
)
from burdockwall.process.membership.path import Path
from burdockwall.process.membership.publisher import Publisher
from burdockwall.process.membership.replica import StateReplica
from burdockwall.process.membership.roster import Roster
from burdockwall.process.membership.seals import Seals
from burdockwall.process.membership.timing import (
    BEAT_INTERVAL_S,
    HOLD_S,
    LARGE_BEAT_INTERVAL_S,
    LARGE_FLEET,
    LEADERLESS_RETRY_S,
    SILENCE_S,
)
from burdockwall.process.membership.tree import FAN_OUT, group_members
from burdockwall.process.membership.witness import Witness
from burdockwall.types import (
    EndpointId,
    EndpointState,
    InstanceId,
    ShardId,
    Term,
    Version,
)
from burdockwall.version.shards import (
    CopyConfirmed,
    LeaseRenewed,
    ShardsInstalled,
    ShardView,
)

AGENT_MESSAGES = (
    Beat,
    Grant,
    NotLeader,
    StateChanges,
    StateSnapshot,
    MemberChanges,
    MemberSnapshot,
    Probe,
    Ping,
    Pong,
    Release,
)


@dataclass(frozen=True, slots=True)
class Leave:
    """Tell the agent that its instance has begun to leave."""


@dataclass(frozen=True, slots=True)
class Serve:
    """Tell the agent that its instance now takes work."""


@dataclass(frozen=True, slots=True)
class InstallState:
    """Ask the shell to put the replica's version in force."""

    replica: StateReplica


@dataclass(frozen=True, slots=True)
class MembersInstalled:
    """Tell the process about the member list and the endpoints not live."""

    members: tuple[MemberEntry, ...]
    endpoints: dict[EndpointId, EndpointState] = field(default_factory=dict)


Event = Tick | Receive | Leave | Serve | CopyConfirmed
Action = Send | InstallState | MembersInstalled | LeaseRenewed | ShardsInstalled


class Agent:
    """Follow the leader on behalf of one incarnation of an instance."""

    def __init__(
        self,
        details: InstanceDetails,
        control: list[InstanceId],
        fan_out: int = FAN_OUT,
    ) -> None:
        self.details = details
        self.fan_out = fan_out
        self.leaving = False
        self.term = Term(0)
        self.replica = StateReplica()
        self.roster = Roster()
        self.lease = Lease()
        self.publisher = Publisher(self.replica, self.roster)
        self.collector = Collector(self.roster)
        self.path = Path(details.instance, control)
        self.seals = Seals(details.instance, details.incarnation)
        self.witness = Witness()
        self._interval_s = BEAT_INTERVAL_S
        self._sequence = 0
        self._beat_at = float("-inf")
        self._unanswered_at: float | None = None
        self._copies: dict[CopyDone, None] = {}
        self._shards: dict[ShardId, ShardView] | None = None
        self._seals_end: tuple[Term, Version] | None = None

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take an event and return what to send, install or announce."""
        match event:
            case Tick():
                return self._tick(now)
            case Leave():
                self.leaving = True
                return self._beat(now)
            case Serve():
                self.leaving = False
                return self._beat(now)
            case CopyConfirmed(shard=shard, number=number, instance=instance):
                self._copies[CopyDone(shard, number, instance)] = None
                return self._send_copies()
            case Receive(sender=sender, message=message):
                return self._receive(sender, message, now)

    def _receive(self, sender: InstanceId, message: object, now: float) -> list[Action]:
        match message:
            case Beat():
                return self._take_beat(sender, message, now)
            case Grant():
                return self._take_grant(message, now)
            case NotLeader(leader=leader):
                return self._redirect(sender, leader, now)
            case StateChanges():
                return self._install_state(self.replica.install_changes(message), now)
            case StateSnapshot():
                return self._install_state(self.replica.install_snapshot(message), now)
            case MemberChanges():
                return self._install_roster(self.roster.install_changes(message), now)
            case MemberSnapshot():
                return self._install_roster(self.roster.install_snapshot(message), now)
            case Release():
                return self._release(sender, message)
            case Probe():
                return list(self.witness.start(sender, message, now))
            case Ping(nonce=nonce):
                return [Send(sender, Pong(nonce))]
            case Pong(nonce=nonce):
                return list(self.witness.finish(nonce, sender))
            case _:
                return []

    # Heartbeats upwards.

    def _tick(self, now: float) -> list[Action]:
        actions: list[Action] = [*self.witness.expire(now)]
        silent_since = self._unanswered_at
        if silent_since is not None and now - silent_since >= SILENCE_S:
            self.path.change(now)
            self._unanswered_at = None
            return actions + self._beat(now)
        if now >= self._beat_at:
            return actions + self._beat(now)
        if self.collector.is_due(now):
            return actions + self._report(self.path.find_control(), now)
        return actions

    def _beat(self, now: float) -> list[Action]:
        self._beat_at = now + self._interval_s
        hop = self.path.find_hop(now)
        if hop is None:
            return []
        if self._unanswered_at is None:
            self._unanswered_at = now
        if hop.is_control:
            return self._report(hop.instance, now)
        return [Send(hop.instance, self._build_beat(now)), *self._send_copies()]

    def _build_beat(self, now: float) -> Beat:
        self._sequence += 1
        self.lease.record_sent(self._sequence, now)
        details = self.details
        number = self.roster.find_number(details.instance, details.incarnation)
        return Beat(
            details.incarnation,
            self._sequence,
            self.replica.version,
            self.roster.stamp,
            self.leaving,
            details if number is None else None,
        )

    def _report(self, target: InstanceId | None, now: float) -> list[Action]:
        if target is None:
            return []
        # Where there are children, their heartbeats set the pace.
        slack_s = 2 * HOLD_S if self.collector.children else 0.0
        self._beat_at = max(self._beat_at, now + self._interval_s + slack_s)
        self.collector.add_own(self.details, self._build_beat(now))
        self._sequence += 1
        report = self.collector.build_report(
            self.details.incarnation,
            self._sequence,
            self.replica.version,
        )
        return [Send(target, report), *self._send_copies()]

    def _redirect(
        self, sender: InstanceId, leader: InstanceId | None, now: float
    ) -> list[Action]:
        if leader is None:
            # An election is under way: its end should not wait for a whole interval.
            self._beat_at = min(self._beat_at, now + LEADERLESS_RETRY_S)
            return []
        # A leader that names itself may have refused the last report before it led.
        if leader == self.path.leader and sender != leader:
            return []
        self.path.follow(leader)
        self.collector.hold_again(now)
        return self._beat(now)

    # Children, versions and grants downwards.

    def _take_beat(self, sender: InstanceId, beat: Beat, now: float) -> list[Action]:
        self.collector.add(sender, beat, now)
        return list(
            self.publisher.update(
                sender, beat.incarnation, beat.version, beat.stamp, now
            )
        )

    def _take_grant(self, grant: Grant, now: float) -> list[Action]:
        stale = grant.term < self.term
        if stale or grant.incarnation != self.details.incarnation:
            return []
        if grant.term > self.term:
            self.term = grant.term
            self._seals_end = (grant.term, grant.version)
        self.path.leader = grant.leader
        passed = self.collector.pass_grant(grant, self._interval_s, now)
        if passed is not None:
            return [*passed, *self._expire_seals()]
        if not self.lease.knows(grant.sequence):
            return []
        self._unanswered_at = None
        hop = self.path.find_hop(now)
        if hop is not None and not hop.is_control and grant.next_ms:
            self._beat_at = now + grant.next_ms / 1000
        actions = self._expire_seals()
        installed = self.replica.version
        if self.lease.accept(grant.sequence, grant.version, installed):
            actions.append(LeaseRenewed(self.lease.until))
        return actions

    def _install_state(self, installed: bool, now: float) -> list[Action]:
        if not installed:
            return []
        actions: list[Action] = [InstallState(self.replica)]
        actions += self._expire_seals()
        if self.replica.shards is not self._shards:
            actions += self._announce_shards()
        if self.lease.confirm_installed(self.replica.version):
            actions.append(LeaseRenewed(self.lease.until))
        return actions + self._push(now)

    def _install_roster(self, installed: bool, now: float) -> list[Action]:
        if not installed:
            return []
        members = self.roster.list_entries()
        large = len(members) > LARGE_FLEET
        self._interval_s = LARGE_BEAT_INTERVAL_S if large else BEAT_INTERVAL_S
        self.path.set_groups(group_members(members, self.fan_out))
        announced = MembersInstalled(tuple(members), self.roster.endpoints)
        return [announced, *self._push(now), *self._resend(now)]

    def _resend(self, now: float) -> list[Action]:
        # Reports with the numbers of a former leader were not granted.
        if not self.collector.has_ungranted():
            return []
        self.collector.hold_again(now)
        return self._report(self.path.find_control(), now)

    def _push(self, now: float) -> list[Action]:
        children = self.collector.list_recent(now)
        self.publisher.forget(children)
        return list(self.publisher.push(children, now))

    # Shards.

    def _announce_shards(self) -> list[Action]:
        self._shards = self.replica.shards
        self._copies = {copy: None for copy in self._copies if self._is_wanted(copy)}
        return [ShardsInstalled(self.seals.filter_views(self._shards))]

    def _is_wanted(self, copy: CopyDone) -> bool:
        view = self.replica.shards.get(copy.shard)
        return view is not None and view.number <= copy.number

    def _send_copies(self) -> list[Action]:
        leader = self.path.leader
        if leader is None:
            return []
        return [Send(leader, copy) for copy in self._copies]

    def _release(self, sender: InstanceId, message: Release) -> list[Action]:
        if message.term < self.term:
            return []
        self.seals.seal(message.shard, message.number, message.term)
        released = Released(message.term, message.shard, message.number)
        # Every machine has stopped acting under the view before the answer goes.
        return [*self._announce_shards(), Send(sender, released)]

    def _expire_seals(self) -> list[Action]:
        if self._seals_end is None or self.replica.version < self._seals_end[1]:
            return []
        term = self._seals_end[0]
        self._seals_end = None
        return self._announce_shards() if self.seals.expire(term) else []
