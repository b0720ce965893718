"""Choose the endpoint of a call and count the work under way on each."""

from collections import Counter

from burdockwall.errors import Code, RequestRefused
from burdockwall.types import EndpointId
from burdockwall.version.configuration import Endpoint


class Dispatcher:
    """Choose the endpoint with the least work under way."""

    def __init__(self) -> None:
        self.under_way: Counter[EndpointId] = Counter()

    def choose(self, endpoints: tuple[Endpoint, ...]) -> Endpoint:
        """Choose an endpoint and count the call, or raise RequestRefused."""
        if not endpoints:
            raise RequestRefused(Code.NO_ENDPOINT, retry_after_s=1.0)
        chosen = min(endpoints, key=lambda item: (self.under_way[item.name], item.name))
        self.under_way[chosen.name] += 1
        return chosen

    def release(self, endpoint: Endpoint) -> None:
        """Count a call as ended."""
        self.under_way[endpoint.name] -= 1
