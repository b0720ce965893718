"""Send messages between instances over one grpclib stream in each direction.

Delivery is best effort: a message may be lost when a connection is replaced, so the
state machines repeat messages that must arrive. A connection without an
acknowledgement for `silence_s` is replaced by a new one.
"""

import ssl
from collections.abc import Callable
from typing import cast

import anyio
import anyio.abc
import grpclib.client
import grpclib.const
import grpclib.server
import logbook
from grpclib.exceptions import GRPCError, StreamTerminatedError

from burdockwall.connection.address import split_address
from burdockwall.connection.memory import (
    MemoryAccount,
    PatientRoom,
    Share,
    create_default_account,
)
from burdockwall.connection.message_queue import MessageQueue, measure_bytes
from burdockwall.connection.peer_bounds import (
    COPIES_OF_BATCH,
    UNCOUNTED_BYTES,
    bound_answers,
    bound_messages,
    create_bounded_server,
    create_peer_connections,
    measure_texts,
)
from burdockwall.connection.tls import PeerContexts
from burdockwall.connection.wire import (
    ANSWERS_PROTOCOL,
    PROTOCOL,
    Acknowledgement,
    AnyMessage,
    Envelope,
    MessagePackCodec,
    UnreadableFrame,
)
from burdockwall.machine import Message
from burdockwall.process.failures import Failures
from burdockwall.types import Address, Incarnation, InstanceId

EXCHANGE_METHOD = "/burdockwall.Peer/Exchange"
MAX_BATCH_MESSAGES = 256
# A larger message has a batch of its own.
MAX_BATCH_BYTES = 1_048_576
# A batch may take as long as a link of this rate needs, beside the silence bound.
LEAST_BYTES_PER_S = 1_000_000
# A larger batch is logged with the time that its acknowledgement took.
LOGGED_BATCH_BYTES = 65_536
MS_PER_S = 1000
# The sender of a batch waits for its acknowledgement, whatever that carries.
MAX_ANSWERS_BYTES = 16_384
# How long an acknowledgement waits for answers that follow a write. Later messages of
# the sender wait behind it.
MAX_HOLD_S = 0.02
RECONNECT_FIRST_S = 0.02
RECONNECT_LIMIT_S = 0.1
# A machine that is off does not answer an attempt to connect. It may be back soon, so
# the first attempts time out early.
CONNECT_TIMEOUT_FIRST_S = 0.15
# Another build may have started at a peer's address since its last acknowledgement.
PROTOCOL_VALID_S = 2.0

Deliver = Callable[[InstanceId, Message], None]


class _Answers:
    """The messages that the acknowledgement of one batch carries."""

    def __init__(self, protocol: int) -> None:
        self.protocol = protocol
        self.messages: list[AnyMessage] = []
        self.size = 0
        # Set by the first message to the sender, if the acknowledgement waits for one.
        self.awaited: anyio.Event | None = None

    def add(self, message: AnyMessage) -> bool:
        """Add a message if the acknowledgement may carry it; return whether it may."""
        if max(ANSWERS_PROTOCOL, message.protocol) > self.protocol:
            return False
        size = self.size + measure_bytes(message)
        if size > MAX_ANSWERS_BYTES:
            return False
        self.size = size
        self.messages.append(message)
        return True


