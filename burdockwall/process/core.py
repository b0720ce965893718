"""Run a control instance: configurations, members, stores, the list of endpoints."""

import time
from pathlib import Path
from typing import Protocol

import anyio
import logbook

from burdockwall.process.control.commands import PutDocument
from burdockwall.process.control.documents import Documents
from burdockwall.process.control.opening import prepare_replica
from burdockwall.process.control.service import ControlService
from burdockwall.process.endpoints import (
    EndpointPublisher,
    ListedEndpoint,
    PublishEndpoints,
)
from burdockwall.process.member import FleetMember
from burdockwall.process.membership.replica import StateReplica
from burdockwall.process.storage.roster import (
    ObserveStores,
    ProposeView,
    StorePlanner,
)
from burdockwall.process.storage.view import (
    STORE_VIEW,
    StoreView,
    decode_view,
    encode_view,
)
from burdockwall.process.web import Serve, serve_address
from burdockwall.settings import Settings
from burdockwall.types import EndpointState, InstanceId, OperatorId

LIST_INTERVAL_S = 1.0
LIST_RETRY_S = 0.3
LEAD_INTERVAL_S = 0.2
STOP_GRACE_S = 0.5
SYSTEM = OperatorId("system")


class EndpointReader(Protocol):
    """Read the list of endpoints that the platform publishes."""

    async def read(self) -> list[ListedEndpoint]:
        """Return the list, or raise EndpointListUnread."""
        ...


class EndpointListUnread(Exception):
    """Report why the list of endpoints was not read."""


class CoreNode:
    """Hold the parts of a control instance."""

    def __init__(self, settings: Settings, reader: EndpointReader) -> None:
        self.settings = settings
        self.reader = reader
        prepare_replica(settings)
        self.member = FleetMember(settings, self._install)
        host = self.member.host
        self.control = ControlService(settings, host, time.time)
        membership = self.member.membership
        membership.add_registrar(self.control, self.control.propose)
        self.documents = Documents(self.control)
        self.publisher = EndpointPublisher()
        self.planner = StorePlanner(settings.tolerated_losses)
        self._hosted_publisher = host.add(self.publisher)
        self._logger = logbook.Logger("core")
        self._list_lost = False
        self._leading = False
        self._serve_control: Serve | None = None
        self._serve_directory: Serve | None = None

    def _install(self, replica: StateReplica) -> None:
        """Follow nothing: a control instance reads its own replica."""

    def serve_with(self, control: Serve, directory: Serve) -> None:
        """Set what answers operators, and callers that ask where to connect."""
        self._serve_control = control
        self._serve_directory = directory

    def get_view(self) -> StoreView:
        """Return the latest view of the stores that is applied here."""
        document = self.control.state.documents.get(STORE_VIEW)
        return decode_view(document.data) if document is not None else StoreView()

    # What only the leader does.

    async def _lead(self) -> None:
        while True:
            await anyio.sleep(LEAD_INTERVAL_S)
            leading = self.member.membership.is_leading()
            if leading != self._leading:
                self._leading = leading
                self.planner.reset()
            if leading:
                self._plan_stores()

    def _plan_stores(self) -> None:
        observed = ObserveStores(self.member.membership.list_all(), self.get_view())
        for proposed in self.planner.handle(observed, self.member.host.clock()):
            self._propose_view(proposed)

    def _propose_view(self, proposed: ProposeView) -> None:
        view = proposed.view
        self._logger.notice(
            "stores planned",
            extra={
                "view": view.number,
                "stores": " ".join(view.instances),
                "reason": proposed.reason,
            },
        )
        data = encode_view(view)
        self.control.propose(
            PutDocument(
                operator=SYSTEM,
                submission=f"{STORE_VIEW} {view.number} {proposed.reason}",
                name=STORE_VIEW,
                number=view.number,
                data=data,
            )
        )

    async def _read_endpoints(self) -> None:
        while True:
            if not self.member.membership.is_leading():
                await anyio.sleep(LEAD_INTERVAL_S)
                continue
            try:
                endpoints = await self.reader.read()
            except EndpointListUnread as error:
                if not self._list_lost:
                    self._logger.warning("list lost", extra={"error": str(error)})
                self._list_lost = True
                await anyio.sleep(LIST_RETRY_S)
                continue
            if self._list_lost:
                self._logger.notice("list regained")
            self._list_lost = False
            self._publish(endpoints)
            await anyio.sleep(LIST_INTERVAL_S)

    def _publish(self, endpoints: list[ListedEndpoint]) -> None:
        membership = self.member.membership
        term = membership.get_led_term()
        if term is None:
            return
        followers = [
            entry.details.instance
            for entry in membership.list_all()
            if entry.details.role.serves_callers
            and entry.state is not EndpointState.FAILED
        ]
        ordered = sorted(endpoints, key=lambda endpoint: endpoint.name)
        self.member.host.apply(
            self._hosted_publisher, PublishEndpoints(term, ordered, followers)
        )

    # Serving.

    async def _serve_operators(self) -> None:
        if self._serve_control is not None:
            await serve_address(
                self.settings.operator_address,
                self._serve_control,
                self.member.stopping,
                STOP_GRACE_S,
            )

    async def _serve_callers(self) -> None:
        if self._serve_directory is not None and self.settings.directory_address:
            await serve_address(
                self.settings.directory_address,
                self._serve_directory,
                self.member.stopping,
                STOP_GRACE_S,
            )

    async def run(self, path: Path | None) -> None:
        """Run until stopped."""
        tasks = [
            self.control.run,
            self._lead,
            self._read_endpoints,
            self._serve_callers,
            self._serve_operators,
        ]
        await self.member.run(path, tasks)


def find_instance(node: CoreNode, name: str) -> InstanceId | None:
    """Return the member with a name, or None."""
    for entry in node.member.membership.list_all():
        if name in (entry.details.name, entry.details.instance):
            return entry.details.instance
    return None

