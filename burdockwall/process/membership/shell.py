"""Connect the membership state machines of a process to its bus and its callers."""

from collections.abc import Callable, Iterable

import logbook

from burdockwall.connection.peers import PeerBus
from burdockwall.process.control.commands import AssignShards
from burdockwall.process.host import Host
from burdockwall.process.membership.agent import (
    AGENT_MESSAGES,
    Agent,
    ChangesMissed,
    InstallState,
    Leave,
    MembersInstalled,
    Serve,
)
from burdockwall.process.membership.lag import LagsChanged
from burdockwall.process.membership.messages import (
    InstanceDetails,
    MemberEntry,
    MemberListVersion,
)
from burdockwall.process.membership.missed_updates import VersionNamed
from burdockwall.process.membership.page import FleetPage, describe_member
from burdockwall.process.membership.planner import Propose
from burdockwall.process.membership.platform import PlatformList
from burdockwall.process.membership.registrar import (
    REGISTRAR_MESSAGES,
    AddPeer,
    AwaitInForce,
    Registrar,
)
from burdockwall.process.membership.replica import StateReplica
from burdockwall.process.membership.rollout import InForce
from burdockwall.process.membership.source import ControlSource
from burdockwall.process.membership.timing import KEY_STOP_S
from burdockwall.process.resolver import EntryInstance
from burdockwall.process.waiters import Waiters
from burdockwall.types import (
    EndpointId,
    EndpointState,
    InstanceId,
    Role,
    Term,
    Version,
)
from burdockwall.version.shards import CopyConfirmed, LeaseRenewed, ShardsInstalled

IN_FORCE_TIMEOUT_S = 2 * KEY_STOP_S