class PeerLink:
    """A queue of messages to one instance, and the current connection to it."""

    def __init__(
        self,
        sender: InstanceId,
        incarnation: Incarnation,
        address: Address,
        silence_s: float,
        tls: ssl.SSLContext | None,
        receive: Callable[[list[AnyMessage]], None],
        failures: Failures | None = None,
        account: MemoryAccount | None = None,
    ) -> None:
        self.tls = tls
        self.account = account or create_default_account()
        self.failures = failures or Failures()
        self.receive = receive
        self.sender = sender
        self.incarnation = incarnation
        self.address = address
        self.silence_s = silence_s
        self.replacements = 0
        self._queue = MessageQueue()
        self._wake = anyio.Event()
        self._sent = 0
        self._acknowledged = 0
        # The version that the peer speaks, as of its last acknowledgement.
        self._protocol = 0
        self._protocol_until = float("-inf")
        self._reachable: bool | None = None
        self._connect_timeout_s = min(silence_s, CONNECT_TIMEOUT_FIRST_S)
        # The attempt to connect that is under way, and when it began.
        self._attempt: anyio.CancelScope | None = None
        self._attempt_at = 0.0
        self._heard = False
        self._heard_incarnation: Incarnation | None = None
        self._batch: anyio.CancelScope | None = None
        self._batch_bytes = 0
        self._unacknowledged = 0
        self._logger = logbook.Logger("peers")

    @property
    def is_idle(self) -> bool:
        """Return whether no message waits, or is on its way without acknowledgement.

        What is sent otherwise while some are would overtake them.
        """
        return not self._queue and not self._unacknowledged

    @property
    def lost(self) -> bool:
        """Return whether the last connection failed and none has succeeded since."""
        return self._reachable is False

    @property
    def protocol(self) -> int | None:
        """Return the version that the peer speaks, or None if it is not known."""
        known = anyio.current_time() < self._protocol_until
        return self._protocol if known else None

    def enqueue(self, message: AnyMessage) -> None:
        """Add a message to the queue; a full queue drops its oldest ones."""
        self._queue.append(message)
        self._wake.set()

    def record_heard(self, incarnation: Incarnation) -> None:
        """Give up what began before the peer was heard.

        An attempt to connect failed to reach the peer's machine; a new one reaches it.
        What is on its way to a former incarnation overtakes nothing any more.
        """
        if self._heard_incarnation not in (None, incarnation):
            self._unacknowledged = 0
        self._heard_incarnation = incarnation
        attempt = self._attempt
        if attempt is None:
            return
        if anyio.current_time() - self._attempt_at >= RECONNECT_FIRST_S:
            self._heard = True
            attempt.cancel()

    async def run(self) -> None:
        """Connect when there are messages to send, and reconnect after failures."""
        delay_s = RECONNECT_FIRST_S
        while True:
            await self._wait_for_message()
            self._sent = self._acknowledged = 0
            self._unacknowledged = 0
            self._protocol_until = float("-inf")
            try:
                await self._connect_once()
            except (OSError, GRPCError, StreamTerminatedError, TimeoutError) as error:
                self._record_failure(error)
            except Exception as error:
                self.failures.record("peer not sent to", error, peer=self.address)
                self._record_failure(error)
            self._connect_timeout_s = min(self.silence_s, 2 * self._connect_timeout_s)
            if self._acknowledged or self._heard:
                self._heard = False
                delay_s = RECONNECT_FIRST_S
                self._connect_timeout_s = min(self.silence_s, CONNECT_TIMEOUT_FIRST_S)
            await anyio.sleep(delay_s)
            delay_s = min(RECONNECT_LIMIT_S, 2 * delay_s)

    def _record_failure(self, error: Exception) -> None:
        self.replacements += 1
        if self._reachable is not False:
            problem = f"{type(error).__name__}: {error}"
            extra = {"peer": self.address, "error": problem}
            self._logger.warning("peer lost", extra=extra)
        self._reachable = False

    def _record_success(self) -> None:
        if self._reachable is False:
            self._logger.notice("peer regained", extra={"peer": self.address})
        self._reachable = True

    async def _wait_for_message(self) -> None:
        if not self._queue:
            self._wake = anyio.Event()
            await self._wake.wait()

    async def _connect_once(self) -> None:
        host, port = split_address(self.address)
        codec = MessagePackCodec(self._allow_time)
        async with grpclib.client.Channel(
            host, port, codec=codec, ssl=self.tls
        ) as channel:
            method = grpclib.client.StreamStreamMethod(
                channel, EXCHANGE_METHOD, Envelope, Acknowledgement
            )
            await self._connect(channel)
            async with method.open() as stream:
                await stream.send_request()
                bound_answers(stream)
                while True:
                    await self._send_batch(stream)
                    await self._wait_for_message()

    async def _connect(self, channel: grpclib.client.Channel) -> None:
        self._attempt_at = anyio.current_time()
        with anyio.move_on_after(self._connect_timeout_s) as self._attempt:
            await channel.__connect__()
        given_up = self._attempt.cancelled_caught
        self._attempt = None
        if given_up:
            raise TimeoutError("no connection")

    async def _send_batch(
        self, stream: "grpclib.client.Stream[Envelope, Acknowledgement]"
    ) -> None:
        messages = self._take_batch()
        size = measure_texts(messages)
        if size <= UNCOUNTED_BYTES:
            await self._exchange_batch(stream, messages)
            return
        async with PatientRoom(self.account, COPIES_OF_BATCH * size):
            await self._exchange_batch(stream, messages)

    async def _exchange_batch(
        self,
        stream: "grpclib.client.Stream[Envelope, Acknowledgement]",
        messages: list[AnyMessage],
    ) -> None:
        self._unacknowledged = len(messages)
        self._sent += len(messages)
        envelope = Envelope(
            self.sender, self.incarnation, self._sent, messages, PROTOCOL
        )
        began_at = anyio.current_time()
        # The next batch waits for the acknowledgement. Messages queued meanwhile are
        # sent together, and a silent connection is noticed by its first batch.
        with anyio.fail_after(self.silence_s) as self._batch:
            await stream.send_message(envelope)
            reply = await stream.recv_message()
        if reply is None:
            raise StreamTerminatedError("the peer closed the stream")
        self._unacknowledged = 0
        self._acknowledged = reply.count
        self._protocol = reply.protocol
        self._protocol_until = anyio.current_time() + PROTOCOL_VALID_S
        self._record_success()
        if self._batch_bytes >= LOGGED_BATCH_BYTES:
            self._log_large_batch(messages, anyio.current_time() - began_at)
        self.receive(reply.messages)

    def _log_large_batch(self, messages: list[AnyMessage], took_s: float) -> None:
        kinds = sorted({type(message).__name__ for message in messages})
        self._logger.info(
            "large batch acknowledged",
            extra={
                "peer": self.address,
                "kinds": " ".join(kinds),
                "bytes": self._batch_bytes,
                "took_ms": round(took_s * MS_PER_S),
            },
        )

    def _allow_time(self, size: int) -> None:
        """Allow a batch of a size the time that a slow link needs to carry it."""
        self._batch_bytes = size
        if self._batch is not None:
            self._batch.deadline += size / LEAST_BYTES_PER_S

    def _take_batch(self) -> list[AnyMessage]:
        """Take the next messages, without those that the peer does not know.

        While its protocol is not known, they wait for the acknowledgement of a batch,
        which may be empty.
        """
        messages: list[AnyMessage] = []
        size = 0
        spoken = self.protocol
        while self._queue and len(messages) < MAX_BATCH_MESSAGES:
            required = self._queue.get_first().protocol
            size += self._queue.measure_first()
            too_large = size > MAX_BATCH_BYTES and messages
            if too_large or (spoken is None and required):
                break
            message = self._queue.popleft()
            if not required or required <= (spoken or 0):
                messages.append(message)
        return messages


