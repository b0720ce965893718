"""The operations of the own interface that evacuate failure domains.

Load: a few orders an hour, up to eight at once.
"""

from datetime import UTC, datetime

from burdockwall.connection.exchange import Exchange
from burdockwall.errors import Code, OperatorError
from burdockwall.process.control.commands import Permission
from burdockwall.process.control.console import OPERATOR_HEADER
from burdockwall.process.control.service import ControlService
from burdockwall.process.credential import read_credential
from burdockwall.process.evacuation.evacuations import Evacuations
from burdockwall.process.evacuation.orders import EvacuationOrders
from burdockwall.process.operations import (
    EVACUATION_END_PATH,
    EVACUATION_START_PATH,
    Operations,
)
from burdockwall.types import FailureDomain, OperatorId


class EvacuationOperations:
    """HTTP operations of an instance that holds a replica."""

    def __init__(self, service: ControlService, orders: EvacuationOrders) -> None:
        self.service = service
        self.orders = orders

    def register(self, operations: Operations) -> None:
        """Add the operations to those of the process."""
        operations.add_operation("POST", EVACUATION_START_PATH, self._serve_order)
        operations.add_operation("POST", EVACUATION_END_PATH, self._serve_order)

    async def _serve_order(self, exchange: Exchange) -> None:
        await self.service.confirm_read()
        name = OperatorId(exchange.get_header(OPERATOR_HEADER) or "")
        credential = read_credential(exchange)
        self.service.authenticate(name, credential, Permission.CONFIGURATION)
        domain = FailureDomain(dict(exchange.list_query()).get("domain", ""))
        if not domain:
            raise OperatorError(Code.BAD_REQUEST, "the order names no failure domain")
        if exchange.path == EVACUATION_START_PATH:
            await self.orders.start(domain, name, credential)
        else:
            await self.orders.end(domain, name, credential)
        await exchange.answer_json(200, self.orders.get_evacuations())


def describe_evacuations(evacuations: Evacuations) -> list[str]:
    """Describe the evacuated domains to operators."""
    return [
        f"{domain} since {_format_time(order.since)} by {order.by}"
        for domain, order in evacuations.domains.items()
    ]


def _format_time(unix_s: float) -> str:
    return datetime.fromtimestamp(unix_s, UTC).isoformat(timespec="seconds")
