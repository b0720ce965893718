"""An entry instance: serves callers' requests and address look-ups."""

import random
import uuid
from collections.abc import Callable
from functools import partial

import anyio
import logbook

from burdockwall.connection.exchange import Exchange, run_while_connected
from burdockwall.connection.memory import MemoryAccount
from burdockwall.connection.upstream_pools import UpstreamPools
from burdockwall.errors import BurdockwallError, Code, RequestRefused
from burdockwall.process.drain import Drain
from burdockwall.process.drain_gate import DrainGate
from burdockwall.process.evacuation.follower import EvacuationFollower
from burdockwall.process.host import Host
from burdockwall.process.membership.replica import StateReplica
from burdockwall.process.metrics import Metrics, MetricsPage, summarise
from burdockwall.process.resolver import EntryInstance, resolve_addresses
from burdockwall.process.scheduling.jobs import InstancesCounted
from burdockwall.process.scheduling.peer_choice import PeerChoice
from burdockwall.process.scheduling.poller import EndpointPoller
from burdockwall.process.supervisor import Supervisor
from burdockwall.request.caller_relay import CallerRelayCodec, read_relayed_request
from burdockwall.request.handler import serve_request
from burdockwall.request.once import AcceptedSender
from burdockwall.request.parts import create_parts
from burdockwall.request.peer_relay import PeerRelay
from burdockwall.request.trace import RequestTrace
from burdockwall.settings import Settings
from burdockwall.types import (
    EndpointId,
    EndpointState,
    FailureDomain,
    RequestId,
    RouteKind,
)
from burdockwall.version.view import ViewBuilder, build_empty_view

COUNT_INTERVAL_S = 1.0
RESOLVE_PATH = "/v1/resolve"
REFUSED_RETRY_S = 1.0
RELAY_LIMIT_S = 3600.0