class Membership:
    """Shell of an instance's agent and, on a control instance, of its registrar."""

    def __init__(
        self,
        host: Host,
        details: InstanceDetails,
        control: list[InstanceId],
        install: Callable[[StateReplica], None],
    ) -> None:
        self.host = host
        self.bus: PeerBus = host.bus
        self.agent = Agent(details, control)
        self._seed_control = control
        self.registrar: Registrar | None = None
        self.members: tuple[MemberEntry, ...] = ()
        self._serving: list[EntryInstance] = []
        self.endpoints: dict[EndpointId, EndpointState] = {}
        self.on_endpoints: Callable[[frozenset[EndpointId]], None] | None = None
        self._install = install
        self._propose: Callable[[AssignShards], None] = lambda command: None
        self._waiters: Waiters[InForce] = Waiters()
        self._logger = logbook.Logger("membership")
        self._hosted_agent = host.add(
            self.agent,
            AGENT_MESSAGES,
            self._perform_agent,
            (CopyConfirmed, VersionNamed),
        )

    def add_registrar(
        self,
        source: ControlSource,
        propose: Callable[[AssignShards], None],
        plans_shards: bool = True,
    ) -> None:
        """Add the registrar, which grants leases and assigns shards at the leader."""
        instance = self.agent.details.instance
        self.registrar = Registrar(
            instance,
            source,
            self.agent.member_list,
            plans_shards=plans_shards,
            patches=self.agent.patches,
        )
        self.agent.pending.find_local = source.find_document
        self._propose = propose
        self._hosted_registrar = self.host.add(
            self.registrar, REGISTRAR_MESSAGES, self._perform_registrar
        )

    def set_control(self, control: list[InstanceId]) -> None:
        """Set the control instances to try first while no leader is known."""
        self._seed_control = control
        listed = [
            member.details.instance
            for member in self.members
            if member.details.role is Role.CONTROL
        ]
        self.agent.path.control = list(dict.fromkeys([*control, *listed]))

    @property
    def lease_until(self) -> float:
        """Return the time, by the host's clock, until which this instance may act."""
        return self.agent.lease.until

    def get_lease_s(self) -> float:
        """Return for how many seconds this instance may still act."""
        return max(0.0, self.lease_until - self.host.clock())

    def get_state(self) -> EndpointState:
        """Return the state of this instance in the member list."""
        for member in self.members:
            if member.details.instance == self.agent.details.instance:
                return member.state
        return EndpointState.SUSPECTED

    def start_leaving(self) -> None:
        """Tell the fleet that this instance takes no new work."""
        self.host.apply(self._hosted_agent, Leave())

    def defer_serving(self) -> None:
        """Join as an instance that takes no work until start_serving() is called."""
        self.agent.leaving = True

    def start_serving(self) -> None:
        """Tell the fleet that this instance takes work."""
        self.host.apply(self._hosted_agent, Serve())

    def _perform_agent(
        self,
        action: InstallState
        | MembersInstalled
        | LeaseRenewed
        | ShardsInstalled
        | ChangesMissed,
    ) -> None:
        match action:
            case InstallState(replica=replica):
                self._install(replica)
            case MembersInstalled(members=members, endpoints=endpoints):
                self.members = members
                self._serving = _list_serving(members)
                self.set_control(self._seed_control)
                self.endpoints = endpoints
                for member in members:
                    self._add_peer(member.details)
                if self.on_endpoints is not None:
                    self.on_endpoints(frozenset(endpoints))
                self.host.publish(action)
            case LeaseRenewed() | ShardsInstalled():
                self.host.publish(action)
            case ChangesMissed():
                self._logger.notice(
                    "changes do not follow the installed version",
                    extra={
                        "sender": action.sender,
                        "installed": action.installed,
                        "since": action.since,
                        "version": action.version,
                    },
                )

    def _add_peer(self, details: InstanceDetails) -> None:
        self.bus.add_peer(details.instance, details.peer_address)

    def _perform_registrar(
        self, action: AddPeer | InForce | Propose | LagsChanged
    ) -> None:
        match action:
            case AddPeer(details=details):
                self._add_peer(details)
            case InForce(call=call):
                self._waiters.complete(call, action)
            case Propose(command=command):
                self._propose(command)
            case LagsChanged():
                self._log_lags(action)

    def _log_lags(self, changed: LagsChanged) -> None:
        for lag in changed.behind:
            self._logger.warning(
                "instance behind",
                extra={
                    "follower": lag.instance,
                    "incarnation": lag.incarnation,
                    "version": lag.version,
                    "latest": lag.latest,
                    "behind_s": round(lag.behind_s, 3),
                },
            )
        for instance in changed.caught_up:
            self._logger.notice("instance caught up", extra={"follower": instance})

    def count_behind(self) -> int:
        """Count, at the leader, the members that are behind its version."""
        if self.registrar is None or not self.is_leading():
            return 0
        return len(self.registrar.lagging.lags)

    def get_longest_lag_s(self) -> float:
        """Return, at the leader, for how long some member has been behind."""
        if self.registrar is None or not self.is_leading():
            return 0.0
        return self.registrar.lagging.get_longest_s()

    def count_versions_behind(self) -> int:
        """Count the versions that a leader has named to this instance and it lacks."""
        return max(0, self.agent.required_version - self.agent.replica.version)

    def install_platform_list(self, published: PlatformList) -> None:
        """Pass the platform's list to the registrar, if this instance has one."""
        if self.registrar is not None:
            self.host.apply(self._hosted_registrar, published)

    def get_led_term(self) -> Term | None:
        """Return the term that this instance leads, or None if it does not lead."""
        registrar = self.registrar
        return registrar.term if registrar is not None and self.is_leading() else None

    def is_leading(self) -> bool:
        """Return whether this instance grants leases."""
        registrar = self.registrar
        return registrar is not None and registrar.is_leading(self.host.clock())

    async def wait_in_force(self, version: Version) -> InForce:
        """Wait at the leader until no instance acts under an earlier version.

        Raise TimeoutError after IN_FORCE_TIMEOUT_S, which happens if this instance does
        not stay the leader.
        """
        call = self._waiters.create()
        self.host.apply(self._hosted_registrar, AwaitInForce(call, version))
        return await self._waiters.wait(call, IN_FORCE_TIMEOUT_S)

    def list_all_members(self) -> tuple[MemberEntry, ...]:
        """List every member: the registrar's at the leader, else the installed list."""
        if self.registrar is not None and self.is_leading():
            return tuple(record.entry for record in self.registrar.records.values())
        return self.members

    def count_silent_entries(self, silence_s: float) -> int:
        """Count, at the leader, the silent instances that serve callers.

        An instance is silent if its last heartbeat is `silence_s` seconds old.
        """
        if self.registrar is None or not self.is_leading():
            return 0
        silent_before = self.host.clock() - silence_s
        return sum(
            record.details.role.serves_callers
            and record.last_heartbeat_at <= silent_before
            for record in self.registrar.records.values()
        )

    def list_members(self) -> list[EntryInstance]:
        """List the members that serve callers."""
        return self._serving

    def get_member_list_version(self) -> MemberListVersion:
        """Return the version of the installed member list."""
        return self.agent.member_list.version

    def read_fleet(self) -> FleetPage:
        """Build the fleet page; it lists the members only at the leader."""
        registrar = self.registrar
        now = self.host.clock()
        if registrar is None or not registrar.is_leading(now):
            return FleetPage(False, self.agent.term, self.agent.path.leader)
        rows = [describe_member(record, now) for record in registrar.records.values()]
        leader = registrar.instance
        return FleetPage(True, registrar.term, leader, rows, registrar.planner.health)


def _list_serving(members: Iterable[MemberEntry]) -> list[EntryInstance]:
    return [
        EntryInstance(
            entry.details.instance,
            entry.details.caller_address,
            entry.details.failure_domain,
            entry.state,
            entry.details.region,
        )
        for entry in members
        if entry.details.role.serves_callers
    ]
