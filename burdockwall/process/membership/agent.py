"""Run the membership protocol of one instance.

The agent sends heartbeats, holds the lease, and installs versions, the member list
and shard views. It also relays for the instances that report through it; tree.py
computes which these are.
"""

import msgspec

from burdockwall.machine import Receive, Send, Tick
from burdockwall.process.membership.collector import Collector
from burdockwall.process.membership.document_requests import (
    DocumentAnswers,
    DocumentRequests,
)
from burdockwall.process.membership.documents import DocumentPatches
from burdockwall.process.membership.lease import Lease
from burdockwall.process.membership.member_list import MemberList
from burdockwall.process.membership.messages import (
    AskChanges,
    AskDocument,
    ChangesOutline,
    CopyDone,
    GiveDocument,
    Grant,
    Heartbeat,
    InstanceDetails,
    MemberChanges,
    MemberEntry,
    MemberSnapshot,
    NotLeader,
    OutlineReceived,
    Ping,
    Pong,
    Probe,
    Release,
    Released,
    SnapshotOutline,
    StateChanges,
    StateSnapshot,
)
from burdockwall.process.membership.missed_updates import MissedUpdates, VersionNamed
from burdockwall.process.membership.path import ReportPath
from burdockwall.process.membership.pending import Outline, PendingOutlines
from burdockwall.process.membership.prober import ReachabilityProber
from burdockwall.process.membership.publisher import Publisher
from burdockwall.process.membership.replica import StateReplica
from burdockwall.process.membership.timing import (
    FIRST_GRANT_TIMEOUT_S,
    FIRST_LEADERLESS_RETRY_S,
    GRANT_TIMEOUT_S,
    HEARTBEAT_INTERVAL_S,
    LARGE_FLEET_MEMBERS,
    LARGE_HEARTBEAT_INTERVAL_S,
    LEADERLESS_RETRY_S,
    RELAY_BATCH_S,
)
from burdockwall.process.membership.tree import FAN_OUT, group_members
from burdockwall.process.membership.view_mask import ViewMask
from burdockwall.types import (
    EndpointId,
    EndpointState,
    InstanceId,
    Role,
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
    AskChanges,
    AskDocument,
    GiveDocument,
    ChangesOutline,
    SnapshotOutline,
    OutlineReceived,
    Heartbeat,
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


# They keep the documents that others ask for.
CONTROL_ROLES = (Role.CONTROL, Role.BOTH)


class Leave(msgspec.Struct, frozen=True):
    """Tells the agent that its instance is leaving and takes no new work."""


class Serve(msgspec.Struct, frozen=True):
    """Tells the agent that its instance takes work."""


class InstallState(msgspec.Struct, frozen=True):
    """Asks the shell to put the replica's version in force."""

    replica: StateReplica


class MembersInstalled(msgspec.Struct, frozen=True):
    """Announces a new member list and the endpoints that are not live."""

    members: tuple[MemberEntry, ...]
    endpoints: dict[EndpointId, EndpointState] = msgspec.field(default_factory=dict)


class ChangesMissed(msgspec.Struct, frozen=True):
    """Announces that received changes follow a version that is not installed."""

    sender: InstanceId
    installed: Version
    since: Version
    version: Version


class Delivery(msgspec.Struct, frozen=True):
    """How the installed version of the control state came here, and when.

    `awaited_s` is how long this instance knew from grants that it lacked a version,
    `fetched_s` how long an outline waited for documents.
    """

    sender: InstanceId = InstanceId("")
    at: float = 0.0
    awaited_s: float = 0.0
    whole: bool = False
    fetched_s: float = 0.0


Event = Tick | Receive | Leave | Serve | CopyConfirmed | VersionNamed
Action = (
    Send
    | InstallState
    | MembersInstalled
    | LeaseRenewed
    | ShardsInstalled
    | ChangesMissed
)


class Agent:
    """Membership state machine of one incarnation of an instance.

    It reports to the leader, directly or through a relay.
    """

    # Builds that don't are sent whole documents.
    reads_outlines = True

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
        # The latest version that a leader has named, and the instance to ask for it.
        self.required_version = Version(0)
        self._named_by: InstanceId | None = None
        self.missed = MissedUpdates()
        self.delivery = Delivery()
        self.replica = StateReplica()
        self.member_list = MemberList()
        self.lease = Lease()
        self.patches = DocumentPatches(creates=details.role in CONTROL_ROLES)
        self.pending = PendingOutlines(self.replica, self.patches)
        self.requests = DocumentRequests(details.instance, self.pending)
        self.answers = DocumentAnswers(self.pending, self.patches)
        self.publisher = Publisher(self.replica, self.member_list, self.patches)
        self.collector = Collector(self.member_list)
        self.path = ReportPath(details.instance, control)
        self.view_mask = ViewMask(details.instance, details.incarnation)
        self.prober = ReachabilityProber()
        self._interval_s = HEARTBEAT_INTERVAL_S
        self._outline_sender = InstanceId("")
        self._sequence = 0
        self._next_heartbeat_at = float("-inf")
        self._first_unanswered_at: float | None = None
        # Shorter until the first grant: after a stop of all instances, the control
        # instances come back at different times, and few know the leader at once.
        self._grant_timeout_s = FIRST_GRANT_TIMEOUT_S
        self._leaderless_retry_s = FIRST_LEADERLESS_RETRY_S
        self._copy_confirmations: dict[CopyDone, None] = {}
        self._shards: dict[ShardId, ShardView] | None = None
        # The current term and the version that its first grant required: once that
        # version is installed, masks of earlier terms expire.
        self._mask_expiry: tuple[Term, Version] | None = None

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event and return the resulting actions."""
        match event:
            case Tick():
                return self._tick(now)
            case Leave():
                self.leaving = True
                return self._send_heartbeat(now)
            case Serve():
                self.leaving = False
                return self._send_heartbeat(now)
            case CopyConfirmed(shard=shard, number=number, instance=instance):
                self._copy_confirmations[CopyDone(shard, number, instance)] = None
                return self._send_copies()
            case VersionNamed(leader=leader, version=version):
                self._record_named(version, leader, now)
                return []
            case Receive(sender=sender, message=message):
                return self._receive(sender, message, now)

    def _receive(self, sender: InstanceId, message: object, now: float) -> list[Action]:
        match message:
            case Heartbeat():
                return self._handle_heartbeat(sender, message, now)
            case Grant():
                return self._handle_grant(message, now)
            case NotLeader(leader=leader):
                return self._handle_not_leader(sender, leader, now)
            case StateChanges():
                return self._install_changes(sender, message, now)
            case StateSnapshot():
                installed = self.replica.install_snapshot(message)
                return self._install_state(sender, installed, now, whole=True)
            case MemberChanges():
                return self._install_member_changes(sender, message, now)
            case MemberSnapshot():
                return self._install_member_list(
                    self.member_list.install_snapshot(message), now
                )
            case ChangesOutline() | SnapshotOutline():
                return self._receive_outline(sender, message, now)
            case GiveDocument():
                self.pending.give(message)
                return self._install_pending(sender, now)
            case AskDocument():
                return list(self.answers.answer(sender, message))
            case OutlineReceived():
                self.publisher.confirm(sender, message, now)
                return []
            case AskChanges():
                return list(self.publisher.resend(sender, message, now))
            case Release():
                return self._handle_release(sender, message)
            case Probe():
                return list(self.prober.start_probe(sender, message, now))
            case Ping(nonce=nonce):
                return [Send(sender, Pong(nonce))]
            case Pong(nonce=nonce):
                return list(self.prober.finish_probe(nonce, sender))
            case _:
                return []

    # Heartbeats and reports towards the leader.

    def _tick(self, now: float) -> list[Action]:
        actions: list[Action] = [
            *self.prober.expire_probes(now),
            *self._ask_overdue_changes(now),
            *self._install_pending(self._outline_sender, now),
            *self.publisher.resend_lost(self.collector.list_recent_children(now), now),
        ]
        unanswered_at = self._first_unanswered_at
        if unanswered_at is not None and now - unanswered_at >= self._grant_timeout_s:
            self.path.use_next_hop(now)
            self._first_unanswered_at = None
            self._grant_timeout_s = min(GRANT_TIMEOUT_S, 2 * self._grant_timeout_s)
            return actions + self._send_heartbeat(now)
        if now >= self._next_heartbeat_at:
            return actions + self._send_heartbeat(now)
        if self.collector.is_due(now):
            return actions + self._send_report(self.path.find_control(), now)
        return actions

    def _send_heartbeat(self, now: float) -> list[Action]:
        self._next_heartbeat_at = now + self._interval_s
        hop = self.path.find_hop(now)
        if hop is None:
            return []
        if self._first_unanswered_at is None:
            self._first_unanswered_at = now
        if hop.is_control:
            return self._send_report(hop.instance, now)
        return [Send(hop.instance, self._build_heartbeat(now)), *self._send_copies()]

    def _build_heartbeat(self, now: float) -> Heartbeat:
        self._sequence += 1
        self.lease.record_sent(self._sequence, now)
        details = self.details
        number = self.member_list.find_number(details.instance, details.incarnation)
        return Heartbeat(
            details.incarnation,
            self._sequence,
            self.replica.version,
            self.member_list.version,
            self.leaving,
            details if number is None else None,
            self.reads_outlines,
        )

    def _send_report(self, target: InstanceId | None, now: float) -> list[Action]:
        if target is None:
            return []
        # With children, their heartbeats normally trigger the next report, so the
        # instance's own timer is only a fallback.
        slack_s = 2 * RELAY_BATCH_S if self.collector.children else 0.0
        self._next_heartbeat_at = max(
            self._next_heartbeat_at, now + self._interval_s + slack_s
        )
        self.collector.add_own(self.details, self._build_heartbeat(now))
        self._sequence += 1
        report = self.collector.build_report(
            self.details.incarnation,
            self._sequence,
            self.replica.version,
            self.reads_outlines,
        )
        return [Send(target, report), *self._send_copies()]

    def _handle_not_leader(
        self, sender: InstanceId, leader: InstanceId | None, now: float
    ) -> list[Action]:
        if leader is None:
            # An election is in progress. Retry soon, so that the new leader is found
            # without waiting for a whole heartbeat interval.
            self._next_heartbeat_at = min(
                self._next_heartbeat_at, now + self._leaderless_retry_s
            )
            if self._leaderless_retry_s < LEADERLESS_RETRY_S:
                # Another control instance may know more than one that has just started.
                self.path.use_next_hop(now)
                self._first_unanswered_at = None
                retry_s = 2 * self._leaderless_retry_s
                self._leaderless_retry_s = min(LEADERLESS_RETRY_S, retry_s)
            return []
        # A NotLeader from the named leader itself is not redundant: it may have
        # refused the last report before it became the leader.
        if leader == self.path.leader and sender != leader:
            return []
        self.path.follow_leader(leader)
        self.collector.requeue_ungranted(now)
        return self._send_heartbeat(now)

    # Grants, versions and member lists for this instance and its children.

    def _handle_heartbeat(
        self, sender: InstanceId, heartbeat: Heartbeat, now: float
    ) -> list[Action]:
        self.collector.add(sender, heartbeat, now)
        return list(
            self.publisher.update(
                sender,
                heartbeat.incarnation,
                heartbeat.version,
                heartbeat.list_version,
                now,
                heartbeat.reads_outlines,
            )
        )

    def _handle_grant(self, grant: Grant, now: float) -> list[Action]:
        stale = grant.term < self.term
        if stale or grant.incarnation != self.details.incarnation:
            return []
        self._grant_timeout_s = GRANT_TIMEOUT_S
        self._leaderless_retry_s = LEADERLESS_RETRY_S
        if grant.term > self.term:
            self.term = grant.term
            self._mask_expiry = (grant.term, grant.version)
        hop = self.path.find_hop(now)
        self._record_named(grant.version, hop.instance if hop else None, now)
        self.path.leader = grant.leader
        forwarded = self.collector.forward_grant(grant, self._interval_s, now)
        if forwarded is not None:
            return [*forwarded, *self._expire_mask()]
        if not self.lease.has_sent(grant.sequence):
            return []
        self._first_unanswered_at = None
        if hop is not None and not hop.is_control and grant.next_heartbeat_ms:
            self._next_heartbeat_at = now + grant.next_heartbeat_ms / 1000
        actions = self._expire_mask()
        installed = self.replica.version
        if self.lease.apply_grant(grant.sequence, grant.version, installed):
            actions.append(LeaseRenewed(self.lease.until))
        return actions

    def _install_changes(
        self, sender: InstanceId, message: StateChanges, now: float
    ) -> list[Action]:
        installed = self.replica.version
        if message.since > installed:
            missed = ChangesMissed(sender, installed, message.since, message.version)
            return [missed, *self._ask_changes(sender, now)]
        return self._install_state(sender, self.replica.install_changes(message), now)

    def _receive_outline(
        self, sender: InstanceId, outline: Outline, now: float
    ) -> list[Action]:
        if not self.pending.add(outline):
            since = outline.since if isinstance(outline, ChangesOutline) else Version(0)
            installed = self.replica.version
            missed = ChangesMissed(sender, installed, since, outline.version)
            return [missed, *self._ask_changes(sender, now)]
        received = OutlineReceived(self.details.incarnation, outline.version)
        self._outline_sender = sender
        return [Send(sender, received), *self._install_pending(sender, now)]

    def _install_pending(self, sender: InstanceId, now: float) -> list[Action]:
        """Install the outlines whose documents are here, and ask for the others'."""
        actions: list[Action] = []
        while (update := self.pending.take_complete()) is not None:
            fetched_s = self.requests.measure_wait(now)
            whole = isinstance(update, StateSnapshot)
            installed = self.replica.install(update)
            actions += self._install_state(sender, installed, now, whole, fetched_s)
        return actions + list(
            self.requests.ask(self.path.control, self.path.leader, now)
        )

    def _record_named(
        self, version: Version, source: InstanceId | None, now: float
    ) -> None:
        """Record a version that was named, and which instance to ask for it."""
        if version > self.pending.version:
            self._named_by = source
        self.required_version = max(self.required_version, version)
        self._record_lag(now)

    def _record_lag(self, now: float) -> None:
        self.missed.record_named(self.pending.version < self.required_version, now)

    def _install_member_changes(
        self, sender: InstanceId, message: MemberChanges, now: float
    ) -> list[Action]:
        installed = self.member_list.install_changes(message)
        if not installed and message.list_version > self.member_list.version:
            return list(self._ask_changes(sender, now))
        return self._install_member_list(installed, now)

    def _ask_changes(self, sender: InstanceId, now: float) -> list[Send]:
        """Ask for what the installed versions lack, unless that was just done."""
        version, list_version = self.replica.version, self.member_list.version
        if not self.missed.should_ask((version, list_version), now):
            return []
        asked = AskChanges(
            self.details.incarnation, version, list_version, self.reads_outlines
        )
        return [Send(sender, asked)]

    def _ask_overdue_changes(self, now: float) -> list[Send]:
        """Ask for a version that was named and has not arrived."""
        if self._named_by is None or not self.missed.is_overdue(now):
            return []
        return self._ask_changes(self._named_by, now)

    def _install_state(
        self,
        sender: InstanceId,
        installed: bool,
        now: float,
        whole: bool = False,
        fetched_s: float = 0.0,
    ) -> list[Action]:
        if not installed:
            return []
        awaited_s = self.missed.measure_wait(now)
        self.delivery = Delivery(sender, now, awaited_s, whole, fetched_s)
        for name, document in self.replica.documents.items():
            self.patches.observe(name, document)
        self._record_lag(now)
        actions: list[Action] = [InstallState(self.replica)]
        actions += self._expire_mask()
        if self.replica.shards is not self._shards:
            actions += self._announce_shards()
        if self.lease.apply_pending_grant(self.replica.version):
            actions.append(LeaseRenewed(self.lease.until))
        return [*actions, *self._push(now), *self.answers.answer_waiting()]

    def _install_member_list(self, installed: bool, now: float) -> list[Action]:
        if not installed:
            return []
        members = self.member_list.list_entries()
        large = len(members) > LARGE_FLEET_MEMBERS
        self._interval_s = LARGE_HEARTBEAT_INTERVAL_S if large else HEARTBEAT_INTERVAL_S
        self.path.set_groups(group_members(members, self.fan_out))
        announced = MembersInstalled(tuple(members), self.member_list.endpoints)
        return [announced, *self._push(now), *self._resend_ungranted(now)]

    def _resend_ungranted(self, now: float) -> list[Action]:
        # The leader grants no report that uses the member numbers of an earlier
        # leader's list. The new list has the right numbers, so send them again.
        if not self.collector.has_ungranted_reports():
            return []
        self.collector.requeue_ungranted(now)
        return self._send_report(self.path.find_control(), now)

    def _push(self, now: float) -> list[Action]:
        self.collector.drop_silent_children(now)
        children = self.collector.list_recent_children(now)
        self.publisher.retain(children)
        return list(self.publisher.push(children, now))

    # Shards.

    def _announce_shards(self) -> list[Action]:
        self._shards = self.replica.shards
        self._copy_confirmations = {
            copy: None
            for copy in self._copy_confirmations
            if self._is_still_joining(copy)
        }
        return [ShardsInstalled(self.view_mask.filter_views(self._shards))]

    def _is_still_joining(self, copy: CopyDone) -> bool:
        view = self.replica.shards.get(copy.shard)
        return view is not None and view.number <= copy.number

    def _send_copies(self) -> list[Action]:
        leader = self.path.leader
        if leader is None:
            return []
        return [Send(leader, copy) for copy in self._copy_confirmations]

    def _handle_release(self, sender: InstanceId, message: Release) -> list[Action]:
        if message.term < self.term:
            return []
        self.view_mask.mask(message.shard, message.number, message.term)
        released = Released(message.term, message.shard, message.number)
        # The shell performs actions in order, so every machine has stopped using the
        # view before the answer is sent.
        return [*self._announce_shards(), Send(sender, released)]

    def _expire_mask(self) -> list[Action]:
        if self._mask_expiry is None or self.replica.version < self._mask_expiry[1]:
            return []
        term = self._mask_expiry[0]
        self._mask_expiry = None
        return self._announce_shards() if self.view_mask.expire(term) else []
