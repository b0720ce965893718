"""Forward a caller's request to an endpoint, and the answer back to the caller.

An unrepeatable request is sent to another endpoint only if it provably did not run: no
connection was made, or the endpoint answered that it did not run it. A turn is stored
before the end of its answer is sent.
"""

from collections.abc import Callable

import anyio
import logbook
from msgspec.structs import replace

from burdockwall.connection.exchange import CLOSE, Exchange, Headers
from burdockwall.connection.memory import Collector
from burdockwall.connection.upstream import (
    AnswerHead,
    ConnectFailed,
    ConnectionBroken,
    UpstreamConnection,
)
from burdockwall.errors import Code, RequestRefused
from burdockwall.process.endpoints import ListedEndpoint
from burdockwall.process.storage.calls import TurnOutcome, TurnStart
from burdockwall.process.storage.client import TurnChain
from burdockwall.request.attempt_health import AttemptHealth
from burdockwall.request.codec import (
    AnswerDetails,
    AttemptDetails,
    ForwardedRequest,
)
from burdockwall.request.crash_guard import CrashGuard
from burdockwall.request.endpoint_choice import (
    EndpointChoice,
    NoEndpoint,
    PermitMissing,
)
from burdockwall.request.events import (
    EVENT_END,
    EventSplitter,
    EventTooLong,
    join_event_data,
)
from burdockwall.request.fingerprint import compute_fingerprint
from burdockwall.request.forwarding_parts import ForwardingParts
from burdockwall.request.program_kind import describe_rate_request
from burdockwall.request.progress import AnswerLost, NotRun, Progress
from burdockwall.request.stream_binding import RETRY_AFTER_S, StreamBinding
from burdockwall.request.trace import MS_PER_S, RequestTrace
from burdockwall.request.work import describe_work
from burdockwall.types import CustomerId, Ran, TurnId
from burdockwall.version.deployment import (
    DeploymentView,
    HostCustomer,
    HostRoute,
    HostService,
    RequestKind,
)

# A request times out this long before the route's timeout, so that its refusal reaches
# the caller in time.
TIMEOUT_MARGIN_S = 0.03
# After this many endpoints that did not run a request, its caller is refused.
MAX_ENDPOINT_REFUSALS = 3
STATUS_OK = range(200, 300)
ANSWER_LIMIT_BYTES = 16_777_216
# Room is drawn for events that grow by more than this before they end.
SPLIT_BYTES = 65_536
# The owner of turns on routes that need no key.
ANONYMOUS_CUSTOMER = CustomerId("")
_logger = logbook.Logger("front")


def compute_expiry(
    route: HostRoute, request: ForwardedRequest, started_at: float
) -> float:
    """Return the time at which a request must have its answer."""
    limit_s = route.timeout_s - TIMEOUT_MARGIN_S
    if request.deadline_s is not None:
        limit_s = min(limit_s, request.deadline_s)
    return started_at + limit_s


def find_affinity(request: ForwardedRequest, route: HostRoute, is_engine: bool) -> str:
    """Return what requests share that go to one endpoint, or an empty text.

    It is the object on a sticky route, else the program at engines.
    """
    if route.sticky and request.affinity:
        return request.affinity
    return (request.program or "") if is_engine else ""


def _create_guard(
    parts: ForwardingParts, owner: CustomerId, request: ForwardedRequest, body: bytes
) -> CrashGuard:
    # It does not refer to the forwarding, so that bodies are freed with that at once.
    return CrashGuard(
        parts.crashes,
        lambda: compute_fingerprint(owner, request.method, request.target, body),
    )


