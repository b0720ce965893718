"""Batches of messages between two instances, some of which fail."""

import random
from unittest.mock import patch

import anyio
import msgspec

from burdockwall.connection.peers import PeerBus
from burdockwall.connection.wire import (
    PROTOCOL,
    Acknowledgement,
    Envelope,
    MessagePackCodec,
    UnreadableFrame,
)
from burdockwall.fakes.ports import find_address
from burdockwall.process.membership.messages import Ping, Pong
from burdockwall.types import Incarnation, InstanceId

SILENCE_S = 1.0
ARRIVAL_LIMIT_S = 3.0
NEAR = InstanceId("near")
FAR = InstanceId("far")
# One more than MessagePack's largest integer.
UNENCODABLE = 2**64
NESTING = 5000
NESTED = b"\x92\xa4Ping" + NESTING * b"\x91" + b"\x01"

BAD_MESSAGES = {
    "has fields of another type": msgspec.msgpack.encode(["Ping", "text"]),
    "has a field that isn't text": b"\x92\xa4Ping\xa2\xff\xfe",
    "has a field too few": msgspec.msgpack.encode(["Ping"]),
    "has no kind": msgspec.msgpack.encode([]),
}


def encode_frame(head: list, messages: list[bytes]) -> bytes:
    """Encode a batch or acknowledgement whose messages are given as bytes."""
    raw = [msgspec.Raw(message) for message in messages]
    position = 3 if len(head) == 4 else 2
    return msgspec.msgpack.encode([*head[:position], raw, *head[position:]])


def encode_envelope(messages: list[bytes]) -> bytes:
    return encode_frame([NEAR, 1, len(messages), PROTOCOL], messages)


def encode_acknowledgement(messages: list[bytes]) -> bytes:
    return encode_frame([len(messages), PROTOCOL], messages)


class Reading:
    """Frames that a codec reads."""

    def __init__(self) -> None:
        self.codec = MessagePackCodec()
        self.nonces: list[int] = []
        self.errors: list[str] = []

    def read(self, kind: type, fault: str) -> None:
        good = [msgspec.msgpack.encode(Ping(nonce)) for nonce in (1, 3)]
        messages = [good[0], BAD_MESSAGES[fault], good[1]]
        encode = encode_envelope if kind is Envelope else encode_acknowledgement
        frame = self.codec.decode(encode(messages), kind)
        self.nonces = [message.nonce for message in frame.messages]

    def read_changed(self, count: int, seed: int) -> None:
        generator = random.Random(seed)
        for number in range(count):
            kind = generator.choice((Envelope, Acknowledgement))
            encode = encode_envelope if kind is Envelope else encode_acknowledgement
            messages = [msgspec.msgpack.encode(Ping(nonce)) for nonce in range(3)]
            messages.append(generator.choice([*BAD_MESSAGES.values(), NESTED]))
            data = change_bytes(encode(messages), generator)
            try:
                self.codec.decode(data, kind)
            except UnreadableFrame:
                pass
            except Exception as error:
                self.errors.append(f"input {number} of seed {seed}: {error!r}")


def change_bytes(data: bytes, generator: random.Random) -> bytes:
    """Change some bytes, or cut the data."""
    changed = bytearray(data)
    for _ in range(generator.randint(1, 4)):
        changed[generator.randrange(min(len(changed), 64))] = generator.randrange(256)
    if generator.random() < 0.3:
        del changed[generator.randrange(len(changed)) :]
    return bytes(changed)


class ContainedMessages:
    """Two instances, and what arrives at each."""

    def __init__(self) -> None:
        self.addresses = {NEAR: find_address(), FAR: find_address()}
        self.arrived: list[int] = []
        self.answered: list[int] = []
        self.raises_at = -1
        self.answers_badly_to = -1
        self.buses: dict[InstanceId, PeerBus] = {}

    def run(self, act) -> None:
        anyio.run(self._run, act)

    async def _run(self, act) -> None:
        for name, other in ((NEAR, FAR), (FAR, NEAR)):
            peers = {other: self.addresses[other]}
            self.buses[name] = PeerBus(name, Incarnation(1), peers, SILENCE_S)
        self.buses[NEAR].set_receiver(self._receive_answer)
        self.buses[FAR].set_receiver(self._receive)
        async with anyio.create_task_group() as group:
            for name, bus in self.buses.items():
                group.start_soon(bus.run, self.addresses[name])
            await self.send_and_wait(0)
            self.arrived.clear()
            self.answered.clear()
            await act()
            group.cancel_scope.cancel()

    def _receive(self, sender: InstanceId, message: Ping) -> None:
        if message.nonce == self.raises_at:
            raise ValueError("a message that is not handled")
        self.arrived.append(message.nonce)
        bad = message.nonce == self.answers_badly_to
        self.buses[FAR].send(sender, Pong(UNENCODABLE if bad else message.nonce))

    def _receive_answer(self, sender: InstanceId, message: Pong) -> None:
        self.answered.append(message.nonce)

    async def send_and_wait(self, *nonces: int) -> None:
        for nonce in nonces:
            self.buses[NEAR].send(FAR, Ping(nonce))
        with anyio.move_on_after(ARRIVAL_LIMIT_S):
            while nonces[-1] not in self.answered:
                await anyio.sleep(0.01)

    async def send_unencodable(self) -> None:
        await self.send_and_wait(1, UNENCODABLE, 3)

    async def answer_unencodable(self) -> None:
        self.answers_badly_to = 2
        await self.send_and_wait(1, 2, 3)

    async def raise_in_handling(self) -> None:
        self.raises_at = 2
        await self.send_and_wait(1, 2, 3)

    async def send_unreadable(self) -> None:
        encode = MessagePackCodec.encode
        sound = [msgspec.msgpack.encode(Ping(1)), NESTED]

        def nest(codec, message, kind):
            nested = kind is Envelope and message.messages == [Ping(1)]
            return encode_envelope(sound) if nested else encode(codec, message, kind)

        with patch.object(MessagePackCodec, "encode", nest):
            self.buses[NEAR].send(FAR, Ping(1))
            await anyio.sleep(0.2)
        await self.send_and_wait(3)

    async def garble_acknowledgements(self, seconds: float) -> None:
        encode = MessagePackCodec.encode

        def garble(codec, message, kind):
            garbled = kind is Acknowledgement
            return b"\xc1" if garbled else encode(codec, message, kind)

        with patch.object(MessagePackCodec, "encode", garble):
            for nonce in range(10):
                self.buses[NEAR].send(FAR, Ping(nonce))
                await anyio.sleep(seconds / 10)
        self.arrived.clear()
        with anyio.move_on_after(ARRIVAL_LIMIT_S):
            while 99 not in self.answered:
                self.buses[NEAR].send(FAR, Ping(99))
                await anyio.sleep(0.05)

    @property
    def replacements(self) -> int:
        return self.buses[NEAR].links[FAR].replacements
