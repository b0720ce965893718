"""An entry instance that forwards callers' requests to the endpoints of services."""

import random
from collections.abc import Callable
from functools import partial
from pathlib import Path

import anyio
import logbook

from burdockwall.connection.exchange import CLOSE, Exchange, run_while_connected
from burdockwall.connection.listener import ConnectionLimits
from burdockwall.connection.upstream_pools import UpstreamPools
from burdockwall.errors import BurdockwallError, Code, RequestRefused
from burdockwall.process.cold_endpoints.bounds import ColdBounds
from burdockwall.process.cold_endpoints.health import ask_health
from burdockwall.process.cold_endpoints.view import ColdView
from burdockwall.process.collection import pause_collection
from burdockwall.process.crashes.client import CrashSuspects
from burdockwall.process.crashes.evidence import CrashEvidence
from burdockwall.process.drain import (
    Drain,
    DrainAction,
    DrainState,
    EndRequests,
    RequestsInFlight,
    StopServing,
    plan_drain,
)
from burdockwall.process.drain_gate import DrainGate
from burdockwall.process.endpoint_limits.client import EndpointLimits
from burdockwall.process.endpoint_reach import EndpointReach
from burdockwall.process.endpoints import (
    EndpointChanges,
    EndpointFollower,
    EndpointList,
    ListedEndpoint,
)
from burdockwall.process.jobs import Jobs
from burdockwall.process.limits.client import LimitClient
from burdockwall.process.limits.excess import create_excess
from burdockwall.process.limits.fallback import InstanceCount
from burdockwall.process.limits.gate import RateGate
from burdockwall.process.limits.kinds import RateRequest
from burdockwall.process.limits.leader import (
    build_leader_shards,
    list_deployment_limits,
)
from burdockwall.process.machine import PortKind
from burdockwall.process.member import FleetMember
from burdockwall.process.membership.replica import StateReplica
from burdockwall.process.scheduling.endpoint_health import EndpointHealth
from burdockwall.process.scheduling.health_reports import MarkEndpoints
from burdockwall.process.scheduling.hedge_delay import HedgeDelay
from burdockwall.process.scheduling.peer_choice import PeerChoice
from burdockwall.process.scheduling.unreadable_loads import UnreadableLoads
from burdockwall.process.scheduling.work_balance import create_balancer
from burdockwall.process.startup_wait import compute_startup_wait_s
from burdockwall.process.storage.calls import TurnOutcome, TurnStart
from burdockwall.process.storage.client import TurnClient
from burdockwall.process.storage.view import STORE_VIEW, decode_view
from burdockwall.process.supervisor import run_each
from burdockwall.process.version_client import VersionClient
from burdockwall.process.web import serve_address
from burdockwall.request.codec import ForwardedRequest, RequestCodec
from burdockwall.request.forwarding import Forwarding, compute_expiry
from burdockwall.request.forwarding_parts import ForwardingParts
from burdockwall.request.peer_relay import PeerRelay
from burdockwall.request.regions import Regions
from burdockwall.request.trace import RequestTrace
from burdockwall.settings import Settings
from burdockwall.types import CustomerId, EndpointState, InstanceId, Term
from burdockwall.version.deployment import (
    DEPLOYMENT,
    Deployment,
    DeploymentView,
    HostCustomer,
    HostRoute,
)
from burdockwall.version.keys import compute_digest

NOT_READY_RETRY_S = 0.15
PERIODIC_INTERVAL_S = 0.1
# Shorter after the start, so that callers are served as soon as they can be.
STARTUP_INTERVAL_S = 0.01
STARTUP_PERIOD_S = 3.0
EXPIRE_INTERVAL_S = 1.0
CUT_OFF_RETRY_S = 0.1
# Before any configuration has come.
STARTUP_IDLE_S = 20.0
# A configuration bounds the headers, to which the first line of a request comes.
FIRST_LINE_BYTES = 8192
# The requests in flight have ended before.
STOP_GRACE_S = 0.2
REQUEST_COST = 1.0
MS_PER_S = 1000.0

