"""The host of a process's state machines: delivers events and performs actions."""

from collections.abc import Callable
from typing import Any

import anyio
import msgspec

from burdockwall.connection.peers import PeerBus
from burdockwall.errors import BurdockwallError, Code
from burdockwall.machine import Machine, Message, Receive, Send, Tick
from burdockwall.process.ending import find_place
from burdockwall.types import InstanceId

# Shorter ticks after the start, so that a new process finds leader and peers sooner.
STARTUP_TICK_S = 0.01
STARTUP_PERIOD_S = 1.5


class MachineFailed(BurdockwallError):
    """A machine raised whose state must not be used after that."""


class HostedMachine(msgspec.Struct, frozen=True, eq=False):
    """A machine, what it accepts, and the function that performs its actions.

    `ends_process` is whether it makes promises that its state may no longer keep after
    an error within an event: what it confirms is stored.
    """

    machine: Machine
    accepts: tuple[type[Message], ...]
    perform: Callable[[Any], None]
    events: tuple[type, ...] = ()
    ends_process: bool = False


class Host:
    """Delivers messages, events and ticks to machines and performs their actions.

    An error costs the event or action that raised it. What a machine would have sent
    is then lost like a message, which machines allow for.
    """

    def __init__(self, bus: PeerBus, clock: Callable[[], float], tick_s: float) -> None:
        self.bus = bus
        self.clock = clock
        self.tick_s = tick_s
        self.failures = bus.failures
        self._ending: MachineFailed | None = None
        self._hosted: list[HostedMachine] = []
        self._by_type: dict[type[Message], HostedMachine] = {}
        bus.set_receiver(self.deliver)

    def add(
        self,
        machine: Machine,
        accepts: tuple[type[Message], ...] = (),
        perform: Callable[[Any], None] = lambda action: None,
        events: tuple[type, ...] = (),
        ends_process: bool = False,
    ) -> HostedMachine:
        """Host a machine; `perform` takes every action except Send.

        `events` are the types of published events that the machine subscribes to.
        """
        hosted = HostedMachine(machine, accepts, perform, events, ends_process)
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
        if to != self.bus.instance:
            self.bus.send(to, message)
            return
        hosted = self._by_type.get(type(message))
        if hosted is not None:
            self._try_apply(hosted, Receive(to, message))

    def publish(self, event: object) -> None:
        """Deliver an event of this instance to every machine subscribed to its type."""
        for hosted in self._hosted:
            if type(event) in hosted.events:
                self._try_apply(hosted, event)

    def apply(self, hosted: HostedMachine, event: object) -> None:
        """Deliver an event to a machine and perform the actions it returns.

        Raise the first error, after all actions that can be performed.
        """
        errors: list[Exception] = []
        for action in self._handle(hosted, event):
            try:
                self._perform(hosted, action)
            except Exception as error:
                errors.append(error)
        for other in errors[1:]:
            self._record(hosted, event, other)
        if errors:
            raise errors[0]

    def _handle(self, hosted: HostedMachine, event: object) -> list[Any]:
        if hosted.ends_process and self._ending is not None:
            raise self._ending.with_traceback(None)
        try:
            return hosted.machine.handle(event, self.clock())
        except Exception as error:
            if not hosted.ends_process:
                raise
            name = type(hosted.machine).__name__
            place = find_place(error)
            detail = f"{name} at {type(event).__name__}: {error!r}, {place}"
            self._ending = MachineFailed(Code.STATE_UNCERTAIN, detail)
            raise self._ending from error

    def _perform(self, hosted: HostedMachine, action: Any) -> None:
        match action:
            case Send(to=to, message=message):
                self.send(to, message)
            case _:
                hosted.perform(action)

    def _try_apply(self, hosted: HostedMachine, event: object) -> None:
        try:
            self.apply(hosted, event)
        except Exception as error:
            self._record(hosted, event, error)

    def _record(self, hosted: HostedMachine, event: object, error: Exception) -> None:
        fields = {
            "machine": type(hosted.machine).__name__,
            "event": type(event).__name__,
        }
        self.failures.record("event not handled", error, **fields)

    async def run(self) -> None:
        """Send ticks to every machine until cancelled, more often after the start.

        Raise MachineFailed once a machine has failed that ends the process.
        """
        startup_ends_at = self.clock() + STARTUP_PERIOD_S
        while True:
            for hosted in self._hosted:
                self._try_apply(hosted, Tick())
            if self._ending is not None:
                raise self._ending
            starting = self.clock() < startup_ends_at
            await anyio.sleep(
                min(STARTUP_TICK_S, self.tick_s) if starting else self.tick_s
            )
