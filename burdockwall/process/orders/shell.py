"""Send orders to endpoints over HTTP."""

from collections.abc import Callable

import anyio
import httpx
import msgspec

from burdockwall.connection.client import create_http_client, read_limited
from burdockwall.process.host import Host, HostedMachine
from burdockwall.process.jobs import Jobs
from burdockwall.process.membership.timing import FIRST_TERM
from burdockwall.process.orders.order import NumberedOrder, Order, OrderResult
from burdockwall.process.orders.sender import (
    ORDER_TIMEOUT_S,
    AttemptEnded,
    OrderFinished,
    OrderSender,
    QueueOrder,
    SendOrder,
    StartTerm,
)
from burdockwall.types import Address, EndpointId, Term

ORDER_PATH = "/orders"
ANSWER_LIMIT_BYTES = 65_536


class Orders:
    """Sends orders over HTTP while this instance leads."""

    def __init__(
        self,
        host: Host,
        find_address: Callable[[EndpointId], Address | None],
        get_led_term: Callable[[], Term | None],
        on_finished: Callable[[OrderFinished], None] = lambda finished: None,
    ) -> None:
        self.host = host
        self.sender = OrderSender()
        self.find_address = find_address
        self.get_led_term = get_led_term
        self.on_finished = on_finished
        self._jobs = Jobs(host.failures)
        self._client: httpx.AsyncClient | None = None
        self.hosted: HostedMachine = host.add(self.sender, (), self._perform)

    def queue_order(self, order: Order, checks_orders: bool) -> None:
        """Queue an order for an endpoint."""
        self.host.apply(self.hosted, QueueOrder(order, checks_orders))

    def _perform(self, action: SendOrder | OrderFinished) -> None:
        match action:
            case SendOrder(numbered_order=numbered_order):
                self._jobs.start(self._attempt, numbered_order)
            case OrderFinished():
                self.on_finished(action)

    async def run(self) -> None:
        """Send due orders until cancelled."""
        async with create_http_client(ORDER_TIMEOUT_S) as client:
            self._client = client
            async with self._jobs.open():
                while True:
                    self._start_new_term()
                    await anyio.sleep(self.host.tick_s)

    def _start_new_term(self) -> None:
        # A leader that is briefly unconfirmed keeps its term and its queues.
        term = self.get_led_term()
        if term is not None and term != self.sender.term:
            event = StartTerm(term, term > FIRST_TERM)
            self.host.apply(self.hosted, event)

    def _is_leading(self) -> bool:
        return self.sender.term is not None and self.get_led_term() == self.sender.term

    async def _attempt(self, numbered_order: NumberedOrder) -> None:
        result = OrderResult.FAILED
        # Limit the whole attempt, also if the endpoint answers slowly.
        try:
            with anyio.move_on_after(ORDER_TIMEOUT_S):
                result = await self._send(numbered_order)
        finally:
            event = AttemptEnded(
                numbered_order.order.endpoint, numbered_order.number, result
            )
            self.host.apply(self.hosted, event)

    async def _send(self, numbered_order: NumberedOrder) -> OrderResult:
        address = self.find_address(numbered_order.order.endpoint)
        if address is None or self._client is None or not self._is_leading():
            return OrderResult.FAILED
        try:
            async with self._client.stream(
                "POST",
                f"http://{address}{ORDER_PATH}",
                content=msgspec.json.encode(numbered_order),
                headers={"content-type": "application/json"},
            ) as response:
                # The connection is used again only if its answer was read.
                await read_limited(response, ANSWER_LIMIT_BYTES)
        except (httpx.HTTPError, httpx.InvalidURL):
            return OrderResult.FAILED
        if response.status_code == httpx.codes.CONFLICT:
            return OrderResult.STALE
        done = response.status_code == httpx.codes.OK
        return OrderResult.DONE if done else OrderResult.FAILED
