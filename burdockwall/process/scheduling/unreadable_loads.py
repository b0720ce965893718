"""Count the load reports that can't be read, and log the first of each endpoint."""

import logbook

from burdockwall.process.endpoints import ListedEndpoint
from burdockwall.types import EndpointId

_logger = logbook.Logger("scheduling")


class UnreadableLoads:
    """The endpoints that sent a load report that can't be read.

    `count` is the number of such reports from all endpoints.
    """

    def __init__(self) -> None:
        self.count = 0
        self._logged: set[EndpointId] = set()

    def record(self, endpoint: ListedEndpoint, text: str) -> None:
        """Count a report, and log it if it is the endpoint's first."""
        self.count += 1
        if endpoint.name in self._logged:
            return
        self._logged.add(endpoint.name)
        extra = {"endpoint": endpoint.name, "report": text}
        _logger.warning("endpoint's load report is unreadable", extra=extra)

    def retain(self, listed: set[EndpointId]) -> None:
        """Forget the endpoints that are no longer listed."""
        self._logged &= listed
