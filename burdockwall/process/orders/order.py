"""Define orders to endpoints and their fencing numbers."""

from enum import Enum

import msgspec

from burdockwall.types import EndpointId, FencingNumber, ModelName, Term

COUNTER_BITS = 32


class OrderKind(Enum):
    """What an endpoint is ordered to do."""

    LOAD_MODEL = "load model"
    UNLOAD_MODEL = "unload model"
    LOAD_ADAPTER = "load adapter"
    UNLOAD_ADAPTER = "unload adapter"
    CHANGE_ROLE = "change role"


class Order(msgspec.Struct, frozen=True):
    """An order to one endpoint; `version` is that of the model or adapter."""

    endpoint: EndpointId
    kind: OrderKind
    model: ModelName = ModelName("")
    adapter: str = ""
    version: str = ""
    role: str = ""


class NumberedOrder(msgspec.Struct, frozen=True):
    """An order with the fencing number by which an endpoint can refuse older ones."""

    number: FencingNumber
    order: Order


class OrderResult(Enum):
    """Result of one attempt to send an order."""

    DONE = "done"
    FAILED = "failed"
    STALE = "stale"


def create_number(term: Term, counter: int) -> FencingNumber:
    """Build a fencing number from the leader's term (high bits) and counter."""
    return FencingNumber(term << COUNTER_BITS | counter)
