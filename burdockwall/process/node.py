"""A process built from its settings: a control instance, an entry or both."""

import time
from functools import partial
from pathlib import Path

import anyio
import logbook
from msgspec.structs import replace

from burdockwall.connection.exchange import Exchange
from burdockwall.connection.peers import PeerBus
from burdockwall.connection.tls import create_peer_contexts
from burdockwall.errors import Code, InvalidFile, OperatorError
from burdockwall.process.clock import read_clock
from burdockwall.process.control.console import Console
from burdockwall.process.control.documents import Documents
from burdockwall.process.control.service import ControlService
from burdockwall.process.drain import (
    DrainAction,
    EndRequests,
    RequestsInFlight,
    StopServing,
    plan_drain,
)
from burdockwall.process.endpoint_limits.messages import AskPermits
from burdockwall.process.endpoint_limits.owner import PermitOwner
from burdockwall.process.entry import Entry
from burdockwall.process.evacuation.evacuations import Evacuations
from burdockwall.process.evacuation.operations import (
    EvacuationOperations,
    describe_evacuations,
)
from burdockwall.process.evacuation.orders import EvacuationOrders, find_in
from burdockwall.process.host import Host
from burdockwall.process.installation import Installation
from burdockwall.process.machine import Machine, PortKind
from burdockwall.process.membership.messages import InstanceDetails
from burdockwall.process.membership.platform import PlatformReader
from burdockwall.process.membership.replica import StateReplica
from burdockwall.process.membership.shell import Membership
from burdockwall.process.operations import Operations, Status
from burdockwall.process.orders.shell import Orders
from burdockwall.process.programs.unknowns import add_unknowns
from burdockwall.process.reload import reload_and_log
from burdockwall.process.resolver import EntryInstance
from burdockwall.process.scheduling.explain import describe_placements
from burdockwall.process.signals import follow_signals
from burdockwall.process.supervisor import Supervisor, Task
from burdockwall.process.web import serve_address
from burdockwall.settings import Settings, check_combinations
from burdockwall.types import (
    Address,
    EndpointId,
    EndpointState,
    FailureDomain,
    Incarnation,
    Role,
    Version,
)
from burdockwall.version.configuration import parse_configuration

OPERATOR_GRACE_S = 1.0
CALLER_GRACE_S = 1.0
PERIODIC_INTERVAL_S = 0.1


