"""Describe orders to endpoints and the numbers that fence them."""

from enum import Enum

import msgspec

from burdockwall.types import EndpointId, FencingNumber, ModelName, Term

COUNTER_BITS = 32


class OrderKind(Enum):
    """Name what an endpoint is told to do."""

    LOAD_MODEL = "load model"
    UNLOAD_MODEL = "unload model"
    LOAD_ADAPTER = "load adapter"
    UNLOAD_ADAPTER = "unload adapter"
    CHANGE_ROLE = "change role"


class Order(msgspec.Struct, frozen=True):
    """Tell one endpoint what to do; `version` is that of the model or adapter."""

    endpoint: EndpointId
    kind: OrderKind
    model: ModelName = ModelName("")
    adapter: str = ""
    version: str = ""
    role: str = ""


class NumberedOrder(msgspec.Struct, frozen=True):
    """Carry an order with the number by which an endpoint knows an old one."""

    number: FencingNumber
    order: Order


class OrderResult(Enum):
    """Name what became of one attempt to give an order."""

    DONE = "done"
    FAILED = "failed"
    STALE = "stale"


def create_number(term: Term, counter: int) -> FencingNumber:
    """Join the leader's term and its counter into one number."""
    return FencingNumber(term << COUNTER_BITS | counter)
