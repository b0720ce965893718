"""State machines that raise, at the host that runs them."""

from dataclasses import dataclass, field
from typing import Any

import anyio

from burdockwall.connection.peers import PeerBus
from burdockwall.machine import Receive, Send, Tick
from burdockwall.process.clock import read_clock
from burdockwall.process.host import Host, MachineFailed
from burdockwall.process.membership.messages import Ping, Pong
from burdockwall.types import Incarnation, InstanceId

OWN = InstanceId("own")
OTHER = InstanceId("other")
TICK_S = 0.01
PERFORMED = "performed"
RAISES = "raises"


@dataclass(slots=True)
class RecordingMachine:
    """Records its events and returns the same actions for each, or raises."""

    actions: list[Any] = field(default_factory=list)
    raises: bool = False
    events: list[Any] = field(default_factory=list)

    def handle(self, event: Any, now: float) -> list[Any]:
        self.events.append(event)
        if self.raises:
            raise ValueError("a machine that raises")
        return [] if isinstance(event, Tick) else self.actions


class ContainedErrors:
    """A host and its machines."""

    def __init__(self) -> None:
        self.host = Host(PeerBus(OWN, Incarnation(1), {}, 1.0), read_clock, TICK_S)
        self.machines: list[RecordingMachine] = []
        self.performed: list[str] = []
        self.error: BaseException | None = None

    def add(self, machine: RecordingMachine, accepts=(), ends_process=False) -> None:
        self.machines.append(machine)
        self.hosted = self.host.add(
            machine, accepts, self._perform, (str,), ends_process=ends_process
        )

    def _perform(self, action: str) -> None:
        if action == RAISES:
            raise ValueError("an action that raises")
        self.performed.append(action)

    def add_neighbours(self) -> None:
        for raises in (False, True, False):
            self.add(RecordingMachine(raises=raises))

    def add_failing_action(self) -> None:
        self.add(RecordingMachine([RAISES, PERFORMED]), (Ping,))

    def add_failing_receiver(self) -> None:
        self.add(RecordingMachine(raises=True), (Pong,))
        self.add(RecordingMachine([Send(OWN, Pong(1)), PERFORMED]), (Ping,))

    def add_ending(self) -> None:
        self.add(RecordingMachine(raises=True), (Ping,), ends_process=True)

    def deliver(self) -> None:
        self.host.bus._deliver_messages(OTHER, [Ping(1)])

    def apply(self) -> None:
        try:
            self.host.apply(self.hosted, Receive(OTHER, Ping(1)))
        except ValueError as error:
            self.error = error

    def run(self, seconds: float) -> None:
        try:
            anyio.run(self._run, seconds)
        except MachineFailed as error:
            self.error = error

    async def _run(self, seconds: float) -> None:
        with anyio.move_on_after(seconds):
            await self.host.run()
