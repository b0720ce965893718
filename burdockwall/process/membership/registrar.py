"""Maintain the member list and grant leases at the leader of the control state."""

import msgspec

from burdockwall.machine import Receive, Send, Tick
from burdockwall.process.membership.detection import Detector
from burdockwall.process.membership.documents import DocumentPatches
from burdockwall.process.membership.lag import LagsChanged, LagTracker
from burdockwall.process.membership.member_list import MemberList
from burdockwall.process.membership.messages import (
    AskChanges,
    CopyDone,
    Grant,
    InstanceDetails,
    Join,
    MemberChanges,
    MemberEntry,
    MemberListVersion,
    MemberSnapshot,
    NotLeader,
    OutlineReceived,
    ProbeResult,
    Released,
    Report,
)
from burdockwall.process.membership.planner import Planner, Propose
from burdockwall.process.membership.platform import PlatformList
from burdockwall.process.membership.publisher import Publisher
from burdockwall.process.membership.records import MemberRecord
from burdockwall.process.membership.rollout import InForce, RolloutTracker
from burdockwall.process.membership.source import ControlSource
from burdockwall.process.membership.timing import (
    CHILD_EXPIRY_S,
    FIRST_TERM,
    LEASE_EXPIRY_S,
)
from burdockwall.types import (
    CallId,
    EndpointId,
    EndpointState,
    InstanceId,
    MemberNumber,
    Term,
    Version,
)
from burdockwall.version.shards import SHARD_COUNT

REGISTRAR_MESSAGES = (
    Report,
    AskChanges,
    OutlineReceived,
    ProbeResult,
    Released,
    CopyDone,
)
# What an outline may carry of one document over the link of a control instance.
LEADER_PATCH_BYTES = 65_536


class AwaitInForce(msgspec.Struct, frozen=True):
    """Request an InForce action once a version is in force everywhere."""

    call: CallId
    version: Version


class AddPeer(msgspec.Struct, frozen=True):
    """Asks the shell to store the peer address of an instance."""

    details: InstanceDetails


Event = Tick | Receive | AwaitInForce | PlatformList
Action = Send | AddPeer | InForce | Propose | LagsChanged


