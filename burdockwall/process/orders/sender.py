"""Send orders to endpoints: in order, repeated until done, with fencing numbers."""

from collections import deque

import msgspec

from burdockwall.machine import Tick
from burdockwall.process.membership.timing import LEASE_EXPIRY_S
from burdockwall.process.orders.order import (
    NumberedOrder,
    Order,
    OrderResult,
    create_number,
)
from burdockwall.types import EndpointId, FencingNumber, Term

ORDER_TIMEOUT_S = 2.0
RETRY_S = 1.0
# After this time the previous leader's lease has expired and its last attempt ended.
PREVIOUS_LEADER_WAIT_S = LEASE_EXPIRY_S + ORDER_TIMEOUT_S


class StartTerm(msgspec.Struct, frozen=True):
    """This instance now leads a term."""

    term: Term
    has_previous_leader: bool = True


class QueueOrder(msgspec.Struct, frozen=True):
    """Queue an order; `checks_orders` is set if its endpoint refuses stale numbers."""

    order: Order
    checks_orders: bool


class AttemptEnded(msgspec.Struct, frozen=True):
    """An attempt to send an order has ended with a result."""

    endpoint: EndpointId
    number: FencingNumber
    result: OrderResult


class SendOrder(msgspec.Struct, frozen=True):
    """Send an order once, within ORDER_TIMEOUT_S."""

    numbered_order: NumberedOrder


class OrderFinished(msgspec.Struct, frozen=True):
    """An order is done, or was refused as older than a later leader's order."""

    numbered_order: NumberedOrder
    result: OrderResult


Event = Tick | StartTerm | QueueOrder | AttemptEnded
Action = SendOrder | OrderFinished


class _Queue(msgspec.Struct):
    checks_orders: bool
    orders: deque[NumberedOrder] = msgspec.field(default_factory=deque)
    in_flight: bool = False
    next_attempt_at: float = float("-inf")


class OrderSender:
    """Queues of orders, one for each endpoint, while this instance leads.

    Orders to an endpoint that does not check fencing numbers wait until the previous
    leader can't send any more.
    """

    def __init__(self) -> None:
        self.term: Term | None = None
        self._counter = 0
        self._previous_leader_ends_at = 0.0
        self._queues: dict[EndpointId, _Queue] = {}

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event and return the orders to send and those that are finished."""
        match event:
            case StartTerm(term=term, has_previous_leader=has_previous_leader):
                self.term = term
                self._counter = 0
                self._queues = {}
                self._previous_leader_ends_at = (
                    now + PREVIOUS_LEADER_WAIT_S if has_previous_leader else now
                )
            case QueueOrder(order=order, checks_orders=checks_orders):
                self._add(order, checks_orders)
            case AttemptEnded():
                return self._handle_result(event, now)
            case Tick():
                pass
        return self._send_due(now)

    def count_unfinished(self) -> int:
        """Count the orders that are not finished."""
        return sum(len(queue.orders) for queue in self._queues.values())

    def _add(self, order: Order, checks_orders: bool) -> None:
        if self.term is None:
            return
        self._counter += 1
        number = create_number(self.term, self._counter)
        queue = self._queues.setdefault(order.endpoint, _Queue(checks_orders))
        queue.checks_orders = checks_orders
        queue.orders.append(NumberedOrder(number, order))

    def _send_due(self, now: float) -> list[Action]:
        attempts: list[Action] = []
        for queue in self._queues.values():
            if not queue.orders or queue.in_flight or now < queue.next_attempt_at:
                continue
            if not queue.checks_orders and now < self._previous_leader_ends_at:
                continue
            # Send one order at a time, so that they arrive in order.
            queue.in_flight = True
            attempts.append(SendOrder(queue.orders[0]))
        return attempts

    def _handle_result(self, event: AttemptEnded, now: float) -> list[Action]:
        queue = self._queues.get(event.endpoint)
        if queue is None or not queue.orders:
            return []
        head = queue.orders[0]
        if head.number != event.number:
            return []
        queue.in_flight = False
        if event.result is OrderResult.FAILED:
            queue.next_attempt_at = now + RETRY_S
            return []
        queue.orders.popleft()
        return [OrderFinished(head, event.result), *self._send_due(now)]
