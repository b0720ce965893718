"""Send orders from two leaders in turn over a transport with losses and delays."""

import random
from collections.abc import Callable

from burdockwall.fakes.network import FakeNetwork
from burdockwall.machine import Tick
from burdockwall.process.membership.timing import LEASE_EXPIRY_S
from burdockwall.process.orders.order import (
    NumberedOrder,
    Order,
    OrderKind,
    OrderResult,
)
from burdockwall.process.orders.sender import (
    ORDER_TIMEOUT_S,
    AttemptEnded,
    OrderFinished,
    OrderSender,
    QueueOrder,
    SendOrder,
    StartTerm,
)
from burdockwall.types import EndpointId, FencingNumber, InstanceId, Term

ENDPOINTS = {EndpointId("checking"): True, EndpointId("trusting"): False}
ORDERS = 8
RUN_S = 120.0


class OrdersSubject:
    """Two leaders in turn, and two endpoints of which one checks fencing numbers."""

    def __init__(self, seed: int, sender_type: type[OrderSender] = OrderSender):
        self.seed = seed
        self.sender_type = sender_type
        self.network = FakeNetwork(seed, perform=self.perform)
        self.random: random.Random = self.network.random
        self.senders: dict[InstanceId, OrderSender] = {}
        self.leads_until: dict[InstanceId, float] = {}
        self.highest_number = {name: FencingNumber(0) for name in ENDPOINTS}
        self.applied: dict[EndpointId, list[FencingNumber]] = {}
        self.finished: list[OrderFinished] = []
        self.faults: list[str] = []

    def lead(self, name: str, term: int, until: float) -> None:
        instance = InstanceId(name)
        sender = self.sender_type()
        self.senders[instance] = sender
        self.leads_until[instance] = until
        self.network.start(instance, [(sender, ())])
        self.network.apply(instance, sender, StartTerm(Term(term), term > 1))
        for number in range(ORDERS):
            for endpoint, checks in ENDPOINTS.items():
                order = Order(endpoint, OrderKind.LOAD_MODEL, version=str(number))
                delay = self.random.uniform(0, 6)
                self.network.schedule(
                    delay, self.build_queue_order(instance, order, checks)
                )

    def build_queue_order(
        self, instance: InstanceId, order: Order, checks: bool
    ) -> Callable[[], None]:
        sender = self.senders[instance]
        return lambda: self.network.apply(instance, sender, QueueOrder(order, checks))

    def perform(self, instance: InstanceId, action, now: float) -> None:
        match action:
            case SendOrder(numbered_order=numbered_order):
                self.attempt(instance, numbered_order)
            case OrderFinished():
                self.finished.append(action)

    def attempt(self, instance: InstanceId, numbered_order: NumberedOrder) -> None:
        # The shell sends no orders after the leader's lease has expired.
        result = OrderResult.FAILED
        arrival = self.random.uniform(0, ORDER_TIMEOUT_S)
        lost = self.random.random() < 0.3
        leads = self.network.now < self.leads_until[instance]

        def arrive() -> None:
            nonlocal result
            result = self.receive_order(numbered_order)

        def answer() -> None:
            sender = self.senders[instance]
            received = result if self.random.random() < 0.7 else OrderResult.FAILED
            event = AttemptEnded(
                numbered_order.order.endpoint, numbered_order.number, received
            )
            self.network.apply(instance, sender, event)

        if leads and not lost:
            self.network.schedule(arrival, arrive)
        self.network.schedule(ORDER_TIMEOUT_S, answer)

    def receive_order(self, numbered_order: NumberedOrder) -> OrderResult:
        endpoint = numbered_order.order.endpoint
        highest_number = self.highest_number[endpoint]
        if ENDPOINTS[endpoint] and numbered_order.number < highest_number:
            return OrderResult.STALE
        if numbered_order.number < highest_number:
            self.faults.append(f"seed {self.seed}: {endpoint} accepted an old order")
        self.highest_number[endpoint] = max(highest_number, numbered_order.number)
        self.applied.setdefault(endpoint, []).append(numbered_order.number)
        return OrderResult.DONE

    def run(self) -> None:
        change_at = self.random.uniform(1, 15)
        self.lead("control-1", 1, change_at + LEASE_EXPIRY_S * 0.95)
        self.network.run_until(change_at)
        self.lead("control-2", 2, RUN_S * 2)
        self.network.run_until(RUN_S)
        new = self.senders[InstanceId("control-2")]
        if new.count_unfinished():
            self.faults.append(f"seed {self.seed}: {new.count_unfinished()} not done")


class NoWaitSender(OrderSender):
    """Sender that does not wait for the previous leader's lease to expire."""

    def handle(self, event, now):
        if isinstance(event, StartTerm):
            event = StartTerm(event.term, False)
        return super().handle(event, now)


class ConcurrentSender(OrderSender):
    """Sender that does not wait for one order to end before it sends the next."""

    def handle(self, event, now):
        actions = super().handle(event, now)
        if isinstance(event, QueueOrder | Tick):
            sent = [
                item.numbered_order for item in actions if isinstance(item, SendOrder)
            ]
            for queue in self._queues.values():
                if queue.orders and now >= self._previous_leader_ends_at:
                    late = list(queue.orders)[1:3]
                    actions += [SendOrder(item) for item in late if item not in sent]
        return actions