class Registrar:
    """State machine that answers reports while this instance is the leader.

    On other control instances it refuses reports and names the leader.
    """

    def __init__(
        self,
        instance: InstanceId,
        source: ControlSource,
        agent_member_list: MemberList,
        shard_count: int = SHARD_COUNT,
        plans_shards: bool = True,
        patches: DocumentPatches | None = None,
    ) -> None:
        self.instance = instance
        self.source = source
        self.agent_member_list = agent_member_list
        self.term = Term(0)
        self.term_started_at = 0.0
        self.member_list = MemberList()
        self.records: dict[MemberNumber, MemberRecord] = {}
        self.patches = patches or DocumentPatches()
        self.publisher = self._create_publisher()
        self.detector = Detector()
        self.plans_shards = plans_shards
        self.planner = Planner(instance, shard_count)
        self.rollouts = RolloutTracker()
        self.lagging = LagTracker()
        self.platform: PlatformList | None = None
        self._reporters: dict[InstanceId, float] = {}
        self._awaiting_leader: dict[InstanceId, float] = {}
        self._next_number = MemberNumber(1)
        self._pushed_version = Version(0)
        self._list_changed = False
        self._leadership_announced = True
        self._removed_records: list[MemberRecord] = []

    def _create_publisher(self) -> Publisher:
        return Publisher(
            self.source, self.member_list, self.patches, LEADER_PATCH_BYTES
        )

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event and return the resulting actions."""
        if not self._check_leadership(now):
            return self._handle_as_follower(event, now)
        match event:
            case Tick():
                return self._tick(now)
            case Receive(sender=sender, message=Report() as report):
                return self._handle_report(sender, report, now)
            case Receive(sender=sender, message=AskChanges() as asked):
                return list(self.publisher.resend(sender, asked, now))
            case Receive(sender=sender, message=OutlineReceived() as received):
                self.publisher.confirm(sender, received, now)
            case Receive(sender=sender, message=ProbeResult() as result):
                self._handle_probe_result(sender, result, now)
            case Receive(sender=sender, message=Released() as released):
                if released.term == self.term:
                    self.planner.record_released(sender, released)
            case Receive(sender=sender, message=CopyDone() as copy):
                self.planner.record_copied(sender, copy)
            case AwaitInForce(call=call, version=version):
                self.rollouts.add(call, version, now)
                return list(self.rollouts.check(self._list_lease_holders(now), now))
            case PlatformList():
                self.platform = event
        return []

    def is_leading(self, now: float) -> bool:
        """Return whether this instance may grant leases."""
        return self.source.is_leader_confirmed(now) and self.source.term == self.term

    def _handle_as_follower(self, event: Event, now: float) -> list[Action]:
        leader = self.source.leader
        hint = leader if leader != self.instance else None
        match event:
            case Receive(sender=sender, message=Report()):
                if hint is None:
                    self._awaiting_leader[sender] = now
                return [Send(sender, NotLeader(hint))]
            case Tick() if hint is not None:
                return list(self._send_leader_hints(hint, now))
            case _:
                return []

    def _send_leader_hints(self, leader: InstanceId, now: float) -> list[Send]:
        """Name the leader to instances whose last report was refused without one."""
        waiting = self._awaiting_leader
        self._awaiting_leader = {}
        return [
            Send(sender, NotLeader(leader))
            for sender, refused_at in waiting.items()
            if now - refused_at <= CHILD_EXPIRY_S and sender != leader
        ]

    # Start of a term as the leader.

    def _check_leadership(self, now: float) -> bool:
        if not self.source.is_leader_confirmed(now):
            return False
        if self.source.term != self.term:
            self._start_term(now)
        return True

    def _start_term(self, now: float) -> None:
        self.term = self.source.term
        self.term_started_at = now
        # By this time all leases of earlier leaders have expired, including leases
        # of members that are missing from this leader's list.
        former_leases_s = LEASE_EXPIRY_S if self.term > FIRST_TERM else 0.0
        self.member_list = MemberList()
        base = self.agent_member_list
        version = MemberListVersion(self.term, 1)
        self.member_list.install_snapshot(
            MemberSnapshot(version, base.list_entries(), dict(base.endpoints))
        )
        if base.version > MemberListVersion():
            self.member_list.record_equal_version(base.version)
        self._next_number = MemberNumber(max(self.member_list.members, default=0) + 1)
        self.records = {
            number: MemberRecord(entry, now, now + former_leases_s)
            for number, entry in self.member_list.members.items()
        }
        self.publisher = self._create_publisher()
        self.planner.start_term(self.term, now + former_leases_s)
        self.rollouts.start_term(now + former_leases_s)
        self.lagging.reset(self.source.version, now)
        self._reporters = {}
        self._removed_records = []
        self._pushed_version = self.source.version
        self._leadership_announced = False

    # Reports.

    def _handle_report(
        self, sender: InstanceId, report: Report, now: float
    ) -> list[Action]:
        actions: list[Action] = []
        changed: list[MemberEntry] = []
        removed: list[MemberNumber] = []
        for join in report.joins:
            actions.append(AddPeer(join.details))
            self._add_member(join, changed, removed, now)
        actions += self._change_member_list(changed, removed, {})
        self._reporters[sender] = now
        actions += self.publisher.update(
            sender,
            report.incarnation,
            report.version,
            report.list_version,
            now,
            report.reads_outlines,
        )
        if (
            report.list_version.term != self.term
            and report.list_version != MemberListVersion()
        ):
            # The member numbers come from another leader's list. Without a grant the
            # relay reports again once it has this leader's list, which is being sent.
            return actions
        refused = self._record_heartbeats(report, now)
        grant = Grant(
            self.term,
            self.instance,
            report.incarnation,
            report.sequence,
            self.source.version,
            refused,
        )
        return [*actions, Send(sender, grant)]

    def _record_heartbeats(self, report: Report, now: float) -> list[MemberNumber]:
        versions = dict.fromkeys(report.current, report.version)
        versions.update(report.behind)
        leaving = set(report.leaving)
        refused = []
        for number, version in versions.items():
            record = self.records.get(number)
            if record is None or self.planner.is_blocked(record.details):
                refused.append(number)
                continue
            record.record_heartbeat(version, number in leaving, now)
            record.record_grant(now)
        return refused

    def _add_member(
        self,
        join: Join,
        added: list[MemberEntry],
        removed: list[MemberNumber],
        now: float,
    ) -> None:
        for number, record in self.records.items():
            if record.details == join.details:
                return
            if record.details.instance == join.details.instance:
                outdated = record.details.incarnation > join.details.incarnation
                if outdated and not record.is_lease_expired(now):
                    return
                removed.append(number)
        for number in removed:
            self._remove_member(number)
        state = EndpointState.LEAVING if join.leaving else EndpointState.LIVE
        entry = MemberEntry(self._next_number, join.details, state)
        self._next_number = MemberNumber(self._next_number + 1)
        record = MemberRecord(entry, now, now, join.version, join.leaving)
        self.records[entry.number] = record
        added.append(entry)

    def _remove_member(self, number: MemberNumber) -> None:
        record = self.records.pop(number, None)
        if record is not None:
            self.planner.record_lease_expiry(record.details, record.lease_expires_at)
            self._removed_records.append(record)

    def _list_lease_holders(self, now: float) -> list[MemberRecord]:
        # A member that was removed from the list may act until its lease expires.
        self._removed_records = [
            record
            for record in self._removed_records
            if not record.is_lease_expired(now)
        ]
        return [*self.records.values(), *self._removed_records]

    def _handle_probe_result(
        self, sender: InstanceId, result: ProbeResult, now: float
    ) -> None:
        for record in self.records.values():
            if record.details.instance == result.subject:
                record.probe_results[sender] = (now, result.reachability)

    # Periodic work.

    def _tick(self, now: float) -> list[Action]:
        actions: list[Action] = [*self._announce_leadership(now)]
        result = self.detector.find_changes(self.records, self.platform, now)
        actions += result.probes
        for number in result.removed:
            self._remove_member(number)
        for entry in result.changed:
            self.records[entry.number].entry = entry
        endpoints = self._find_endpoint_changes()
        actions += self._change_member_list(result.changed, result.removed, endpoints)
        if self.plans_shards:
            views = self.source.get_shards()
            versions = (self.source.version, self.member_list.version)
            actions += self.planner.plan(self.records.values(), views, versions, now)
        actions += self.rollouts.check(self._list_lease_holders(now), now)
        actions += self.lagging.check(self.records.values(), self.source.version, now)
        if self._list_changed or self.source.version != self._pushed_version:
            self._list_changed = False
            self._pushed_version = self.source.version
            actions += self._push(now)
        recent = self._list_recent_reporters(now)
        actions += self.publisher.resend_lost(recent, now)
        return actions

    def _announce_leadership(self, now: float) -> list[Send]:
        """Name this leader to every member, once per term.

        A member would otherwise report to the former leader until it times out.
        """
        if self._leadership_announced:
            return []
        self._leadership_announced = True
        hints = self._send_leader_hints(self.instance, now)
        skipped = {self.instance, *(send.to for send in hints)}
        return hints + [
            Send(record.details.instance, NotLeader(self.instance))
            for record in self.records.values()
            if record.details.instance not in skipped
        ]

    def push(self, now: float) -> list[Action]:
        """Send a version that has just been accepted, without waiting for a tick."""
        if not self._check_leadership(now):
            return []
        self._pushed_version = self.source.version
        return self._push(now)

    def _push(self, now: float) -> list[Action]:
        recent = self._list_recent_reporters(now)
        self._reporters = {name: self._reporters[name] for name in recent}
        self.publisher.retain(recent)
        return list(self.publisher.push(recent, now))

    def _list_recent_reporters(self, now: float) -> list[InstanceId]:
        return [
            name
            for name, reported_at in self._reporters.items()
            if now - reported_at <= CHILD_EXPIRY_S
        ]

    def _find_endpoint_changes(self) -> dict[EndpointId, EndpointState]:
        if self.platform is None:
            return {}
        published = self.platform.endpoints
        current = self.member_list.endpoints
        changed = {
            name: state
            for name, state in published.items()
            if state is not current.get(name, EndpointState.LIVE)
        }
        return changed

    def _change_member_list(
        self,
        changed: list[MemberEntry],
        removed: list[MemberNumber],
        endpoints: dict[EndpointId, EndpointState],
    ) -> list[Action]:
        if not changed and not removed and not endpoints:
            return []
        since = self.member_list.version
        version = MemberListVersion(self.term, since.counter + 1)
        self.member_list.install_changes(
            MemberChanges(since, version, changed, removed, endpoints)
        )
        # The next tick sends the changes, so that one message carries many.
        self._list_changed = True
        return []
