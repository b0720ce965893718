"""A control instance: configurations, members, stores and the list of endpoints."""

import time
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import anyio
import logbook

from burdockwall.errors import Code, OperatorError
from burdockwall.process.cold_endpoints.bounds import ColdBounds
from burdockwall.process.cold_endpoints.leader import LeaderColdEndpoints
from burdockwall.process.collection import pause_collection
from burdockwall.process.control.changes import Document
from burdockwall.process.control.documents import Documents, create_put
from burdockwall.process.control.events import ReplicaRole
from burdockwall.process.control.files import StorageError
from burdockwall.process.control.opening import prepare_replica
from burdockwall.process.control.service import ControlService
from burdockwall.process.endpoint_limits.messages import AskPermits
from burdockwall.process.endpoint_limits.owner import PermitOwner
from burdockwall.process.endpoints import (
    AskEndpoints,
    EndpointChanges,
    EndpointPublisher,
    ListedEndpoint,
    ListFollower,
    PublishEndpoints,
    mark_limited,
)
from burdockwall.process.evacuation.orders import EvacuationOrders, find_in
from burdockwall.process.limits.fallback import FALLBACK_SILENCE_S, InstanceCount
from burdockwall.process.limits.leader import LeaderLimits
from burdockwall.process.machine import PortKind
from burdockwall.process.member import FleetMember
from burdockwall.process.membership.replica import StateReplica
from burdockwall.process.scheduling.health_reports import ReportHealth
from burdockwall.process.scheduling.outliers import OutlierDetector
from burdockwall.process.sole_versions import LedVersions
from burdockwall.process.storage.emptying import (
    EMPTYING,
    EmptyingPlanner,
    EmptyingStores,
    ObserveEmptying,
    ProposeEmptying,
    decode_emptying,
    encode_emptying,
)
from burdockwall.process.storage.messages import Copied
from burdockwall.process.storage.store_planner import (
    ObserveStores,
    ProposeView,
    StorePlanner,
    count_remaining,
)
from burdockwall.process.storage.view import (
    STORE_VIEW,
    StoreView,
    decode_view,
    encode_view,
)
from burdockwall.process.version_checks import VersionOwner
from burdockwall.process.version_service import VersionService
from burdockwall.process.web import Serve, serve_address
from burdockwall.settings import Settings
from burdockwall.types import (
    DocumentName,
    EndpointState,
    FailureDomain,
    InstanceId,
    OperatorId,
    Role,
)
from burdockwall.version.deployment import DEPLOYMENT, Deployment

LIST_INTERVAL_S = 1.0
LIST_RETRY_S = 0.3
LEADER_INTERVAL_S = 0.1
# Interval at which a follower checks whether it has become leader, so that a new leader
# reads the list of endpoints at once.
LEADERSHIP_POLL_S = 0.02
STOP_GRACE_S = 0.5
SYSTEM = OperatorId("system")


class EndpointReader(Protocol):
    """Reads the list of endpoints that the platform publishes."""

    async def read(self) -> list[ListedEndpoint]:
        """Return the list, or raise EndpointListUnread."""
        ...


class EndpointListUnread(Exception):
    """The list of endpoints could not be read; the text gives the reason."""


