"""Messages between two instances while the network path between them fails."""

import time

import anyio

from burdockwall.connection.peers import RECONNECT_LIMIT_S, PeerBus, PeerLink
from burdockwall.fakes.ports import find_address
from burdockwall.fakes.proxy import FaultyProxy
from burdockwall.machine import Message
from burdockwall.process.control.entries import Data, Entry, VoterId
from burdockwall.process.control.messages import Append
from burdockwall.process.membership.messages import Ping, Pong
from burdockwall.types import Incarnation, InstanceId, Term

SILENCE_S = 1.0
# The silence bound, the delay before the new connection, and time to connect.
ARRIVAL_LIMIT_S = SILENCE_S + RECONNECT_LIMIT_S + 2.0
SEND_INTERVAL_S = 0.1
NEAR = InstanceId("near")
FAR = InstanceId("far")


class PeersSubject:
    """Two instances, the network path between them and the messages that arrived."""

    def __init__(self) -> None:
        self.path: FaultyProxy | None = None
        self.arrived: list[int] = []
        self.seconds: float | None = None
        self.replacements = 0

    def run(self, fail) -> None:
        anyio.run(self._run, fail)

    def create_listener(self) -> PeerBus:
        bus = PeerBus(FAR, Incarnation(1), {}, SILENCE_S)
        bus.set_receiver(lambda sender, message: self.arrived.append(message.nonce))
        return bus

    async def _run(self, fail) -> None:
        self.path = FaultyProxy(find_address(), find_address())
        peers = {FAR: self.path.address}
        near = PeerBus(NEAR, Incarnation(1), peers, SILENCE_S)
        near.set_receiver(lambda sender, message: None)
        async with anyio.create_task_group() as group:
            group.start_soon(self.path.run)
            listening = anyio.CancelScope()
            group.start_soon(self._listen, listening)
            group.start_soon(near.run, find_address())
            await self._send_until_arrived(near, 0)
            await fail(group, listening)
            started = time.monotonic()
            await self._send_until_arrived(near, 1000)
            self.seconds = time.monotonic() - started
            self.replacements = near.links[FAR].replacements
            group.cancel_scope.cancel()

    async def _listen(self, scope: anyio.CancelScope) -> None:
        with scope:
            await self.create_listener().run(self.path.target)

    async def _send_until_arrived(self, near: PeerBus, first: int) -> None:
        nonce = first
        with anyio.fail_after(4 * ARRIVAL_LIMIT_S):
            while not any(item >= first for item in self.arrived):
                near.send(FAR, Ping(nonce))
                nonce += 1
                await anyio.sleep(SEND_INTERVAL_S)

    async def silence(self, group, listening) -> None:
        self.path.silence_open_connections()

    async def restart(self, group, listening) -> None:
        listening.cancel()
        await anyio.sleep(SEND_INTERVAL_S)
        group.start_soon(self._listen, anyio.CancelScope())


class AnswersSubject:
    """An instance that asks, and one that answers each question, perhaps after a write.

    What it answers after a write, it answers after `write_s` seconds.
    """

    def __init__(self) -> None:
        self.answered: list[int] = []
        self.batches = 0

    async def ask(self, count: int, write_s: float = 0.0) -> None:
        near_address, far_address = find_address(), find_address()
        near = PeerBus(NEAR, Incarnation(1), {FAR: far_address}, SILENCE_S)
        far = PeerBus(FAR, Incarnation(1), {NEAR: near_address}, SILENCE_S)
        near.set_receiver(lambda sender, message: self.answered.append(message.nonce))
        send_batch = far.links[NEAR]._send_batch

        async def count_batch(stream) -> None:
            self.batches += 1
            await send_batch(stream)

        far.links[NEAR]._send_batch = count_batch
        async with anyio.create_task_group() as group:

            async def answer_late(message: Ping) -> None:
                await anyio.sleep(write_s)
                far.send(NEAR, Pong(message.nonce))

            def answer(sender: InstanceId, message: Ping) -> None:
                if write_s:
                    group.start_soon(answer_late, message)
                else:
                    far.send(sender, Pong(message.nonce))

            far.set_receiver(answer)
            if write_s:
                far.hold_acknowledgements((Ping,))
            group.start_soon(near.run, near_address)
            group.start_soon(far.run, far_address)
            for nonce in range(count):
                near.send(FAR, Ping(nonce))
                with anyio.fail_after(ARRIVAL_LIMIT_S):
                    while len(self.answered) <= nonce:
                        await anyio.sleep(0.01)
            group.cancel_scope.cancel()


