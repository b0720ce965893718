"""Simulate a network of instances on a virtual clock.

Messages may be lost, duplicated, delayed and reordered. Links between two instances
may be cut in one direction, and instances may crash and restart. The same seed gives
the same run.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from burdockwall.machine import Machine, Message, Receive, Send, Tick
from burdockwall.types import InstanceId

Perform = Callable[[InstanceId, Any, float], None]


@dataclass(slots=True)
class NetworkConditions:
    """Delays of messages in seconds, and probabilities of faults from 0 to 1.

    A late message has an extra delay of at most `late_max_s`.
    """

    delay_min_s: float = 0.001
    delay_max_s: float = 0.003
    loss_probability: float = 0.0
    duplicate_probability: float = 0.0
    late_probability: float = 0.0
    late_max_s: float = 0.0


@dataclass(slots=True)
class FakeNode:
    """Machines of one instance, and the machine that handles each message type.

    The clock of the instance shows `clock_rate` times the virtual time, plus
    `clock_offset_s`.
    """

    machines: list[Machine]
    machines_by_message: dict[type[Message], Machine]
    tick_s: float
    restarts: int = 0
    up: bool = True
    clock_rate: float = 1.0
    clock_offset_s: float = 0.0


@dataclass(order=True, slots=True)
class _ScheduledCall:
    due_at: float
    sequence: int
    run: Callable[[], None] = field(compare=False)


class FakeNetwork:
    """Network that runs the machines of several instances on virtual time."""

    def __init__(
        self,
        seed: int,
        conditions: NetworkConditions | None = None,
        perform: Perform = lambda instance, action, now: None,
    ) -> None:
        self.random = random.Random(seed)
        self.conditions = conditions or NetworkConditions()
        self.perform = perform
        self.now = 0.0
        self.sent_messages = 0
        self.nodes: dict[InstanceId, FakeNode] = {}
        self.cut_links: set[tuple[InstanceId, InstanceId]] = set()
        self._scheduled: list[_ScheduledCall] = []
        self._sequence = 0

    def start(
        self,
        instance: InstanceId,
        machines: list[tuple[Machine, tuple[type[Message], ...]]],
        tick_s: float = 0.1,
    ) -> FakeNode:
        """Start or restart an instance with fresh machines."""
        previous = self.nodes.get(instance)
        node = FakeNode(
            machines=[machine for machine, _ in machines],
            machines_by_message={
                kind: machine for machine, kinds in machines for kind in kinds
            },
            tick_s=tick_s,
            restarts=previous.restarts + 1 if previous else 0,
        )
        self.nodes[instance] = node
        phase = self.random.uniform(0, tick_s)
        self.schedule(phase, lambda: self._tick(instance, node.restarts))
        return node

    def crash(self, instance: InstanceId) -> None:
        """Stop an instance; messages that arrive before its restart are lost."""
        self.nodes[instance].up = False

    def cut(self, sender: InstanceId, receiver: InstanceId) -> None:
        """Lose every message that arrives in one direction until heal() is called."""
        self.cut_links.add((sender, receiver))

    def isolate(self, instance: InstanceId) -> None:
        """Cut an instance off from all others in both directions."""
        for other in self.nodes:
            if other != instance:
                self.cut(instance, other)
                self.cut(other, instance)

    def heal(self) -> None:
        """Remove every cut."""
        self.cut_links.clear()

    def schedule(self, delay_s: float, run: Callable[[], None]) -> None:
        """Run a function after a delay."""
        self._sequence += 1
        heapq.heappush(
            self._scheduled, _ScheduledCall(self.now + delay_s, self._sequence, run)
        )

    def apply(self, instance: InstanceId, machine: Machine, event: Any) -> None:
        """Deliver an event if its instance is up, and perform the machine's actions."""
        node = self.nodes[instance]
        if not node.up:
            return
        restarts = node.restarts
        for action in machine.handle(event, self.read_clock(instance)):
            # Performing the previous action may have crashed the instance.
            if not node.up or self.nodes[instance].restarts != restarts:
                return
            if isinstance(action, Send):
                self.send(instance, action)
            else:
                self.perform(instance, action, self.now)

    def read_clock(self, instance: InstanceId) -> float:
        """Return the time in seconds on an instance's own clock."""
        node = self.nodes[instance]
        return self.now * node.clock_rate + node.clock_offset_s

    def send(self, sender: InstanceId, action: Send) -> None:
        """Send a message under the current network conditions, which may lose it."""
        self.sent_messages += 1
        if action.to == sender:
            self.schedule(0.0, lambda: self._deliver(sender, action))
            return
        if self.random.random() < self.conditions.loss_probability:
            return
        copies = (
            2 if self.random.random() < self.conditions.duplicate_probability else 1
        )
        for _ in range(copies):
            delay = self.random.uniform(
                self.conditions.delay_min_s, self.conditions.delay_max_s
            )
            if (
                self.conditions.late_probability
                and self.random.random() < self.conditions.late_probability
            ):
                delay += self.random.uniform(0, self.conditions.late_max_s)
            self.schedule(delay, lambda: self._deliver(sender, action))

    def _deliver(self, sender: InstanceId, action: Send) -> None:
        node = self.nodes.get(action.to)
        if node is None or not node.up or (sender, action.to) in self.cut_links:
            return
        machine = node.machines_by_message.get(type(action.message))
        if machine is not None:
            self.apply(action.to, machine, Receive(sender, action.message))

    def _tick(self, instance: InstanceId, restarts: int) -> None:
        node = self.nodes[instance]
        if node.restarts != restarts or not node.up:
            return
        for machine in node.machines:
            self.apply(instance, machine, Tick())
        self.schedule(node.tick_s, lambda: self._tick(instance, restarts))

    def run_until(self, until: float) -> None:
        """Run all calls that are scheduled up to a time."""
        while self._scheduled and self._scheduled[0].due_at <= until:
            due = heapq.heappop(self._scheduled)
            self.now = due.due_at
            due.run()
        self.now = until
