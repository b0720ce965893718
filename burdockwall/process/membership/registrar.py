"""Keep the member list and grant leases at the leader of the control state."""

from dataclasses import dataclass

from burdockwall.machine import Receive, Send, Tick
from burdockwall.process.membership.detection import Detector
from burdockwall.process.membership.messages import (
    CopyDone,
    Grant,
    InstanceDetails,
    Join,
    MemberChanges,
    MemberEntry,
    MemberSnapshot,
    NotLeader,
    ProbeResult,
    Released,
    Report,
    Stamp,
)
from burdockwall.process.membership.planner import Planner, Propose
from burdockwall.process.membership.platform import PlatformList
from burdockwall.process.membership.progress import InForce, Progress
from burdockwall.process.membership.publisher import Publisher
from burdockwall.process.membership.records import Record
from burdockwall.process.membership.roster import Roster
from burdockwall.process.membership.source import ControlSource
from burdockwall.process.membership.timing import CHILD_LIMIT_S, FIRST_TERM, LAPSE_S
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

REGISTRAR_MESSAGES = (Report, ProbeResult, Released, CopyDone)


@dataclass(frozen=True, slots=True)
class AwaitInForce:
    """Ask to be told when a version is in force everywhere."""

    call: CallId
    version: Version


@dataclass(frozen=True, slots=True)
class LearnPeer:
    """Ask the shell to remember how to reach an instance."""

    details: InstanceDetails


Event = Tick | Receive | AwaitInForce | PlatformList
Action = Send | LearnPeer | InForce | Propose


