"""What the choice of an endpoint expects of one request."""

import msgspec

from burdockwall.process.scheduling.request_size import RequestSize
from burdockwall.types import EndpointId


class ExpectedTime(msgspec.Struct):
    """The time expected of a request at the endpoint that was chosen for it.

    `cost_s` is the time that it runs alone at the usual pace. `occupancy` is the load
    expected there as a share of its slots.
    """

    endpoint: EndpointId
    reason: str
    cost_s: float
    wait_s: float
    pace: float
    occupancy: float
    cached_tokens: float

    @property
    def total_s(self) -> float:
        """Return the expected time of the request."""
        return (self.cost_s + self.wait_s) * self.pace


class RequestWork(msgspec.Struct):
    """A request's size, and what is expected of its latest attempt.

    `memory_tokens` is the memory of one endpoint in tokens, or 0 if it is unknown.
    `completed` is true once an endpoint has answered successfully and in full.
    """

    size: RequestSize
    memory_tokens: int = 0
    expected: ExpectedTime | None = None
    ticket: int = 0
    started_at: float = 0.0
    completed: bool = False