class PeerBus:
    """Sends messages to instances by id, and delivers messages from them.

    If `named_by_address` is set, the ids of instances are their addresses.
    """

    def __init__(
        self,
        instance: InstanceId,
        incarnation: Incarnation,
        peers: dict[InstanceId, Address],
        silence_s: float,
        tls: PeerContexts | None = None,
        named_by_address: bool = False,
        account: MemoryAccount | None = None,
        connections: int = 1024,
    ) -> None:
        self.tls = tls
        self.account = account or create_default_account()
        self.connections = create_peer_connections(connections)
        self.named_by_address = named_by_address
        self.instance = instance
        self.incarnation = incarnation
        self.silence_s = silence_s
        self.failures = Failures()
        self._deliver: Deliver | None = None
        # The acknowledgements that are still to be sent, by the batches' senders.
        self._answers: dict[InstanceId, _Answers] = {}
        self._answered_late: tuple[type[Message], ...] = ()
        self.links = {
            peer: self._create_link(peer, address)
            for peer, address in peers.items()
            if peer != instance
        }
        self._group: anyio.abc.TaskGroup | None = None

    def _create_link(self, peer: InstanceId, address: Address) -> PeerLink:
        client = self.tls.client if self.tls else None
        return PeerLink(
            self.instance,
            self.incarnation,
            address,
            self.silence_s,
            client,
            lambda messages: self._deliver_messages(peer, messages),
            self.failures,
            self.account,
        )

    def set_receiver(self, deliver: Deliver) -> None:
        """Set the function that receives each message and the id of its sender."""
        self._deliver = deliver

    def hold_acknowledgements(self, kinds: tuple[type[Message], ...]) -> None:
        """Let batches with messages of some kinds wait for their answers for a while.

        They are answered after a write. An answer within the acknowledgement costs no
        batch of its own.
        """
        self._answered_late += kinds

    def send(self, to: InstanceId, message: Message) -> None:
        """Queue a message for an instance; drop it if the instance is unknown."""
        link = self.links.get(to)
        if link is None and self.named_by_address:
            self.add_peer(to, Address(to))
            link = self.links.get(to)
        if link is None:
            return
        queued = cast(AnyMessage, message)
        answers = self._answers.get(to)
        if answers is not None and answers.awaited is not None:
            answers.awaited.set()
        if answers is None or not link.is_idle or not answers.add(queued):
            link.enqueue(queued)

    def is_lost(self, peer: InstanceId) -> bool:
        """Return whether the last connection to an instance failed.

        A failed connection counts until another one has succeeded.
        """
        link = self.links.get(peer)
        return link is not None and link.lost

    def speaks(self, peer: InstanceId, protocol: int) -> bool:
        """Return whether an instance may know messages of a protocol version."""
        link = self.links.get(peer)
        spoken = link.protocol if link is not None else None
        return spoken is None or spoken >= protocol

    def knows(self, peer: InstanceId, protocol: int) -> bool:
        """Return whether an instance is known to know messages of a version."""
        link = self.links.get(peer)
        spoken = link.protocol if link is not None else None
        return spoken is not None and spoken >= protocol

    def add_peer(self, peer: InstanceId, address: Address) -> None:
        """Add an instance, or set its new address for the next connection to it."""
        if peer == self.instance:
            return
        link = self.links.get(peer)
        if link is None:
            link = self._create_link(peer, address)
            self.links[peer] = link
            if self._group is not None:
                self._group.start_soon(link.run)
        link.address = address

    async def _exchange(
        self, stream: "grpclib.server.Stream[Envelope, Acknowledgement]"
    ) -> None:
        with bound_messages(stream, self.account) as share:
            await self._receive_batches(stream, share)

    async def _receive_batches(
        self,
        stream: "grpclib.server.Stream[Envelope, Acknowledgement]",
        share: Share,
    ) -> None:
        while True:
            share.reset()
            try:
                envelope = await stream.recv_message()
            except UnreadableFrame as error:
                self.failures.record("batch not read", error)
                await stream.send_message(Acknowledgement(0, PROTOCOL))
                continue
            if envelope is None:
                return
            link = self.links.get(envelope.sender)
            if link is not None:
                link.record_heard(envelope.incarnation)
            answers = await self._deliver_batch(envelope)
            await stream.send_message(
                Acknowledgement(envelope.count, PROTOCOL, answers)
            )

    async def _deliver_batch(self, envelope: Envelope) -> list[AnyMessage]:
        """Deliver a batch, and return the messages that answer it."""
        sender = envelope.sender
        answers = self._answers[sender] = _Answers(envelope.protocol)
        try:
            self._deliver_messages(sender, envelope.messages)
            if not answers.messages and self._is_answered_late(envelope):
                answers.awaited = anyio.Event()
                with anyio.move_on_after(MAX_HOLD_S):
                    await answers.awaited.wait()
        finally:
            # A batch on a newer connection may have taken its place.
            if self._answers.get(sender) is answers:
                del self._answers[sender]
        return answers.messages

    def _is_answered_late(self, envelope: Envelope) -> bool:
        if envelope.protocol < ANSWERS_PROTOCOL:
            return False
        kinds = self._answered_late
        return any(isinstance(message, kinds) for message in envelope.messages)

    def _deliver_messages(self, sender: InstanceId, messages: list[AnyMessage]) -> None:
        if self._deliver is None:
            return
        for message in messages:
            try:
                self._deliver(sender, message)
            except Exception as error:
                kind = type(message).__name__
                fields = {"sender": sender, "kind": kind}
                self.failures.record("message not handled", error, **fields)

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        handler = grpclib.const.Handler(
            self._exchange,
            grpclib.const.Cardinality.STREAM_STREAM,
            Envelope,
            Acknowledgement,
        )
        return {EXCHANGE_METHOD: handler}

    async def run(self, address: Address) -> None:
        """Listen on an address and run the links to all other instances."""
        server = create_bounded_server(self, MessagePackCodec(), self.connections)
        host, port = split_address(address)
        await server.start(host, port, ssl=self.tls.server if self.tls else None)
        try:
            async with anyio.create_task_group() as group:
                self._group = group
                for link in self.links.values():
                    group.start_soon(link.run)
                await anyio.sleep_forever()
        finally:
            self._group = None
            server.close()