DecodeDeployment = Callable[[bytes], Deployment]


class ForwardingEntry:
    """The parts of a forwarding entry instance for the lifetime of its process."""

    def __init__(
        self, settings: Settings, codec: RequestCodec, decode: DecodeDeployment
    ) -> None:
        self.settings = settings
        self.codec = codec
        self.decode = decode
        self.member = FleetMember(settings, self._install)
        host = self.member.host
        self.clock = host.clock
        self._started_at = host.clock()
        self.view: DeploymentView | None = None
        self._startup_ended = anyio.Event()
        self.metrics = self.member.metrics
        self.drain = Drain()
        self.drain_gate = DrainGate(self.drain)
        self.in_flight = 0
        self._logger = logbook.Logger("front")
        self._pending_settlements: list[tuple[TurnStart, TurnOutcome]] = []
        self._settle_due = anyio.Event()
        generator = random.Random(self.member.incarnation)
        self.limits = LimitClient(
            host, settings, self.member.incarnation, generator, follows_shards=False
        )
        self.gate = RateGate(
            self._admit_at_owner,
            create_excess(settings),
            InstanceCount(self._count_members, host.clock),
            host.clock,
        )
        self._directory_joined = False
        self.member.membership.defer_serving()
        self._limits_leader: tuple[InstanceId, Term] | None = None
        self.endpoints = EndpointFollower()
        host.add(self.endpoints, (EndpointList, EndpointChanges), host.publish)
        self.versions = VersionClient(host, self.member.incarnation)
        self._hosted_drain = host.add(self.drain, (), self._perform_drain)
        self.turn_client = TurnClient(
            host,
            self.member.incarnation,
            settings.failure_domain,
            self.member.find_failure_domain,
        )
        self.upstreams = UpstreamPools(host.clock)
        self.health = EndpointHealth(
            self.member.incarnation,
            lambda: self.reach.contact_at,
            lambda leader: host.bus.speaks(leader, MarkEndpoints.protocol),
        )
        host.add(self.health, (MarkEndpoints,))
        self.balancer = create_balancer(
            settings,
            generator,
            self.upstreams.has_idle,
            self.health,
            self.upstreams.round_trips,
        )
        self.cold = ColdView(
            self.endpoints, self.endpoints.evacuation.find_evacuation_end
        )
        self.endpoint_limits = EndpointLimits(
            host,
            self.member.incarnation,
            self.cold,
            ColdBounds(settings.limit_cold_overrun, settings.limit_cold_slack),
        )
        self.endpoint_limits.ask_health = self._ask_health
        self.upstreams.report_closed = self.endpoint_limits.suspect_address
        self.reach = EndpointReach(host, self.upstreams, self._follow_reach)
        self.upstreams.report_connect = self.reach.record_connect
        evidence = CrashEvidence(self.upstreams, self.reach)
        self.crashes = CrashSuspects(host, evidence, settings.instance_id)
        self.peer_relay = PeerRelay(
            codec,
            UpstreamPools(host.clock),
            PeerChoice(settings.instance_id, settings.failure_domain, generator),
            self.member.membership.list_members,
            host.clock,
        )
        self.ended = anyio.Event()
        self.parts = ForwardingParts(
            codec,
            self.upstreams,
            self.endpoints,
            self.balancer,
            self.turn_client,
            host.clock,
            self._count_live_members,
            lambda: self.drain.leaving,
            self._settle_later,
            self.gate.admit,
            HedgeDelay(),
            self.endpoint_limits,
            self.reach,
            self.crashes,
            Regions(settings.regions, settings.failure_domain, settings.region),
            self.health,
            UnreadableLoads(),
            self.versions.find,
            settings.limit_program_wait_s,
        )
        self._add_gauges()

    def _add_gauges(self) -> None:
        gauges = self.member.gauges
        gauges.add("requests_under_way", lambda: float(self.in_flight))
        gauges.add("configuration", lambda: float(self.view.number if self.view else 0))
        gauges.add("upstream_connections", lambda: float(self.upstreams.count_open()))
        gauges.add(
            "upstream_connections_opened", lambda: float(self.upstreams.opened_count)
        )
        gauges.add(
            "endpoint_permits_refused",
            lambda: float(self.endpoint_limits.refused_count),
        )
        gauges.add(
            "cold_health_requests", lambda: float(self.endpoint_limits.checks_count)
        )
        gauges.add("crash_suspects", lambda: float(len(self.crashes.watch.table)))
        gauges.add("crash_refusals", lambda: float(self.crashes.refused_count))
        gauges.add(
            "endpoints_ejected", lambda: float(self.health.count_ejected(self.clock()))
        )
        gauges.add("cut_off", lambda: float(self.reach.cut_off))
        gauges.add("evacuated_domains", self.endpoints.evacuation.count)
        gauges.add(
            "load_reports_unreadable",
            lambda: float(self.parts.unreadable_loads.count),
        )
        for name, read in self.balancer.list_gauges():
            gauges.add(name, read)
        gauges.add("store_view", lambda: float(self.turn_client.calls.view.number))

    def _list_live_instances(self) -> tuple[InstanceId, ...]:
        members = self.member.membership.list_members()
        return tuple(
            item.instance for item in members if item.state is not EndpointState.FAILED
        )

    def _list_peers(self) -> tuple[InstanceId, ...]:
        own = self.settings.instance_id
        return tuple(item for item in self._list_live_instances() if item != own)

    def _count_live_members(self) -> int:
        return max(1, len(self._list_live_instances()))

    def _count_members(self) -> int:
        """Return the number of instances that may still admit requests.

        Failed ones are included, since they may still run.
        """
        return len(self.member.membership.list_members())

    # Configurations.

    def _install(self, replica: StateReplica) -> None:
        run_each(
            partial(self._install_evacuations, replica),
            partial(self._install_stores, replica),
            partial(self._install_deployment, replica),
        )

    def _install_evacuations(self, replica: StateReplica) -> None:
        self.endpoints.evacuation.install(replica.documents)

    def _install_stores(self, replica: StateReplica) -> None:
        stores = replica.documents.get(STORE_VIEW)
        if stores is not None:
            self.turn_client.install_view(decode_view(stores.data))

    def _install_deployment(self, replica: StateReplica) -> None:
        document = replica.documents.get(DEPLOYMENT)
        if document is None:
            return
        if self.view is not None and document.number <= self.view.number:
            return
        with pause_collection():
            deployment = self.decode(document.data)
            view = DeploymentView(deployment)
        self.cold.install_rules(view.list_cold_rules())
        self.gate.install(list_deployment_limits(deployment))
        routes = {route.name for route in deployment.routes}
        self.parts.hedge_delay.drop_unconfigured(routes)
        self.health.drop_unconfigured(routes)
        self._update_limits_leader()
        # Last, since a version that is in force is not installed again.
        self.view = view
        delivery = self.member.membership.agent.delivery
        self._logger.notice(
            "configuration in force",
            extra={
                "number": deployment.number,
                "version": replica.version,
                "sender": delivery.sender,
                "whole_state": delivery.whole,
                "awaited_ms": round(delivery.awaited_s * MS_PER_S),
                "fetched_ms": round(delivery.fetched_s * MS_PER_S),
                "installed_ms": round((self.clock() - delivery.at) * MS_PER_S),
                "routes": len(deployment.routes),
                "customers": len(deployment.customers),
            },
        )

    # Requests.

    async def serve(self, exchange: Exchange) -> None:
        """Answer one request of a caller."""
        trace = RequestTrace("", self.clock())
        self.in_flight += 1
        try:
            await self.drain_gate.run(
                lambda: self._serve_traced(exchange, trace),
                lambda: trace.sent_at is not None,
            )
        except BurdockwallError as error:
            trace.code = error.code.value.number
            trace.detail = error.detail
            if exchange.started or error.code is Code.CALLER_GONE:
                raise
            await self._refuse(exchange, error, trace)
        except Exception as error:
            trace.code = Code.INTERNAL.value.number
            trace.detail = type(error).__name__
            self._logger.exception("request failed", extra={"request": trace.request})
            if exchange.started:
                raise
            refused = RequestRefused(Code.INTERNAL, trace.detail)
            await self._refuse(exchange, refused, trace)
        finally:
            self.in_flight -= 1
            self._record(trace)

    async def _serve_traced(self, exchange: Exchange, trace: RequestTrace) -> None:
        request = self.codec.read_request(exchange)
        trace.request = request.request
        trace.program = request.program or ""
        if request.resumption is not None:
            trace.resumed_from = request.resumption.begun_by or ""
            trace.last_event = request.resumption.last_event
        await self._await_startup(request)
        view = self.view
        if view is None:
            raise RequestRefused(Code.NOT_READY, retry_after_s=NOT_READY_RETRY_S)
        trace.configuration = view.number
        route = view.find_route(request.host, request.path)
        if route is None:
            raise self._deny(Code.NO_ROUTE, f"{request.host} {request.path}")
        trace.route = route.name
        customer = self._authenticate(view, route, request)
        if customer is not None:
            trace.customer = customer.name
        expires_at = compute_expiry(route, request, trace.started_at)
        self.drain_gate.check(expires_at)
        body = await exchange.read_body(
            view.deployment.limits.body_bytes,
            customer.name if customer is not None else "",
            expires_at - self.clock(),
        )
        # The shutdown may have begun while the body came.
        self.drain_gate.check(expires_at)
        forwarding = Forwarding(
            self.parts, view, exchange, request, route, customer, body, trace
        )

        async def run() -> None:
            await self._forward_or_relay(forwarding, body)

        await run_while_connected(exchange, run)

    async def _await_startup(self, request: ForwardedRequest) -> None:
        """Wait for configuration, endpoints and rates if this instance just started."""
        if self._startup_ended.is_set():
            return
        age_s = self.clock() - self._started_at
        with anyio.move_on_after(compute_startup_wait_s(age_s, request.deadline_s)):
            await self._startup_ended.wait()

    async def _forward_or_relay(self, forwarding: Forwarding, body: bytes) -> None:
        """Serve a request here or, while this instance is cut off, through a peer."""
        if not self.reach.cut_off:
            try:
                await forwarding.run()
                return
            except RequestRefused as error:
                if not self._may_relay(forwarding, error):
                    raise
        if forwarding.request.relayed:
            raise RequestRefused(Code.CUT_OFF, retry_after_s=CUT_OFF_RETRY_S)
        await self.peer_relay.serve(
            forwarding.exchange,
            forwarding.request,
            body,
            forwarding.expires_at,
            forwarding.trace,
        )

    def _may_relay(self, forwarding: Forwarding, error: RequestRefused) -> bool:
        """Return whether a request that was refused here may go to a peer.

        A turn may not: the stores have a reservation of it, which a peer would share.
        """
        has_not_run = error.code is Code.NO_ENDPOINT
        return self.reach.cut_off and has_not_run and forwarding.turn is None

    def _authenticate(
        self, view: DeploymentView, route: HostRoute, request: ForwardedRequest
    ) -> HostCustomer | None:
        if route.open or not view.deployment.customers:
            return None
        if request.key is None:
            raise self._deny(Code.KEY_MISSING)
        customer = view.find_customer(compute_digest(request.key))
        if customer is None:
            raise self._deny(Code.KEY_REFUSED)
        return customer

    def _deny(self, code: Code, detail: str = "") -> RequestRefused:
        """Build the refusal of what the configuration in force does not allow.

        Another one may allow it if this instance may have missed it.
        """
        valid_s = self.settings.denial_valid_ms / MS_PER_S
        current_at = self.member.membership.agent.lease.current_at
        current = not valid_s or self.clock() - current_at < valid_s
        if current and not self.member.is_behind():
            return RequestRefused(code, detail)
        detail = f"{code.value.meaning} {detail}".strip()
        return RequestRefused(Code.OUTDATED, detail, NOT_READY_RETRY_S)

    async def _admit_at_owner(self, customer: CustomerId, request: RateRequest) -> None:
        await self.limits.admit(customer, REQUEST_COST, request=request)

    def _update_limits_leader(self) -> None:
        """Use the current leader of the control state as the owner of all rates."""
        agent = self.member.membership.agent
        leader = agent.path.leader
        if leader is None or (leader, agent.term) == self._limits_leader:
            return
        shards = build_leader_shards(leader, agent.term)
        self.limits.install_shards(shards)
        self._limits_leader = (leader, agent.term)
        self._logger.notice(
            "rate owner changed", extra={"leader": leader, "term": agent.term}
        )

    def _update_endpoint_limits(self) -> None:
        """Use the current leader and the list's limited endpoints."""
        agent = self.member.membership.agent
        self.endpoint_limits.install_owner(
            agent.path.leader,
            agent.term,
            self._count_live_members(),
            self._count_members(),
            self._list_peers(),
        )
        self.versions.install_leader(agent.path.leader)
        self.endpoint_limits.install_listed(self.endpoints.limited)
        self.health.install_leader(agent.path.leader)

    async def _ask_health(self, endpoint: ListedEndpoint) -> float | None:
        if self.view is None:
            return None
        path = self.view.get_service(endpoint.service).health_path
        return await ask_health(self.codec, endpoint, path)

    async def _refuse(
        self, exchange: Exchange, error: BurdockwallError, trace: RequestTrace
    ) -> None:
        refusal = self.codec.build_refusal(error, trace.request)
        trace.status = refusal.status
        headers = list(refusal.headers)
        if self.drain.leaving or self.reach.cut_off:
            headers.append(CLOSE)
        await exchange.answer(refusal.status, headers, refusal.body)

    def _record(self, trace: RequestTrace) -> None:
        now = self.clock()
        self.metrics.record_request(trace, now)
        self._logger.info("request ended", extra=trace.describe(now))

    # Settlements.

    def _settle_later(self, start: TurnStart, outcome: TurnOutcome) -> None:
        self._pending_settlements.append((start, outcome))
        self._settle_due.set()

    async def _run_settlements(self) -> None:
        jobs = Jobs(self.member.bus.failures)
        async with jobs.open():
            while True:
                await self._settle_due.wait()
                self._settle_due = anyio.Event()
                settling, self._pending_settlements = self._pending_settlements, []
                for start, outcome in settling:
                    jobs.start(self._settle_turn, start, outcome)

    async def _settle_turn(self, start: TurnStart, outcome: TurnOutcome) -> None:
        if not await self.turn_client.end(start, outcome):
            # The reservation stays, so the turn is charged with its maximum.
            self._logger.warning(
                "turn not settled",
                extra={
                    "request": start.turn,
                    "program": start.program,
                    "tokens": outcome.tokens,
                },
            )

    # Readiness and shutdown.

    def is_ready(self) -> bool:
        """Return whether callers should connect here."""
        prepared = (
            self.view is not None
            and self.endpoints.list_received
            and self._limits_leader is not None
            and bool(self.turn_client.calls.view.members)
        )
        return prepared and not self.drain.leaving and not self.reach.cut_off

    def _join_directory(self) -> None:
        """Let the directory give out this instance once it can serve callers."""
        if self._directory_joined or not self.is_ready():
            return
        self._directory_joined = True
        self._startup_ended.set()
        self.member.membership.start_serving()
        self._logger.notice("ready for callers")

    def _follow_reach(self, cut_off: bool) -> None:
        """Take this instance out of the directory while it reaches no endpoint."""
        self.health.forget_failures()
        if not cut_off:
            self.balancer.forget_failures()
        if self.drain.leaving or not self._directory_joined:
            return
        if cut_off:
            self.member.membership.start_leaving()
        else:
            self.member.membership.start_serving()

    async def serve_ready(self, exchange: Exchange) -> None:
        """Answer 200 if callers should connect here, else 503."""
        await exchange.answer(200 if self.is_ready() else 503, [], b"")

    def _perform_drain(self, action: DrainAction) -> None:
        match action:
            case EndRequests():
                self.drain_gate.end_requests()
            case StopServing(interrupted=interrupted):
                extra = {"cut_off": interrupted}
                self._logger.notice("stopped serving", extra=extra)
                self.ended.set()

    async def _drain_on_stop(self) -> None:
        await self.member.stopping.wait()
        self.member.host.apply(self._hosted_drain, plan_drain(self.settings))
        self.member.membership.start_leaving()

    async def _run_periodic_work(self) -> None:
        expire_at = self.clock() + EXPIRE_INTERVAL_S
        while True:
            starting = self.clock() - self._started_at < STARTUP_PERIOD_S
            interval_s = STARTUP_INTERVAL_S if starting else PERIODIC_INTERVAL_S
            due_at = self.clock() + interval_s
            await anyio.sleep(interval_s)
            now = self.clock()
            self.member.supervisor.attempt(
                self._update_limits_leader,
                self._update_endpoint_limits,
                lambda: self.reach.install(self.endpoints.addresses),
                lambda: self.crashes.install_instances(self._list_live_instances()),
                self._join_directory,
            )
            self.metrics.record_lag(max(0.0, now - due_at))
            if self.drain.state is not DrainState.SERVING:
                in_flight = RequestsInFlight(
                    self.in_flight + len(self._pending_settlements)
                )
                self.member.host.apply(self._hosted_drain, in_flight)
            if now >= expire_at:
                expire_at = now + EXPIRE_INTERVAL_S
                await self.upstreams.expire()
                await self.peer_relay.upstreams.expire()
                self.turn_client.refresh()
                self.balancer.drop_unlisted(self.endpoints.list_names())
                self.parts.unreadable_loads.retain(self.endpoints.list_names())
                self.endpoint_limits.retain(self.endpoints.list_names())

    async def run(self, path: Path | None) -> None:
        """Serve until stopped; requests in flight end first."""
        tasks = [
            self._run_settlements,
            self.reach.run,
            self.crashes.run,
            self._drain_on_stop,
            self._run_periodic_work,
        ]
        servers = [self._serve_readiness, self._serve_callers]
        await self.member.run(path, tasks, servers)

    async def _serve_callers(self) -> None:
        options = self.member.machine.create_options(
            PortKind.CALLERS, self._get_connection_limits
        )
        address = self.settings.caller_address
        await serve_address(address, self.serve, self.ended, STOP_GRACE_S, options)

    def _get_connection_limits(self) -> ConnectionLimits:
        """Return the limits of the configuration in force."""
        if self.view is None:
            return ConnectionLimits(
                idle_s=STARTUP_IDLE_S, body_silence_s=STARTUP_IDLE_S
            )
        limits = self.view.deployment.limits
        return ConnectionLimits(
            limits.idle_s,
            limits.head_s,
            limits.head_bytes + FIRST_LINE_BYTES,
            limits.idle_s,
        )

    async def _serve_readiness(self) -> None:
        address = self.settings.ready_address
        if address:
            options = self.member.machine.create_options(PortKind.MONITORS)
            await serve_address(
                address, self.serve_ready, self.ended, STOP_GRACE_S, options
            )