class Registrar:
    """Answer reports while this instance is the confirmed leader."""

    def __init__(
        self,
        instance: InstanceId,
        source: ControlSource,
        followed: Roster,
        shard_count: int = SHARD_COUNT,
        plans_shards: bool = True,
    ) -> None:
        self.instance = instance
        self.source = source
        self.followed = followed
        self.term = Term(0)
        self.led_since = 0.0
        self.roster = Roster()
        self.records: dict[MemberNumber, Record] = {}
        self.publisher = Publisher(source, self.roster)
        self.detector = Detector()
        self.plans_shards = plans_shards
        self.planner = Planner(instance, shard_count)
        self.progress = Progress()
        self.platform: PlatformList | None = None
        self._reporters: dict[InstanceId, float] = {}
        self._leaderless: dict[InstanceId, float] = {}
        self._next_number = MemberNumber(1)
        self._seen_version = Version(0)
        self._roster_changed = False
        self._announced = True
        self._departed: list[Record] = []

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take an event and return what to send, propose or tell."""
        if not self._lead(now):
            return self._refuse(event, now)
        match event:
            case Tick():
                return self._tick(now)
            case Receive(sender=sender, message=Report() as report):
                return self._take_report(sender, report, now)
            case Receive(sender=sender, message=ProbeResult() as result):
                self._take_result(sender, result, now)
            case Receive(sender=sender, message=Released() as released):
                if released.term == self.term:
                    self.planner.note_released(sender, released)
            case Receive(sender=sender, message=CopyDone() as copy):
                self.planner.note_copied(sender, copy)
            case AwaitInForce(call=call, version=version):
                self.progress.add(call, version, now)
                return list(self.progress.check(self._list_holders(now), now))
            case PlatformList():
                self.platform = event
        return []

    def is_leading(self, now: float) -> bool:
        """Tell whether this instance may grant leases."""
        return self.source.is_leader_confirmed(now) and self.source.term == self.term

    def _refuse(self, event: Event, now: float) -> list[Action]:
        leader = self.source.leader
        hint = leader if leader != self.instance else None
        match event:
            case Receive(sender=sender, message=Report()):
                if hint is None:
                    self._leaderless[sender] = now
                return [Send(sender, NotLeader(hint))]
            case Tick() if hint is not None:
                return list(self._name_leader(hint, now))
            case _:
                return []

    def _name_leader(self, leader: InstanceId, now: float) -> list[Send]:
        """Name the leader to those that were told of none a moment ago."""
        told = self._leaderless
        self._leaderless = {}
        return [
            Send(sender, NotLeader(leader))
            for sender, at in told.items()
            if now - at <= CHILD_LIMIT_S and sender != leader
        ]

    # Becoming the leader.

    def _lead(self, now: float) -> bool:
        if not self.source.is_leader_confirmed(now):
            return False
        if self.source.term != self.term:
            self._start_term(now)
        return True

    def _start_term(self, now: float) -> None:
        self.term = self.source.term
        self.led_since = now
        # Leases of former leaders, also those it never heard of, lapse by then.
        former = LAPSE_S if self.term > FIRST_TERM else 0.0
        self.roster = Roster()
        base = self.followed
        stamp = Stamp(self.term, 1)
        self.roster.install_snapshot(
            MemberSnapshot(stamp, base.list_entries(), dict(base.endpoints))
        )
        if base.stamp > Stamp():
            self.roster.note_base(base.stamp)
        self._next_number = MemberNumber(max(self.roster.members, default=0) + 1)
        self.records = {
            number: Record(entry, now, now + former)
            for number, entry in self.roster.members.items()
        }
        self.publisher = Publisher(self.source, self.roster)
        self.planner.start_term(self.term, now + former)
        self.progress.start_term(now + former)
        self._reporters = {}
        self._departed = []
        self._seen_version = self.source.version
        self._announced = False

    # Reports.

    def _take_report(
        self, sender: InstanceId, report: Report, now: float
    ) -> list[Action]:
        actions: list[Action] = []
        changed: list[MemberEntry] = []
        removed: list[MemberNumber] = []
        for join in report.joins:
            actions.append(LearnPeer(join.details))
            self._admit(join, changed, removed, now)
        actions += self._change_roster(changed, removed, {})
        self._reporters[sender] = now
        actions += self.publisher.update(
            sender, report.incarnation, report.version, report.stamp, now
        )
        if report.stamp.term != self.term and report.stamp != Stamp():
            # The numbers are another leader's; the new list is on its way.
            return actions
        refused = self._hear(report, now)
        granted = Grant(
            self.term,
            self.instance,
            report.incarnation,
            report.sequence,
            self.source.version,
            refused,
        )
        return [*actions, Send(sender, granted)]

    def _hear(self, report: Report, now: float) -> list[MemberNumber]:
        heard = dict.fromkeys(report.current, report.version)
        heard.update(report.behind)
        leaving = set(report.leaving)
        refused = []
        for number, version in heard.items():
            record = self.records.get(number)
            if record is None or self.planner.is_blocked(record.details):
                refused.append(number)
                continue
            record.hear(version, number in leaving, now)
            record.grant(now)
        return refused

    def _admit(
        self,
        join: Join,
        changed: list[MemberEntry],
        removed: list[MemberNumber],
        now: float,
    ) -> None:
        for number, record in self.records.items():
            if record.details == join.details:
                return
            if record.details.instance == join.details.instance:
                older = record.details.incarnation > join.details.incarnation
                if older and not record.has_lapsed(now):
                    return
                removed.append(number)
        for number in removed:
            self._remove(number)
        state = EndpointState.LEAVING if join.leaving else EndpointState.LIVE
        entry = MemberEntry(self._next_number, join.details, state)
        self._next_number = MemberNumber(self._next_number + 1)
        record = Record(entry, now, now, join.version, join.leaving)
        self.records[entry.number] = record
        changed.append(entry)

    def _remove(self, number: MemberNumber) -> None:
        former = self.records.pop(number, None)
        if former is not None:
            self.planner.note_lapse(former.details, former.lapses_at)
            self._departed.append(former)

    def _list_holders(self, now: float) -> list[Record]:
        # Whoever left the list may still act until its lease has lapsed.
        self._departed = [
            record for record in self._departed if not record.has_lapsed(now)
        ]
        return [*self.records.values(), *self._departed]

    def _take_result(self, sender: InstanceId, result: ProbeResult, now: float) -> None:
        for record in self.records.values():
            if record.details.instance == result.subject:
                record.witnesses[sender] = (now, result.reachability)

    # Time.

    def _tick(self, now: float) -> list[Action]:
        actions: list[Action] = [*self._announce(now)]
        found = self.detector.examine(self.records, self.platform, now)
        actions += found.probes
        for number in found.removed:
            self._remove(number)
        for entry in found.changed:
            self.records[entry.number].entry = entry
        endpoints = self._compare_endpoints()
        actions += self._change_roster(found.changed, found.removed, endpoints)
        if self.plans_shards:
            views = self.source.get_shards()
            state = (self.source.version, self.roster.stamp)
            actions += self.planner.plan(self.records.values(), views, state, now)
        actions += self.progress.check(self._list_holders(now), now)
        if self._roster_changed or self.source.version != self._seen_version:
            self._roster_changed = False
            self._seen_version = self.source.version
            actions += self._push(now)
        return actions

    def _announce(self, now: float) -> list[Send]:
        """Name the new leader to every member, which would else wait for a silence."""
        if self._announced:
            return []
        self._announced = True
        named = self._name_leader(self.instance, now)
        told = {self.instance, *(send.to for send in named)}
        return named + [
            Send(record.details.instance, NotLeader(self.instance))
            for record in self.records.values()
            if record.details.instance not in told
        ]

    def push(self, now: float) -> list[Action]:
        """Send a version that was just accepted without waiting for a tick."""
        if not self._lead(now):
            return []
        self._seen_version = self.source.version
        return self._push(now)

    def _push(self, now: float) -> list[Action]:
        self._reporters = {
            name: at
            for name, at in self._reporters.items()
            if now - at <= CHILD_LIMIT_S
        }
        self.publisher.forget(self._reporters)
        return list(self.publisher.push(self._reporters, now))

    def _compare_endpoints(self) -> dict[EndpointId, EndpointState]:
        if self.platform is None:
            return {}
        wanted = self.platform.endpoints
        known = self.roster.endpoints
        later = {
            name: state
            for name, state in wanted.items()
            if state is not known.get(name, EndpointState.LIVE)
        }
        return later

    def _change_roster(
        self,
        changed: list[MemberEntry],
        removed: list[MemberNumber],
        endpoints: dict[EndpointId, EndpointState],
    ) -> list[Action]:
        if not changed and not removed and not endpoints:
            return []
        since = self.roster.stamp
        stamp = Stamp(self.term, since.counter + 1)
        self.roster.install_changes(
            MemberChanges(since, stamp, changed, removed, endpoints)
        )
        # The changes travel with the next tick's push, many in one message.
        self._roster_changed = True
        return []
