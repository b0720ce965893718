"""The host of a process's state machines: delivers events and performs actions."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio

from burdockwall.connection.peers import PeerBus
from burdockwall.machine import Machine, Message, Receive, Send, Tick
from burdockwall.types import InstanceId

# Shorter ticks after the start, so that a new process finds leader and peers sooner.
STARTUP_TICK_S = 0.01
STARTUP_PERIOD_S = 1.5


@dataclass(frozen=True, slots=True)
class HostedMachine:
    """A machine, what it accepts, and the function that performs its actions."""

    machine: Machine
    accepts: tuple[type[Message], ...]
    perform: Callable[[Any], None]
    events: tuple[type, ...] = ()


class Host:
    """Delivers messages, events and ticks to machines and performs their actions."""

    def __init__(self, bus: PeerBus, clock: Callable[[], float], tick_s: float) -> None:
        self.bus = bus
        self.clock = clock
        self.tick_s = tick_s
        self._hosted: list[HostedMachine] = []
        self._by_type: dict[type[Message], HostedMachine] = {}
        bus.set_receiver(self.deliver)

    def add(
        self,
        machine: Machine,
        accepts: tuple[type[Message], ...] = (),
        perform: Callable[[Any], None] = lambda action: None,
        events: tuple[type, ...] = (),
    ) -> HostedMachine:
        """Host a machine; `perform` takes every action except Send.

        `events` are the types of published events that the machine subscribes to.
        """
        hosted = HostedMachine(machine, accepts, perform, events)
        self._hosted.append(hosted)
        for kind in accepts:
            self._by_type[kind] = hosted
        return hosted

    def deliver(self, sender: InstanceId, message: Message) -> None:
        """Deliver a message to the machine that accepts its type."""
        hosted = self._by_type.get(type(message))
        if hosted is not None:
            self.apply(hosted, Receive(sender, message))

    def send(self, to: InstanceId, message: Message) -> None:
        """Send a message to an instance, which may be this one."""
        if to == self.bus.instance:
            self.deliver(to, message)
        else:
            self.bus.send(to, message)

    def publish(self, event: object) -> None:
        """Deliver an event of this instance to every machine subscribed to its type."""
        for hosted in self._hosted:
            if type(event) in hosted.events:
                self.apply(hosted, event)

    def apply(self, hosted: HostedMachine, event: object) -> None:
        """Deliver an event to a machine and perform the actions it returns."""
        for action in hosted.machine.handle(event, self.clock()):
            match action:
                case Send(to=to, message=message):
                    self.send(to, message)
                case _:
                    hosted.perform(action)

    async def run(self) -> None:
        """Send ticks to every machine until cancelled, more often after the start."""
        startup_ends_at = self.clock() + STARTUP_PERIOD_S
        while True:
            for hosted in self._hosted:
                self.apply(hosted, Tick())
            starting = self.clock() < startup_ends_at
            await anyio.sleep(
                min(STARTUP_TICK_S, self.tick_s) if starting else self.tick_s
            )
