"""Serve a request through another entry instance while this one reaches no endpoint.

The peer serves it like any other: it authenticates, admits and places it. A request
takes one hop at most, since the peer relays none that is marked as relayed. It is sent
to one peer only; a peer that took no connection has not been sent it.
"""

from collections.abc import Callable

import anyio
import logbook
import msgspec

from burdockwall.connection.exchange import CLOSE, Exchange
from burdockwall.connection.upstream import (
    AnswerHead,
    ConnectFailed,
    ConnectionBroken,
    UpstreamConnection,
)
from burdockwall.connection.upstream_pools import UpstreamPools
from burdockwall.errors import Code, RequestRefused
from burdockwall.process.resolver import EntryInstance
from burdockwall.process.scheduling.peer_choice import PeerChoice
from burdockwall.request.codec import ForwardedRequest, RelayCodec
from burdockwall.request.trace import RequestTrace
from burdockwall.types import InstanceId

MAX_PEERS = 2
MAX_CONNECTIONS_PER_PEER = 64
RETRY_AFTER_S = 0.1
BODY_LIMIT_BYTES = 16_777_216
EVENT_STREAM = b"text/event-stream"
_logger = logbook.Logger("relay")


class PeerRelay(msgspec.Struct):
    """Passes requests on to peers, and their answers back."""

    codec: RelayCodec
    upstreams: UpstreamPools
    choice: PeerChoice
    list_members: Callable[[], list[EntryInstance]]
    clock: Callable[[], float]

    async def serve(
        self,
        exchange: Exchange,
        request: ForwardedRequest,
        body: bytes,
        expires_at: float,
        trace: RequestTrace,
    ) -> None:
        """Answer the caller with a peer's answer, or raise RequestRefused."""
        trace.admission = "peer"
        with anyio.move_on_after(max(0.0, expires_at - self.clock())) as scope:
            await self._serve_in_time(exchange, request, body, expires_at, trace)
        if not scope.cancelled_caught:
            return
        if trace.sent_at is not None:
            raise RequestRefused(Code.OUTCOME_UNKNOWN, "the time is over")
        raise RequestRefused(Code.DEADLINE_UNMET, retry_after_s=RETRY_AFTER_S)

    async def _serve_in_time(
        self,
        exchange: Exchange,
        request: ForwardedRequest,
        body: bytes,
        expires_at: float,
        trace: RequestTrace,
    ) -> None:
        peer, connection = await self._connect()
        trace.endpoint = peer.instance
        reusable = False
        self.choice.record_start(peer.instance)
        try:
            remaining_s = expires_at - self.clock()
            headers = self.codec.build_relay_headers(request, remaining_s, len(body))
            trace.sent_at = self.clock()
            await connection.send(request.method, request.target, headers, body)
            head = await connection.read_head(
                lambda received: self.codec.identify_answer(request, received)
            )
            await self._pass_on(exchange, connection, head, trace)
            reusable = not self.codec.read_answer(head).closes
        except ConnectionBroken as error:
            raise RequestRefused(Code.ENDPOINT_FAILED, str(error)) from error
        finally:
            self.choice.record_end(peer.instance)
            with anyio.CancelScope(shield=True):
                await self.upstreams.release(peer.address, connection, reusable, None)

    async def _connect(self) -> tuple[EntryInstance, UpstreamConnection]:
        excluded: set[InstanceId] = set()
        for _ in range(MAX_PEERS):
            peer = self.choice.choose(self.list_members(), self.clock(), excluded)
            if peer is None:
                break
            try:
                connection = await self.upstreams.acquire(
                    peer.address, MAX_CONNECTIONS_PER_PEER
                )
                return peer, connection
            except ConnectFailed as error:
                excluded.add(peer.instance)
                self.choice.record_failure(peer.instance, self.clock())
                extra = {"peer": peer.instance, "error": str(error)}
                _logger.warning("peer took no connection", extra=extra)
        raise RequestRefused(Code.CUT_OFF, retry_after_s=RETRY_AFTER_S)

    async def _pass_on(
        self,
        exchange: Exchange,
        connection: UpstreamConnection,
        head: AnswerHead,
        trace: RequestTrace,
    ) -> None:
        """Pass the parts of an answer on as they come.

        An answer that breaks off is broken off here too, so it never looks complete.
        """
        trace.status = head.status
        # The caller's next connection should be to an instance that is not cut off.
        headers = [*self.codec.select_headers(head), CLOSE]
        if not is_stream(head):
            body = await self._read_body(exchange, connection)
            trace.first_byte_at = self.clock()
            await exchange.answer(head.status, headers, body)
            return
        trace.first_byte_at = self.clock()
        await exchange.start(head.status, headers)
        while (part := await connection.read_part()) is not None:
            if part:
                await exchange.write(part)
        await exchange.finish()

    async def _read_body(
        self, exchange: Exchange, connection: UpstreamConnection
    ) -> bytes:
        try:
            return await connection.read_body(BODY_LIMIT_BYTES, exchange.draw)
        except RequestRefused as error:
            # The peer may have run it.
            raise RequestRefused(Code.ENDPOINT_FAILED, error.detail) from error


def is_stream(head: AnswerHead) -> bool:
    """Return whether an answer is a stream of events."""
    return any(
        name == b"content-type" and value.startswith(EVENT_STREAM)
        for name, value in head.headers
    )