class ControlNode:
    """The parts of a control instance and the work that only the leader does."""

    def __init__(
        self,
        settings: Settings,
        reader: EndpointReader,
        decode: Callable[[bytes], Deployment],
    ) -> None:
        self.settings = settings
        self.reader = reader
        prepare_replica(settings)
        self.member = FleetMember(settings, self._install)
        host = self.member.host
        self.control = ControlService(settings, host, time.time)
        membership = self.member.membership
        membership.add_registrar(self.control, self.control.propose, plans_shards=False)
        self.decode = decode
        self.limits = LeaderLimits(host, settings, self.member.incarnation)
        self._deployment: Deployment | None = None
        self._installed_limits = (0, 0, 0)
        self._instances = InstanceCount(self._count_entry_members, host.clock)
        self.documents = Documents(self.control)
        self.evacuation_orders = EvacuationOrders(
            self.documents, self._find_domain, time.time
        )
        self.publisher = EndpointPublisher()
        self.store_planner = StorePlanner(settings.tolerated_losses)
        self.emptying_planner = EmptyingPlanner()
        self._hosted_publisher = host.add(self.publisher, (AskEndpoints,))
        self.cold = LeaderColdEndpoints(
            host.clock,
            membership.get_led_term,
            settings.list_lag_s,
            failures=host.failures,
        )
        self.cold.list_evacuation_ends = lambda: (
            self.evacuation_orders.get_evacuations().ended
        )
        self.permit_owner = PermitOwner(
            membership.get_led_term,
            self.cold,
            ColdBounds(settings.limit_cold_overrun, settings.limit_cold_slack),
        )
        host.add(self.permit_owner, (AskPermits,))
        self.outliers = OutlierDetector(membership.get_led_term)
        host.add(self.outliers, (ReportHealth,))
        self._hosted_emptying_planner = host.add(
            self.emptying_planner, (Copied,), self._propose_emptying
        )
        self._logger = logbook.Logger("core")
        self._list_unreadable = False
        self._endpoint_list: list[ListedEndpoint] | None = None
        self._led_versions = LedVersions()
        self.versions = VersionService(
            host,
            VersionOwner(self._led_versions, membership.get_led_term),
            self.control.confirm_read,
        )
        self._leading = False
        self._serve_control: Serve | None = None
        self._serve_directory: Serve | None = None

        self.member.gauges.add(
            "endpoints_ejected",
            lambda: float(self.outliers.count_ejected(host.clock())),
        )
        self.member.gauges.add("term", lambda: float(self.control.term))
        self.member.gauges.add("version", lambda: float(self.control.version))
        self.member.gauges.add(
            "instances_behind", lambda: float(membership.count_behind())
        )
        self.member.gauges.add("instances_behind_s", membership.get_longest_lag_s)
        self.member.gauges.add(
            "evacuated_domains",
            lambda: float(len(self.evacuation_orders.get_evacuations().domains)),
        )
        self.member.gauges.add("endpoints_cold", lambda: float(self.cold.count_cold()))
        self.member.gauges.add(
            "cold_health_requests", lambda: float(self.cold.checks_count)
        )
        starts = self.limits.owner.starts
        self.member.gauges.add("programs_under_way", starts.count_programs)
        self.member.gauges.add("program_starts_refused", starts.count_refused)

    def _install(self, replica: StateReplica) -> None:
        """Do nothing, since a control instance reads its own replica."""

    def set_servers(self, control: Serve, directory: Serve) -> None:
        """Set the functions that serve operators and callers' address look-ups."""
        self._serve_control = control
        self._serve_directory = directory

    def get_view(self) -> StoreView:
        """Return the latest view of the stores that is applied on this instance."""
        document = self.control.state.documents.get(STORE_VIEW)
        return decode_view(document.data) if document is not None else StoreView()

    def get_emptying(self) -> EmptyingStores:
        """Return the stores being emptied, as applied on this instance."""
        document = self.control.state.documents.get(EMPTYING)
        if document is None:
            return EmptyingStores()
        return decode_emptying(document.data)

    # Work of the leader only.

    async def _run_leader_duties(self) -> None:
        while True:
            await anyio.sleep(LEADER_INTERVAL_S)
            leading = self.member.membership.is_leading()
            if leading != self._leading:
                self._leading = leading
                self.store_planner.reset()
                self.emptying_planner.reset()
            self._check_storage()
            attempt = self.member.supervisor.attempt
            attempt(self._install_deployment, self._install_limits, self._follow_term)
            if leading:
                attempt(self._plan_stores, self._publish)
            else:
                self._endpoint_list = None

    def _check_storage(self) -> None:
        """End the process after a failed write; a restart reads the disk again."""
        if self.control.replica.consensus.state.role is ReplicaRole.FAILED:
            raise StorageError(Code.DISK_FAILED)

    def _follow_term(self) -> None:
        self.limits.follow(self.member.membership.get_led_term())

    def _install_deployment(self) -> None:
        document = self.control.state.documents.get(DEPLOYMENT)
        if document is None:
            return
        if self._deployment is None or self._deployment.number != document.number:
            with pause_collection():
                deployment = self.decode(document.data)
            self.cold.install(deployment)
            self._deployment = deployment

    def _install_limits(self) -> None:
        if self._deployment is None:
            return
        instances = self._instances.read()
        silent = self.member.membership.count_silent_entries(FALLBACK_SILENCE_S)
        installed = (self._deployment.number, instances, silent)
        if installed != self._installed_limits:
            self.limits.install(self._deployment, instances, silent)
            self._installed_limits = installed

    def _count_entry_members(self) -> int:
        members = self.member.membership.list_all_members()
        return sum(entry.details.role.serves_callers for entry in members)

    def _plan_stores(self) -> None:
        emptying, view = self.get_emptying(), self.get_view()
        observed = ObserveStores(
            self.member.membership.list_all_members(), view, emptying.instances
        )
        for proposed in self.store_planner.handle(observed, self.member.host.clock()):
            self._propose_view(proposed)
        self.member.host.apply(
            self._hosted_emptying_planner, ObserveEmptying(emptying, view)
        )

    def _propose_emptying(self, proposed: ProposeEmptying) -> None:
        updated = proposed.emptying
        self._logger.notice(
            "store emptied",
            extra={"store": proposed.instance, "number": updated.number},
        )
        self._propose(EMPTYING, updated.number, encode_emptying(updated))

    async def start_emptying(self, instance: InstanceId) -> None:
        """Start to empty a store; raise OperatorError if too few would remain."""

        def revise(document: Document | None) -> bytes | None:
            emptying = self.get_emptying()
            if instance in emptying.instances:
                return None
            return encode_emptying(self._add_emptying(emptying, instance))

        await self.documents.revise(EMPTYING, revise, SYSTEM)

    def _add_emptying(
        self, emptying: EmptyingStores, instance: InstanceId
    ) -> EmptyingStores:
        view = self.get_view()
        remaining = count_remaining(
            self.member.membership.list_all_members(),
            view,
            emptying.instances,
            instance,
        )
        min_stores = self.store_planner.min_stores
        if remaining < min_stores:
            detail = f"{remaining} stores would be left, {min_stores} are needed"
            raise OperatorError(Code.STORES_TOO_FEW, detail)
        member = view.find(instance)
        groups = {} if member is None else {instance: member.group}
        return EmptyingStores(
            emptying.number + 1,
            (*emptying.running, instance),
            emptying.completed,
            emptying.groups | groups,
        )

    async def is_emptied(self, instance: InstanceId) -> bool | None:
        """Return whether a store is empty; None if emptying it was not requested."""
        await self.control.confirm_read()
        emptying = self.get_emptying()
        if instance not in emptying.instances:
            return None
        return instance in emptying.completed

    def _find_domain(self, domain: FailureDomain) -> bool | None:
        membership = self.member.membership
        endpoints = self._endpoint_list
        known = [
            *self.settings.regions,
            *(
                entry.details.failure_domain
                for entry in (*membership.members, *membership.list_all_members())
            ),
            *(endpoint.failure_domain for endpoint in endpoints or ()),
        ]
        return find_in(domain, known, complete=endpoints is not None)

    def _propose_view(self, proposed: ProposeView) -> None:
        view = proposed.view
        self._logger.notice(
            "store view proposed",
            extra={
                "view": view.number,
                "stores": " ".join(view.instances),
                "reason": proposed.reason,
            },
        )
        self._propose(STORE_VIEW, view.number, encode_view(view))

    def _propose(self, name: DocumentName, number: int, data: bytes) -> None:
        self.control.propose(create_put(name, number, data, SYSTEM))

    async def _read_endpoints(self) -> None:
        while True:
            if not self.member.membership.is_leading():
                await anyio.sleep(LEADERSHIP_POLL_S)
                continue
            began_at = self.member.host.clock()
            try:
                endpoints = await self.reader.read()
            except EndpointListUnread as error:
                if not self._list_unreadable:
                    self._logger.warning(
                        "endpoint list unavailable", extra={"error": str(error)}
                    )
                self._list_unreadable = True
                await anyio.sleep(LIST_RETRY_S)
                continue
            if self._list_unreadable:
                self._logger.notice("endpoint list available again")
            self._list_unreadable = False
            self._endpoint_list = mark_limited(
                self.cold.record_list(
                    sorted(endpoints, key=lambda endpoint: endpoint.name), began_at
                ),
                self.permit_owner.limits.list_limited(),
            )
            self._led_versions.install(
                self.member.membership.get_led_term(),
                ((item.service, item.software) for item in endpoints),
                self.member.host.clock(),
            )
            self.outliers.install(endpoints, self.member.host.clock())
            self._publish()
            await anyio.sleep(LIST_INTERVAL_S)

    def _publish(self) -> None:
        """Send the latest list to the entry instances that do not have it yet."""
        membership = self.member.membership
        term = membership.get_led_term()
        if term is None or self._endpoint_list is None:
            return
        followers = [
            ListFollower(entry.details.instance, entry.details.incarnation)
            for entry in membership.list_all_members()
            if entry.details.role.serves_callers
            and entry.state is not EndpointState.FAILED
        ]
        bus = self.member.host.bus
        read_changes = frozenset(
            follower.instance
            for follower in followers
            if bus.knows(follower.instance, EndpointChanges.protocol)
        )
        self.member.host.apply(
            self._hosted_publisher,
            PublishEndpoints(
                term,
                self.cold.mark(self._endpoint_list),
                followers,
                self.cold.judge.ended,
                self._led_versions.list_since(term),
                read_changes,
                self.control.version,
            ),
        )

    # HTTP servers.

    async def _serve_operators(self) -> None:
        if self._serve_control is not None:
            await serve_address(
                self.settings.operator_address,
                self._serve_control,
                self.member.stopping,
                STOP_GRACE_S,
                self.member.machine.create_options(PortKind.OPERATORS),
            )

    async def _serve_callers(self) -> None:
        if self._serve_directory is not None and self.settings.directory_address:
            await serve_address(
                self.settings.directory_address,
                self._serve_directory,
                self.member.stopping,
                STOP_GRACE_S,
                self.member.machine.create_options(PortKind.CALLERS),
            )

    async def run(self, path: Path | None) -> None:
        """Run until stopped."""
        tasks = [
            self.control.run,
            self._run_leader_duties,
            self._read_endpoints,
            self.versions.run,
            self.cold.run,
        ]
        servers = [self._serve_callers, self._serve_operators]
        await self.member.run(path, tasks, servers)


def find_store(node: ControlNode, name: str) -> InstanceId | None:
    """Return the store with a name or instance id, or None."""
    for entry in node.member.membership.list_all_members():
        details = entry.details
        if details.role is Role.STORAGE and name in (details.name, details.instance):
            return details.instance
    return None