class Node:
    """The parts of one process, as its role requires."""

    def __init__(self, settings: Settings) -> None:
        faults = check_combinations(settings, settings.instance_id)
        if faults:
            raise InvalidFile(Code.SETTINGS_INVALID, faults)
        self.settings = settings
        self.machine = Machine(settings)
        self.stop = anyio.Event()
        self._logger = logbook.Logger("node")
        self.bus = PeerBus(
            settings.instance_id,
            Incarnation(time.time_ns()),
            settings.peers,
            settings.peer_silence_s,
            create_peer_contexts(settings),
            account=self.machine.account,
            connections=self.machine.parts.peer_connections,
        )
        self.host = Host(self.bus, read_clock, settings.tick_interval_s)
        self.supervisor = Supervisor(self.bus.failures)
        self.installation = Installation(self._install, self.bus.failures)
        self.control: ControlService | None = None
        self.entry: Entry | None = None
        self.membership = self._create_membership(self.bus.incarnation)
        if settings.role is not Role.ENTRY:
            self.control = ControlService(settings, self.host, time.time)
            self.membership.add_registrar(self.control, self.control.propose)
            self.orders = Orders(
                self.host, self._find_endpoint_address, self.membership.get_led_term
            )
            permit_owner = PermitOwner(self.membership.get_led_term)
            self.host.add(permit_owner, (AskPermits,))
        if settings.role is not Role.CONTROL:
            self.entry = self._create_entry()
            self.membership.on_endpoints = self.entry.set_leaving_endpoints
        self.operations = Operations(settings, self.read_status, self.start_drain)
        if self.entry is not None:
            add_unknowns(self.operations, self.entry.parts.programs.client)
        self.operations.add_operation("GET", "/fleet", self._serve_fleet)
        self.operations.add_operation("GET", "/metrics", self._serve_metrics)
        self.operations.add_operation("GET", "/placements", self._serve_placements)
        if self.control is not None:
            console = Console(self.control, self.membership.wait_in_force)
            console.register(self.operations)
            self.evacuation_orders = EvacuationOrders(
                Documents(self.control), self._find_domain, time.time
            )
            EvacuationOperations(self.control, self.evacuation_orders).register(
                self.operations
            )

    def _create_entry(self) -> Entry:
        entry = Entry(
            self.settings,
            self.host,
            self.list_members,
            lambda: self.membership.lease_until,
            self.machine.account,
        )
        self.hosted_drain = self.host.add(
            entry.drain, (), lambda action: self._perform_drain(entry, action)
        )
        return entry

    def _create_membership(self, incarnation: Incarnation) -> Membership:
        settings = self.settings
        control = settings.control_instances
        if settings.role is Role.BOTH and not control:
            control = [settings.instance_id]
        details = InstanceDetails(
            instance=settings.instance_id,
            incarnation=incarnation,
            role=settings.role,
            region=settings.region,
            failure_domain=settings.failure_domain,
            peer_address=settings.peer_address,
            caller_address=settings.caller_address,
        )
        return Membership(self.host, details, control, self.installation.install)

    def _install(self, replica: StateReplica) -> None:
        if self.entry is not None:
            self.entry.install(replica)

    async def _serve_metrics(self, exchange: Exchange) -> None:
        if self.entry is None:
            raise OperatorError(Code.NO_ROUTE, "a control instance has no callers")
        await exchange.answer_json(200, self.entry.read_metrics())

    async def _serve_placements(self, exchange: Exchange) -> None:
        if self.entry is None:
            raise OperatorError(Code.NO_ROUTE, "a control instance places no calls")
        page = describe_placements(self.entry.parts.dispatcher)
        await exchange.answer_json(200, page)

    async def _serve_fleet(self, exchange: Exchange) -> None:
        await exchange.answer_json(200, self.membership.read_fleet())

    def list_members(self) -> list[EntryInstance]:
        """List the entry instances, this one with its own drain state."""
        leaving = self.entry is not None and self.entry.drain.leaving
        own = EndpointState.LEAVING if leaving else EndpointState.LIVE
        members = self.membership.list_members()
        return [
            replace(member, state=own)
            if member.instance == self.settings.instance_id
            else member
            for member in members
        ]

    def read_status(self) -> Status:
        """Describe this instance."""
        entry = self.entry
        control_version = self.control.version if self.control else Version(0)
        version = entry.view.version if entry else control_version
        return Status(
            instance=self.settings.instance_id,
            role=self.settings.role.value,
            failure_domain=self.settings.failure_domain,
            version=version,
            under_way=entry.in_flight if entry else 0,
            leaving=entry.drain.leaving if entry else False,
            limit_refusals=entry.parts.limits.explain_refusals() if entry else [],
            sheds=entry.parts.admission.explain_sheds() if entry else [],
            retries_refused=entry.parts.retries.budget.refused if entry else 0,
            state=self.membership.get_state().value,
            lease_s=self.membership.get_lease_s(),
            leader=self.membership.agent.path.leader or "",
            evacuated=describe_evacuations(self._get_evacuations()),
        )

    def _get_evacuations(self) -> Evacuations:
        if self.entry is not None:
            return self.entry.evacuation.evacuations
        return self.evacuation_orders.get_evacuations()

    def _find_domain(self, domain: FailureDomain) -> bool | None:
        state = self.control.state if self.control is not None else None
        endpoints = parse_configuration(state.text).endpoints if state else ()
        known = [
            self.settings.failure_domain,
            *self.settings.regions,
            *(item.details.failure_domain for item in self.membership.members),
            *(endpoint.failure_domain for endpoint in endpoints),
        ]
        return find_in(domain, known, complete=True)

    def start_drain(self) -> None:
        """Start the shutdown: the address is no longer given out."""
        if self.entry is None:
            self.stop.set()
        else:
            self.host.apply(self.hosted_drain, plan_drain(self.settings))
            self.membership.start_leaving()

    def _perform_drain(self, entry: Entry, action: DrainAction) -> None:
        match action:
            case EndRequests():
                entry.drain_gate.end_requests()
            case StopServing(interrupted=interrupted):
                extra = {"cut_off": interrupted}
                self._logger.notice("stopped serving", extra=extra)
                self.stop.set()

    async def run(self) -> None:
        """Run until stopped; requests in flight end first."""
        async with anyio.create_task_group() as group:
            if self.bus.tls is not None or self.settings.peer_plaintext:
                group.start_soon(self.supervisor.listen, self._run_bus)
            for task in self._list_tasks():
                group.start_soon(self.supervisor.run, task)
            if self.entry is not None:
                group.start_soon(self.entry.run)
            await self._serve_until_stopped()
            group.cancel_scope.cancel()

    async def _run_bus(self) -> None:
        await self.bus.run(self.settings.peer_address)

    async def _retry_installation(self) -> None:
        await self.installation.run(self.membership.agent.replica)

    def _list_tasks(self) -> list[Task]:
        tasks: list[Task] = [
            self.host.run,
            self._run_periodic_work,
            self._retry_installation,
        ]
        if self.control is not None:
            tasks += [self.control.run, self.orders.run]
        if self.control is not None and self.settings.platform_address:
            reader = PlatformReader(
                self.settings.platform_address,
                self.membership.is_leading,
                self.membership.install_platform_list,
            )
            tasks.append(reader.run)
        return tasks

    def _find_endpoint_address(self, endpoint: EndpointId) -> Address | None:
        state = self.control.state if self.control is not None else None
        if state is None:
            return None
        configuration = parse_configuration(state.text)
        for item in configuration.endpoints:
            if item.name == endpoint:
                return item.address
        return None

    async def _run_periodic_work(self) -> None:
        entry = self.entry
        while entry is not None:
            due_at = read_clock() + PERIODIC_INTERVAL_S
            await anyio.sleep(PERIODIC_INTERVAL_S)
            self._update_endpoint_limits(entry)
            entry.parts.crashes.install_instances(
                tuple(
                    member.instance
                    for member in self.membership.list_members()
                    if member.state is not EndpointState.FAILED
                )
            )
            entry.metrics.record_lag(max(0.0, read_clock() - due_at))
            in_flight = RequestsInFlight(entry.count_in_flight())
            self.host.apply(self.hosted_drain, in_flight)

    def _update_endpoint_limits(self, entry: Entry) -> None:
        """Ask the current leader for the permits of limited endpoints."""
        agent = self.membership.agent
        limits = entry.parts.endpoint_limits
        instances = len(self.membership.list_members())
        limits.install_owner(agent.path.leader, agent.term, instances)
        limits.retain(entry.parts.dispatcher.endpoints)

    async def _serve_until_stopped(self) -> None:
        ended = anyio.Event()
        async with anyio.create_task_group() as group:
            serve_operators = partial(self._serve_operators, ended)
            group.start_soon(self.supervisor.listen, serve_operators)
            await self.supervisor.listen(self._serve_callers)
            ended.set()

    async def _serve_operators(self, ended: anyio.Event) -> None:
        address = self.settings.operator_address
        serve = self.operations.serve
        options = self.machine.create_options(PortKind.OPERATORS, secure=True)
        await serve_address(address, serve, ended, OPERATOR_GRACE_S, options)

    async def _serve_callers(self) -> None:
        if self.entry is None:
            await self.stop.wait()
            return
        await serve_address(
            self.settings.caller_address,
            self.entry.serve,
            self.stop,
            CALLER_GRACE_S,
            self.machine.create_options(PortKind.CALLERS, secure=True),
        )

    def reload(self, path: Path | None) -> None:
        """Read the settings file again; an invalid file changes nothing."""
        if path is not None:
            reload_and_log(self.settings, path, self._logger)


async def run_node(settings: Settings, path: Path | None = None) -> None:
    """Run one process until a signal or a drain ends it; SIGHUP reloads the file."""
    node = Node(settings)
    async with anyio.create_task_group() as group:
        group.start_soon(
            follow_signals,
            lambda: node.reload(path),
            lambda number: node.start_drain(),
        )
        await node.run()
        group.cancel_scope.cancel()
