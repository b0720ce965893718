"""Choose the endpoint of a call and count the work under way on each."""

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from burdockwall.errors import Code, RequestRefused
from burdockwall.types import CustomerId, EndpointId, ProgramId
from burdockwall.version.configuration import Endpoint, Route


class PlacementOutcome(Enum):
    """Name how a call ended at its endpoint."""

    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class Job:
    """Describe one call that needs an endpoint."""

    customer: CustomerId
    program: ProgramId
    route: Route
    endpoints: tuple[Endpoint, ...]
    excluded: frozenset[EndpointId] = frozenset()


@dataclass(frozen=True, slots=True)
class Placement:
    """Name the endpoint that a call was given."""

    job: Job
    endpoint: Endpoint


class Dispatcher:
    """Choose the endpoint with the least work under way."""

    def __init__(self) -> None:
        self.under_way: Counter[EndpointId] = Counter()

    async def acquire(self, job: Job) -> Placement:
        """Wait for an endpoint and count the call, or raise RequestRefused."""
        usable = [item for item in job.endpoints if item.name not in job.excluded]
        if not usable:
            raise RequestRefused(Code.NO_ENDPOINT, retry_after_s=1.0)
        chosen = min(usable, key=lambda item: (self.under_way[item.name], item.name))
        self.under_way[chosen.name] += 1
        return Placement(job, chosen)

    def release(self, placement: Placement, outcome: PlacementOutcome) -> None:
        """Count a call as ended."""
        self.under_way[placement.endpoint.name] -= 1