class Entry:
    """The parts of an entry instance for the lifetime of its process."""

    def __init__(
        self,
        settings: Settings,
        host: Host,
        list_members: Callable[[], list[EntryInstance]],
        get_lease_end: Callable[[], float],
        account: MemoryAccount,
    ) -> None:
        self.settings = settings
        self.list_members = list_members
        self.get_lease_end = get_lease_end
        self.builder = ViewBuilder()
        self.view = build_empty_view()
        self.parts = create_parts(settings, host)
        self.clock = host.clock
        self.supervisor = Supervisor(host.failures)
        self.poller = EndpointPoller(
            self.parts.dispatcher,
            self.parts.clients,
            host.clock,
            settings.schedule_poll_s,
            host.failures,
        )
        self.reach = self.parts.reach
        self.reach.on_changed = self._follow_reach
        self.peer_relay = PeerRelay(
            CallerRelayCodec(),
            UpstreamPools(host.clock),
            PeerChoice(settings.instance_id, settings.failure_domain, random.Random()),
            list_members,
            host.clock,
        )
        self.evacuation = EvacuationFollower()
        self.accepted = AcceptedSender(self.parts, lambda: self.view)
        self.drain = Drain()
        self.drain_gate = DrainGate(self.drain)
        self.metrics = Metrics()
        self.budget = account
        self.in_flight = 0
        self._logger = logbook.Logger("entry")

    async def run(self) -> None:
        """Run the background tasks of the parts until cancelled."""
        tick_s = self.settings.tick_interval_s
        tasks = (
            self.parts.streams.run,
            partial(self.parts.dispatcher.run, tick_s),
            partial(self.parts.admission.run, tick_s),
            self.poller.run,
            self.reach.run,
            self.parts.crashes.run,
            self.parts.reclaimer.run,
            self.accepted.run,
            self._update_instance_count,
        )
        try:
            async with anyio.create_task_group() as group:
                for task in tasks:
                    group.start_soon(self.supervisor.run, task)
        finally:
            with anyio.CancelScope(shield=True):
                await self.parts.clients.close()

    async def _update_instance_count(self) -> None:
        dispatcher = self.parts.dispatcher
        while True:
            members = self.list_members()
            live = [item for item in members if item.state is EndpointState.LIVE]
            dispatcher.apply(InstancesCounted(max(1, len(live))))
            await anyio.sleep(COUNT_INTERVAL_S)

    def install(self, replica: StateReplica) -> None:
        """Install a version of the control state."""
        self.evacuation.install(replica.documents)
        domains = frozenset(self.evacuation.evacuations.domains)
        self.parts.dispatcher.set_evacuated(domains)
        self.view = self.builder.build(replica.version, replica.sections, replica.keys)
        self.parts.dispatcher.install(self.view.configuration)
        self.parts.limits.install(self.view)
        self.reach.install(
            tuple(
                tuple(endpoint.address for endpoint in listed)
                for listed in self.view.pools.values()
            )
        )
        self.parts.reclaimer.engines = {
            endpoint.name: endpoint
            for pool in self.view.configuration.pools
            if pool.kind is RouteKind.MODEL
            for endpoint in self.view.pools[pool.name]
        }

    def set_leaving_endpoints(self, leaving: frozenset[EndpointId]) -> None:
        """Give no new work to endpoints that are leaving or have left."""
        self.parts.dispatcher.set_leaving(leaving)

    async def serve(self, exchange: Exchange) -> None:
        """Serve one request from a caller."""
        if exchange.path == RESOLVE_PATH:
            await self._serve_resolve(exchange)
            return
        trace = RequestTrace(uuid.uuid4().hex, self.clock())
        self.in_flight += 1
        try:
            await self.drain_gate.run(
                lambda: self._serve_traced(exchange, trace), lambda: True
            )
        except BurdockwallError as error:
            trace.code = error.code.value.number
            raise
        finally:
            self.in_flight -= 1
            self._record(trace)

    async def _serve_traced(self, exchange: Exchange, trace: RequestTrace) -> None:
        try:
            self._check_serving()
            if self.reach.cut_off:
                await self._relay(exchange, trace)
            else:
                await serve_request(self.parts, self.view, exchange, trace)
        except BurdockwallError:
            raise
        except Exception as error:
            trace.code = Code.INTERNAL.value.number
            self._logger.exception("request failed", extra={"request": trace.request})
            raise RequestRefused(Code.INTERNAL, type(error).__name__) from error

    def _follow_reach(self, cut_off: bool) -> None:
        """Forget the failures of endpoints once this instance reaches them again."""
        if not cut_off:
            for pool in self.parts.dispatcher.scheduler.router.pools.values():
                pool.ejector.forget_failures()

    async def _relay(self, exchange: Exchange, trace: RequestTrace) -> None:
        """Serve a request through a peer while this instance reaches no endpoint."""
        now = self.clock()
        request = read_relayed_request(exchange, RequestId(trace.request), now)
        # The connections to peers are plain, so they can't carry callers' TLS.
        if request.relayed or self.settings.caller_certificate is not None:
            raise RequestRefused(Code.CUT_OFF, retry_after_s=REFUSED_RETRY_S)
        body = await exchange.read_body(self.settings.max_body_bytes)
        limit_s = RELAY_LIMIT_S if request.deadline_s is None else request.deadline_s

        async def relay() -> None:
            expires_at = now + limit_s
            await self.peer_relay.serve(exchange, request, body, expires_at, trace)

        await run_while_connected(exchange, relay)

    def _check_serving(self) -> None:
        # The deadline of a call says when its answer must start, not when it ends.
        self.drain_gate.check(None)
        if self.view.version == 0:
            raise RequestRefused(Code.NOT_READY, retry_after_s=REFUSED_RETRY_S)
        if self.clock() >= self.get_lease_end():
            raise RequestRefused(Code.LEASE_LAPSED, retry_after_s=REFUSED_RETRY_S)

    def _record(self, trace: RequestTrace) -> None:
        now = self.clock()
        self.metrics.record_request(trace, now)
        fields = {
            "request": trace.request,
            "customer": trace.customer,
            "program": trace.program,
            "route": trace.route,
            "endpoint": trace.endpoint,
            "code": trace.code,
            "seconds": f"{now - trace.started_at:.3f}",
        }
        self._logger.info("request ended", extra=fields)

    def read_metrics(self) -> MetricsPage:
        """Summarise the measurements of this instance."""
        metrics = self.metrics
        refusals = sorted(metrics.refusals.items())
        return MetricsPage(
            routes=metrics.routes.summarise(),
            first_tokens=metrics.first_tokens.summarise(),
            customers=metrics.customers.summarise(),
            endpoints=metrics.endpoints.summarise(),
            refusals={str(code): count for code, count in refusals},
            in_flight=self.in_flight,
            open_streams=self.parts.streams.count(),
            loop_lag=summarise(metrics.loop_lag),
            endpoint_replacements=self.parts.clients.replacements,
            body_bytes_held=self.budget.reserved_bytes,
            evacuated_domains=int(self.evacuation.count()),
        )

    def count_in_flight(self) -> int:
        """Return the number of requests and answers that a shutdown must wait for."""
        return max(self.in_flight, self.parts.streams.count())

    async def _serve_resolve(self, exchange: Exchange) -> None:
        query = dict(exchange.list_query())
        near = FailureDomain(query.get("failure_domain", self.settings.failure_domain))
        resolution = resolve_addresses(
            self.list_members(),
            near,
            query.get("caller", ""),
            self.settings.resolve_ttl_s,
        )
        await exchange.answer_json(200, resolution)