class Forwarding:
    """The forwarding of one request, in one or several attempts."""

    def __init__(
        self,
        parts: ForwardingParts,
        view: DeploymentView,
        exchange: Exchange,
        request: ForwardedRequest,
        route: HostRoute,
        customer: HostCustomer | None,
        body: bytes,
        trace: RequestTrace,
    ) -> None:
        self.parts = parts
        self.view = view
        self.exchange = exchange
        self.request = request
        self.route = route
        self.customer = customer
        self.trace = trace
        self.progress = Progress()
        self.binding = StreamBinding(parts.endpoints, request, route)
        self.binding.regions = parts.regions.find_allowed(route, customer)
        engine = view.get_service(self.binding.service).engine
        is_engine = engine is not None
        self.choice = EndpointChoice(
            self.binding,
            parts.balancer,
            parts.endpoint_limits,
            parts.clock,
            find_affinity(request, route, is_engine),
            describe_work(request, route, customer, len(body), engine),
        )
        self.body = body
        self.owner = customer.name if customer else ANONYMOUS_CUSTOMER
        self.guard = _create_guard(parts, self.owner, request, body)
        self.turn: TurnStart | None = None
        self.expires_at = compute_expiry(route, request, trace.started_at)

    def _get_remaining_s(self) -> float:
        return self.expires_at - self.parts.clock()

    async def run(self) -> None:
        """Answer the caller, or raise RequestRefused.

        The code tells whether the request provably did not run or may have run.
        """
        with anyio.move_on_after(max(0.0, self._get_remaining_s())) as scope:
            await self._run_request()
        if not scope.cancelled_caught:
            return
        if self.progress.runs:
            raise RequestRefused(Code.OUTCOME_UNKNOWN, "the time is over")
        raise RequestRefused(Code.DEADLINE_UNMET, retry_after_s=RETRY_AFTER_S)

    async def _run_request(self) -> None:
        self.guard.check()
        if self.binding.resumption is None:
            self._check_limits(self.choice.check)
        start = self._describe_turn()
        if start is None:
            await self._admit(None)
            await self._run_attempts()
            return
        self.turn = start
        prompt = self.body
        try:
            chain = await self.parts.turn_client.begin(start)
            if self.binding.resumption is not None:
                await self.binding.resume(
                    chain.place, self.trace.started_at, self.parts.confirm_version
                )
                self._check_limits(self.choice.check_evacuated)
            await self._join_chain(chain, prompt)
            if chain.other_group:
                # The turn's own stores lack the chain, so it is stored with the turn.
                self.turn = replace(start, previous=None)
                prompt = self.body
            # The request is admitted only after the turn has begun, so that a turn that
            # the stores refuse, for example for its budget, uses none of the rate.
            await self._admit(chain)
            await self._run_attempts(prompt)
        finally:
            if not self.progress.settled:
                outcome = TurnOutcome(self.progress.tokens, False)
                self.parts.settle_later(start, outcome)

    async def _join_chain(self, chain: TurnChain, prompt: bytes) -> None:
        if not chain.links:
            return
        texts = [text for link in chain.links for text in (link.prompt, link.answer)]
        # The links themselves are held until the request ends, too.
        size = sum(len(text) for text in texts)
        await self._draw(2 * size + len(prompt))
        self.body = b"".join([*texts, prompt])

    async def _draw(self, size_bytes: int) -> None:
        """Take room for bytes, or raise a refusal that says whether it has run."""
        try:
            await self.exchange.draw(size_bytes)
        except RequestRefused as error:
            self.progress.last_failure = error.detail
            raise self._build_refusal(error.code) from error

    def _check_limits(self, check: Callable[[], None]) -> None:
        """Refuse a request at once that no endpoint may be sent now."""
        try:
            check()
        except NoEndpoint as error:
            raise self._refuse_unplaced(error) from error

    def _describe_turn(self) -> TurnStart | None:
        """Describe the request as a turn, or return None if no store need know it."""
        if self.route.kind is not RequestKind.STREAM:
            return None
        details = self.request.turn or self.binding.describe_stream()
        if details is None:
            return None
        place = None
        if self.binding.is_recorded:
            place = self.binding.predict(self.choice.predict())
        return TurnStart(
            customer=self.owner,
            program=details.program,
            turn=TurnId(self.request.request),
            previous=details.previous if self.route.retains_turns else None,
            tokens=details.tokens,
            budget=details.budget,
            retention_s=self.route.retention_s,
            needs_chain=self.route.retains_turns,
            place=place,
            resumes=self.binding.begun_by,
            stream_s=self.binding.stream_s,
            prompt_bytes=len(self.body) if self.route.retains_turns else 0,
        )

    async def _admit(self, chain: TurnChain | None) -> None:
        """Wait until the customer's rate admits it, or raise RequestRefused."""
        if self.trace.begun_at is None:
            self.trace.begun_at = self.parts.clock()
        if self.customer is not None:
            request = describe_rate_request(
                self.request,
                self.route,
                chain,
                self._get_remaining_s(),
                self.parts.program_wait_s,
            )
            self.trace.rate_kind = request.kind.name.lower()
            admission = await self.parts.admit(self.customer.name, request)
            self.trace.admission = admission.value
        self.trace.admitted_at = self.parts.clock()

    # Choosing endpoints and sending.

    async def _run_attempts(self, prompt: bytes = b"") -> None:
        service = self.view.get_service(self.binding.service)
        while True:
            endpoint = await self._choose()
            self.guard.check()
            if self.turn is not None:
                await self.binding.record(self.parts.turn_client, self.turn, endpoint)
            try:
                await self._attempt(endpoint, service, prompt)
                return
            except PermitMissing:
                continue
            except NotRun as error:
                self._record_failure(endpoint, error)
                self.progress.refusals += 1
                refused = self.progress.refusals >= MAX_ENDPOINT_REFUSALS
                if refused or self.parts.reach.cut_off:
                    raise self._build_refusal(Code.NO_ENDPOINT) from error
            except AnswerLost as error:
                self._record_failure(endpoint, error)
                self._record_broken(endpoint, error)
                may_retry = self.progress.runs < self.route.max_attempts
                if self.exchange.started or not self.route.repeatable or not may_retry:
                    raise self._build_refusal(Code.ENDPOINT_FAILED) from error

    def _record_failure(self, endpoint: ListedEndpoint, error: Exception) -> None:
        self.choice.excluded.add(endpoint.name)
        self.progress.last_failure = str(error)
        self.trace.failures.append(f"{endpoint.name}: {error}")

    def _record_broken(self, endpoint: ListedEndpoint, error: AnswerLost) -> None:
        self.trace.fingerprint = self.guard.identify().hex()
        if error.closed and self.trace.sent_at is not None:
            self.guard.record_broken(
                endpoint.name,
                endpoint.address,
                endpoint.started_ms,
                self.trace.sent_at,
            )

    def _build_refusal(
        self, code: Code, retry_after_s: float = RETRY_AFTER_S
    ) -> RequestRefused:
        """Build a refusal, whose code never denies that the request may have run."""
        if self.progress.runs and code.value.ran is Ran.NOT_RUN:
            code = Code.ENDPOINT_FAILED
        return RequestRefused(code, self.progress.last_failure, retry_after_s)

    async def _choose(self) -> ListedEndpoint:
        try:
            return await self.choice.choose()
        except NoEndpoint as error:
            raise self._refuse_unplaced(error) from error

    def _refuse_unplaced(self, error: NoEndpoint) -> RequestRefused:
        self.progress.last_failure = str(error) or self.progress.last_failure
        return self._build_refusal(error.code, error.retry_after_s)

    async def _attempt(
        self, endpoint: ListedEndpoint, service: HostService, prompt: bytes
    ) -> None:
        parts = self.parts
        limit = service.max_connections // max(1, parts.count_instances())
        try:
            connection = await parts.upstreams.acquire(endpoint.address, limit)
        except ConnectFailed as error:
            parts.balancer.record_failure(endpoint.name, parts.clock())
            if error.refused:
                parts.endpoint_limits.suspect(endpoint.name)
            parts.health.record_failed(endpoint.name, parts.clock())
            raise NotRun(str(error)) from error
        try:
            self.choice.check_permit(endpoint.name)
        except PermitMissing:
            await parts.upstreams.release(endpoint.address, connection, True, None)
            raise
        is_reusable, details = False, None
        seen = AttemptHealth(parts.health, parts.clock, endpoint.name, self.route.name)
        parts.balancer.record_work_start(endpoint.name, self.choice.work, parts.clock())
        parts.reach.record_sent()
        self.trace.endpoint = endpoint.name
        self._describe_placement()
        self.trace.software = endpoint.software
        try:
            self._check_evacuated(endpoint)
            head = await self._send_with_timeout(connection, endpoint)
            parts.reach.record_heard()
            seen.record_head()
            details = parts.codec.read_answer(head)
            self.trace.rate_limit_per_s = details.rate_limit_per_s
            if details.leaving:
                self._record_leaving(endpoint)
            if not details.misdirected:
                rate_per_s = details.rate_limit_per_s
                parts.endpoint_limits.observe(endpoint.name, rate_per_s)
                parts.endpoint_limits.observe_cold(endpoint.name, details.cold_left_s)
                self._record_load(endpoint, details)
            await self._handle_answer(connection, head, details, prompt, seen)
            parts.balancer.record_success(endpoint.name)
            seen.record_answered(head.status)
            if head.status in STATUS_OK:
                self.choice.work.completed = True
            self.guard.record_answered()
            is_reusable = not details.closes
        except ConnectionBroken as error:
            parts.balancer.record_failure(endpoint.name, parts.clock())
            if error.closed:
                parts.endpoint_limits.suspect(endpoint.name)
            seen.stop_wait()
            seen.record_failed()
            raise AnswerLost(str(error), error.closed) from error
        except NotRun:
            seen.record_refused(details, endpoint.slots)
            is_reusable = details is not None and not details.closes
            raise
        finally:
            seen.record_end(self._get_remaining_s() <= 0.0)
            parts.balancer.record_work_end(
                endpoint.name, self.choice.work, parts.clock()
            )
            parts.reach.record_ended()
            with anyio.CancelScope(shield=True):
                await parts.upstreams.release(
                    endpoint.address,
                    connection,
                    is_reusable,
                    details.idle_s if details else None,
                )

    def _check_evacuated(self, endpoint: ListedEndpoint) -> None:
        """Raise NotRun if the order came after the endpoint was chosen.

        Permits, the record of a stream and connecting take time in between.
        """
        if self.parts.endpoints.is_evacuated(endpoint):
            raise NotRun(f"{endpoint.failure_domain} was evacuated")

    def _describe_placement(self) -> None:
        expected = self.choice.work.expected
        if expected is not None:
            self.trace.placement = expected.reason
            self.trace.expected_ms = round(expected.total_s * MS_PER_S, 1)

    def _record_load(self, endpoint: ListedEndpoint, details: AnswerDetails) -> None:
        parts = self.parts
        if details.load is not None:
            parts.balancer.record_report(endpoint.name, details.load, parts.clock())
        if details.unreadable_load is not None:
            parts.unreadable_loads.record(endpoint, details.unreadable_load)

    def _record_leaving(self, endpoint: ListedEndpoint) -> None:
        if self.parts.endpoints.record_leaving(endpoint):
            extra = {"endpoint": endpoint.name, "request": self.request.request}
            _logger.notice("endpoint said that it leaves", extra=extra)

    async def _send_with_timeout(
        self, connection: UpstreamConnection, endpoint: ListedEndpoint
    ) -> AnswerHead:
        """Send the request and read the head of its answer.

        If another attempt and endpoint are left and the answer takes longer than the
        hedge delay of the route, raise ConnectionBroken, so that the other is tried.
        """
        route, hedge_delay = self.route, self.parts.hedge_delay
        timeout_s = None
        may_retry = self.progress.runs + 1 < route.max_attempts
        repeatable = route.repeatable and route.kind is not RequestKind.STREAM
        if repeatable and may_retry and self.choice.has_other(endpoint):
            timeout_s = hedge_delay.compute_delay_s(route.name)
        started_at = self.parts.clock()
        with anyio.move_on_after(timeout_s) as scope:
            head = await self._send(connection, endpoint)
        elapsed_s = self.parts.clock() - started_at
        # An attempt that timed out is recorded with the time waited, so that the delay
        # soon grows on a route whose answers have become slow.
        hedge_delay.record(route.name, elapsed_s)
        if scope.cancelled_caught:
            raise ConnectionBroken(f"no answer for {elapsed_s:.2f} s")
        return head

    async def _send(
        self, connection: UpstreamConnection, endpoint: ListedEndpoint
    ) -> AnswerHead:
        customer = self.customer
        rank = self.route.rank
        if customer is not None and customer.rank is not None:
            rank = customer.rank
        attempt = AttemptDetails(
            endpoint,
            self._get_remaining_s(),
            customer.name if customer else None,
            rank,
            len(self.body),
        )
        request = self.request
        headers = self.parts.codec.build_headers(request, attempt)
        self.progress.runs += 1
        self.trace.sent_at = self.parts.clock()
        await connection.send(request.method, request.target, headers, self.body)
        head = await connection.read_head(
            lambda received: self.parts.codec.identify_answer(request, received)
        )
        self.trace.extra_answers = connection.skipped_count
        return head

    # Reading answers and sending them to the caller.

    async def _handle_answer(
        self,
        connection: UpstreamConnection,
        head: AnswerHead,
        details: AnswerDetails,
        prompt: bytes,
        seen: AttemptHealth,
    ) -> None:
        if details.ran and head.status in STATUS_OK and not details.signed:
            raise ConnectionBroken(f"answered {head.status} without a signature")
        is_stream = self.route.kind is RequestKind.STREAM
        if details.ran and is_stream and head.status in STATUS_OK:
            await self._relay_stream(connection, head, prompt, seen)
            return
        seen.start_wait()
        body = await connection.read_body(ANSWER_LIMIT_BYTES, self._draw)
        seen.stop_wait()
        if not details.ran:
            self.progress.runs -= 1
            raise NotRun(f"answered {head.status}, not run")
        if details.contradicts:
            raise ConnectionBroken(f"answered {head.status}, perhaps run")
        self.trace.status = head.status
        self.trace.first_byte_at = self.parts.clock()
        await self.exchange.answer(head.status, self._build_headers(head), body)

    def _build_headers(self, head: AnswerHead) -> Headers:
        headers = self.parts.codec.select_headers(head)
        if self.parts.is_leaving():
            headers.append(CLOSE)
        return headers

    async def _start_stream(self, head: AnswerHead) -> None:
        self.trace.status = head.status
        await self.exchange.start(head.status, self._build_headers(head))

    async def _relay_stream(
        self,
        connection: UpstreamConnection,
        head: AnswerHead,
        prompt: bytes,
        seen: AttemptHealth,
    ) -> None:
        splitter = EventSplitter()
        answer = Collector(self._draw)
        partial_bytes = 0
        event_tokens = self._get_event_tokens()
        while True:
            seen.start_wait()
            part = await connection.read_part()
            seen.stop_wait()
            if part is None:
                break
            self.parts.reach.record_heard()
            try:
                events = splitter.feed(part)
            except EventTooLong as error:
                raise ConnectionBroken("an event of the stream has no end") from error
            if splitter.partial_bytes > partial_bytes + SPLIT_BYTES:
                await self._draw(2 * (splitter.partial_bytes - partial_bytes))
                partial_bytes = splitter.partial_bytes
            if not events:
                continue
            self.progress.tokens += events.count(EVENT_END) * event_tokens
            if self.route.retains_turns:
                await answer.add(join_event_data(events))
            if not self.exchange.started:
                self.trace.first_byte_at = self.parts.clock()
                await self._start_stream(head)
            await self.exchange.write(events)
        if splitter.has_partial:
            raise ConnectionBroken("the stream ended within an event")
        if not self.exchange.started:
            raise ConnectionBroken("the stream ended before its first event")
        await self._store_turn(prompt, answer.join())
        await self.exchange.finish()

    def _get_event_tokens(self) -> int:
        for share in self.route.shares:
            engine = self.view.get_service(share.service).engine
            if engine is not None:
                return engine.event_tokens
        return 0

    async def _store_turn(self, prompt: bytes, answer: bytes) -> None:
        if self.turn is None:
            return
        texts = (prompt, answer) if self.route.retains_turns else (b"", b"")
        # The rest of a stream that was taken up is not the whole text of its turn.
        is_whole = self.binding.resumption is None or not self.route.retains_turns
        outcome = TurnOutcome(self.progress.tokens, is_whole, *texts)
        self.trace.answered_at = self.parts.clock()
        if not await self.parts.turn_client.end(self.turn, outcome):
            raise RequestRefused(Code.TURN_NOT_STORED)
        self.progress.settled = True
