"""Instances of other builds, which know other messages."""

import time

import anyio
import grpclib.const
import grpclib.server
import msgspec

from burdockwall.connection.address import split_address
from burdockwall.connection.peers import EXCHANGE_METHOD, PeerBus
from burdockwall.connection.wire import Envelope, MessagePackCodec
from burdockwall.fakes.ports import find_address
from burdockwall.process.crashes.messages import ShareSuspects, SuspectReport
from burdockwall.process.membership.messages import Ping, Pong
from burdockwall.types import Fingerprint, Incarnation, InstanceId

EARLIER = InstanceId("earlier")
ARRIVAL_LIMIT_S = 10.0
NEWS = ShareSuspects([SuspectReport(Fingerprint(b"f"), [])])


class _EarlierAcknowledgement(msgspec.Struct, frozen=True, array_like=True):
    """An acknowledgement of a build that names no protocol."""

    count: int


class EarlierPeer:
    """Receives messages as a build of version 0 does, and notes their types."""

    def __init__(self) -> None:
        self.arrived: list[str] = []
        self.replacements = 0

    async def _exchange(self, stream) -> None:
        while (envelope := await stream.recv_message()) is not None:
            await stream.send_message(_EarlierAcknowledgement(envelope.count))
            self.arrived += [type(item).__name__ for item in envelope.messages]

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        handler = grpclib.const.Handler(
            self._exchange,
            grpclib.const.Cardinality.STREAM_STREAM,
            Envelope,
            _EarlierAcknowledgement,
        )
        return {EXCHANGE_METHOD: handler}

    async def receive_mixed(self, count: int) -> None:
        """Let a bus send news of suspects before and after each of some pings."""
        address = find_address()
        server = grpclib.server.Server([self], codec=MessagePackCodec())
        await server.start(*split_address(address))
        bus = PeerBus(InstanceId("near"), Incarnation(1), {EARLIER: address}, 1.0)
        bus.set_receiver(lambda sender, message: None)
        async with anyio.create_task_group() as group:
            group.start_soon(bus.run, find_address())
            for nonce in range(count):
                bus.send(EARLIER, NEWS)
                bus.send(EARLIER, Ping(nonce))
                bus.send(EARLIER, NEWS)
                await anyio.sleep(0.05)
            ends_at = time.monotonic() + ARRIVAL_LIMIT_S
            while len(self.arrived) < count and time.monotonic() < ends_at:
                await anyio.sleep(0.05)
            self.replacements = bus.links[EARLIER].replacements
            group.cancel_scope.cancel()
        server.close()


def read_mixed_batch() -> list[str]:
    """Return the types that are read from a batch with an unknown message."""
    known = [Ping(1), Pong(2)]
    encoded = [msgspec.to_builtins(item) for item in known]
    mixed = [encoded[0], ["MessageOfALaterBuild", 7], encoded[1]]
    data = msgspec.msgpack.encode(["later", 1, 3, mixed])
    envelope = MessagePackCodec().decode(data, Envelope)
    return [type(item).__name__ for item in envelope.messages]