class SlowLinkSubject:
    """Large messages over a path that carries few bytes a second."""

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.arrived: list[int] = []
        self.connections = 0

    def run(self, count: int, size: int, limit_s: float) -> None:
        anyio.run(self._run, count, size, limit_s)

    async def _run(self, count: int, size: int, limit_s: float) -> None:
        path = FaultyProxy(find_address(), find_address(), bytes_per_s=self.bytes_per_s)
        near = PeerBus(NEAR, Incarnation(1), {FAR: path.address}, SILENCE_S)
        near.set_receiver(lambda sender, message: None)
        far = PeerBus(FAR, Incarnation(1), {}, SILENCE_S)
        far.set_receiver(
            lambda sender, message: self.arrived.append(message.entries[0].index)
        )
        async with anyio.create_task_group() as group:
            group.start_soon(path.run)
            group.start_soon(far.run, path.target)
            group.start_soon(near.run, find_address())
            for number in range(1, count + 1):
                near.send(FAR, build_append(number, bytes(size)))
            with anyio.move_on_after(limit_s):
                while len(self.arrived) < count:
                    await anyio.sleep(0.05)
            self.connections = path.connection_count
            group.cancel_scope.cancel()


class OvertakingSubject:
    """An instance that is sent a large message, and asks before it has arrived."""

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.arrived: list[str] = []

    def run(self, size: int) -> None:
        anyio.run(self._run, size)

    async def _run(self, size: int) -> None:
        near_address = find_address()
        path = FaultyProxy(find_address(), find_address(), bytes_per_s=self.bytes_per_s)
        near = PeerBus(NEAR, Incarnation(1), {FAR: path.address}, SILENCE_S)
        far = PeerBus(FAR, Incarnation(1), {NEAR: near_address}, SILENCE_S)
        near.set_receiver(
            lambda sender, message: near.send(sender, Pong(message.nonce))
        )
        far.set_receiver(
            lambda sender, message: self.arrived.append(type(message).__name__)
        )
        async with anyio.create_task_group() as group:
            group.start_soon(path.run)
            group.start_soon(far.run, path.target)
            group.start_soon(near.run, near_address)
            near.send(FAR, build_append(1, bytes(size)))
            await anyio.sleep(0.3)
            far.send(NEAR, Ping(1))
            with anyio.move_on_after(ARRIVAL_LIMIT_S):
                while len(self.arrived) < 2:
                    await anyio.sleep(0.05)
            group.cancel_scope.cancel()


class RestartSubject:
    """An instance that starts again while a connection to it hangs."""

    def __init__(self) -> None:
        self.answered_after_s: float | None = None

    def run(self) -> None:
        anyio.run(self._run)

    async def _run(self) -> None:
        near_address = find_address()
        path = FaultyProxy(find_address(), find_address())
        near = PeerBus(NEAR, Incarnation(1), {FAR: path.address}, SILENCE_S)
        near.set_receiver(
            lambda sender, message: near.send(sender, Pong(message.nonce))
        )
        async with anyio.create_task_group() as group:
            group.start_soon(path.run)
            group.start_soon(near.run, near_address)
            former = anyio.CancelScope()
            await self._start_far(group, former, 1, path.target, near_address)
            near.send(FAR, Ping(0))
            await anyio.sleep(0.3)
            path.silence_open_connections()
            near.send(FAR, Ping(1))
            await anyio.sleep(0.1)
            former.cancel()
            await anyio.sleep(0.1)
            began_at = time.monotonic()
            scope = anyio.CancelScope()
            await self._start_far(group, scope, 2, path.target, near_address)
            self.answered_after_s = time.monotonic() - began_at
            group.cancel_scope.cancel()

    async def _start_far(self, group, scope, incarnation, address, near) -> None:
        """Start an incarnation that asks something, and wait for the answer."""
        answered = anyio.Event()
        far = PeerBus(FAR, Incarnation(incarnation), {NEAR: near}, SILENCE_S)
        far.set_receiver(lambda sender, message: answered.set())

        async def run() -> None:
            with scope:
                await far.run(address)

        group.start_soon(run)
        far.send(NEAR, Ping(incarnation))
        with anyio.move_on_after(ARRIVAL_LIMIT_S):
            await answered.wait()


class WaitingSubject:
    """Messages that wait for an instance to which no connection is made."""

    def __init__(self) -> None:
        self.waiting: list[Message] = []

    def run(self, count: int, size: int) -> None:
        anyio.run(self._run, count, size)

    async def _run(self, count: int, size: int) -> None:
        link = PeerLink(NEAR, Incarnation(1), find_address(), SILENCE_S, None, print)
        for number in range(1, count + 1):
            link.enqueue(build_append(number, bytes(size)))
        while not link.is_idle:
            self.waiting += link._take_batch()


def build_append(number: int, data: bytes) -> Append:
    """Build a message with one entry of the log of the control state."""
    entry = Entry(Term(1), number, Data(data))
    voter = VoterId("voter")
    return Append("cluster", voter, voter, Term(1), number - 1, Term(1), (entry,), 0, 0)
