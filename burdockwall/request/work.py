"""Describe how much a forwarded request asks of an endpoint."""

from burdockwall.process.scheduling.request_size import measure_size
from burdockwall.process.scheduling.request_work import RequestWork
from burdockwall.request.codec import ForwardedRequest
from burdockwall.types import CustomerId
from burdockwall.version.deployment import EngineParameters, HostCustomer, HostRoute


def describe_work(
    request: ForwardedRequest,
    route: HostRoute,
    customer: HostCustomer | None,
    body_bytes: int,
    engine: EngineParameters | None,
) -> RequestWork:
    """Describe a request by what its caller declares, and by its body."""
    size = measure_size(
        route.name,
        customer.name if customer else CustomerId(""),
        request.program,
        request.size,
        body_bytes,
        on_engine=engine is not None,
        continues=request.turn is not None and request.turn.previous is not None,
    )
    return RequestWork(size, engine.memory_tokens if engine else 0)
