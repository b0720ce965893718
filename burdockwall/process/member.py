"""The parts that every instance of a fleet runs: peers, machines, membership."""

import signal
import threading
import time
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path

import anyio
import logbook

from burdockwall.connection.peers import PeerBus
from burdockwall.connection.tls import create_peer_contexts
from burdockwall.process.clock import read_clock
from burdockwall.process.control.opening import list_contacts
from burdockwall.process.exposition import Gauges, PrometheusPage
from burdockwall.process.host import Host
from burdockwall.process.installation import Installation
from burdockwall.process.machine import Machine, PortKind
from burdockwall.process.membership.messages import InstanceDetails
from burdockwall.process.membership.replica import StateReplica
from burdockwall.process.membership.shell import Membership
from burdockwall.process.metrics import Metrics
from burdockwall.process.reload import reload_and_log
from burdockwall.process.signals import follow_signals
from burdockwall.process.supervisor import Supervisor, Task
from burdockwall.process.web import serve_address
from burdockwall.settings import Settings
from burdockwall.types import FailureDomain, Incarnation, InstanceId

WATCH_INTERVAL_S = 2.0
STOP_GRACE_S = 0.5


class FleetMember:
    """The parts that instances of every role have."""

    def __init__(
        self, settings: Settings, install: Callable[[StateReplica], None]
    ) -> None:
        self.settings = settings
        self.machine = Machine(settings)
        self.incarnation = Incarnation(time.time_ns())
        self.bus = PeerBus(
            settings.instance_id,
            self.incarnation,
            settings.peers,
            settings.peer_silence_s,
            create_peer_contexts(settings),
            settings.named_by_address,
            self.machine.account,
            self.machine.parts.peer_connections,
        )
        self.host = Host(self.bus, read_clock, settings.tick_interval_s)
        details = InstanceDetails(
            instance=settings.instance_id,
            incarnation=self.incarnation,
            role=settings.role,
            region=settings.region,
            failure_domain=settings.failure_domain,
            peer_address=settings.peer_address,
            caller_address=settings.caller_address,
            name=settings.instance_name,
        )
        contacts = list_contacts(settings)
        self.supervisor = Supervisor(self.bus.failures)
        self.installation = Installation(install, self.bus.failures)
        self.membership = Membership(
            self.host, details, contacts, self.installation.install
        )
        self.metrics = Metrics()
        self.gauges = Gauges()
        self.gauges.add("leading", lambda: float(self.membership.is_leading()))
        self.gauges.add("members", lambda: float(len(self.membership.members)))
        self.gauges.add(
            "versions_behind", lambda: float(self.membership.count_versions_behind())
        )
        self.gauges.add("version_not_in_force", lambda: float(self.is_behind()))
        account = self.machine.account
        self.gauges.add("body_bytes", lambda: float(account.bodies.taken))
        self.gauges.add("request_places", lambda: float(account.requests.taken))
        self.gauges.add("requests_given_up", lambda: float(account.given_up_count))
        counts = self.machine.counts
        self.gauges.add("connections_evicted", lambda: float(counts.evicted))
        self.gauges.add("connections_refused", lambda: float(counts.refused))
        self.gauges.add("errors_survived", lambda: float(self.bus.failures.count))
        self.stopping = anyio.Event()
        self._logger = logbook.Logger("instance")

    def find_failure_domain(self, instance: InstanceId) -> FailureDomain | None:
        """Return the failure domain of an instance, or None if it is no member."""
        for member in self.membership.members:
            if member.details.instance == instance:
                return member.details.failure_domain
        return None

    async def run(
        self, path: Path | None, tasks: Sequence[Task], servers: Sequence[Task]
    ) -> None:
        """Run the parts, the given tasks and servers until the last server ends."""
        settings = self.settings
        self._logger.notice(
            "started",
            extra={
                "instance": settings.instance_id,
                "name": settings.instance_name,
                "role": settings.role.value,
                "incarnation": self.incarnation,
                "first_start": settings.first_start,
            },
        )
        async with anyio.create_task_group() as group:
            supervisor = self.supervisor
            for listen in (self._run_bus, self._serve_metrics, *servers[:-1]):
                group.start_soon(supervisor.listen, listen)
            for task in (self.host.run, self._retry_installation, *tasks):
                group.start_soon(supervisor.run, task)
            # Python allows signal handlers only in the main thread; an instance that is
            # embedded in another program must not change that program's handlers.
            if threading.current_thread() is threading.main_thread():
                reload = partial(self.supervisor.attempt, partial(self.reload, path))
                group.start_soon(follow_signals, reload, self._stop)
            group.start_soon(supervisor.run, partial(self._reload_on_change, path))
            await supervisor.listen(servers[-1])
            group.cancel_scope.cancel()
        self._logger.notice("stopped", extra={"instance": settings.instance_id})

    async def _run_bus(self) -> None:
        await self.bus.run(self.settings.peer_address)

    async def _retry_installation(self) -> None:
        await self.installation.run(self.membership.agent.replica)

    def is_behind(self) -> bool:
        """Return whether a version was delivered here that is not in force."""
        return self.installation.is_behind(self.membership.agent.replica)

    async def _serve_metrics(self) -> None:
        address = self.settings.metrics_address
        if address:
            page = PrometheusPage(self.metrics, self.gauges)
            options = self.machine.create_options(PortKind.MONITORS)
            await serve_address(
                address, page.serve, anyio.Event(), STOP_GRACE_S, options
            )

    def _stop(self, number: signal.Signals) -> None:
        self._logger.notice("stopping", extra={"signal": number.name})
        self.stopping.set()

    async def _reload_on_change(self, path: Path | None) -> None:
        data = self._read_file(path) if path is not None else None
        while path is not None:
            await anyio.sleep(WATCH_INTERVAL_S)
            current = self._read_file(path)
            if current is not None and current != data:
                data = current
                self.reload(path)

    def _read_file(self, path: Path) -> bytes | None:
        try:
            return path.read_bytes()
        except OSError as error:
            # The file may be being replaced; it is read again after the interval.
            self._logger.warning("settings not read", extra={"error": str(error)})
            return None

    def reload(self, path: Path | None) -> None:
        """Read the settings file again; an invalid file changes nothing."""
        if path is not None and reload_and_log(self.settings, path, self._logger):
            self.membership.set_control(list_contacts(self.settings))
