"""Bind the stream of a request to the service and software version that begin it.

A stream may break off, and its caller may take it up at another instance. Before a
request of a resumable route is sent, the stores are told where its stream will come
from; a request that takes the stream up learns it from them.
"""

from collections.abc import Awaitable, Callable

import logbook

from burdockwall.errors import Code, RequestRefused
from burdockwall.process.endpoints import EndpointFollower, ListedEndpoint
from burdockwall.process.scheduling.resumption import (
    decide_resume_place,
    decide_sole_version,
)
from burdockwall.process.sole_versions import SoleVersion
from burdockwall.process.storage.calls import TurnStart
from burdockwall.process.storage.client import TurnClient
from burdockwall.process.storage.messages import StreamPlace
from burdockwall.request.codec import ForwardedRequest, Resumption, TurnDetails
from burdockwall.request.regions import AllowedRegions
from burdockwall.types import ProgramId, ServiceName, SoftwareVersion, TurnId
from burdockwall.version.deployment import HostRoute, choose_service

# Returns the only version of a service and since when, as a leader confirms it now.
ConfirmVersion = Callable[[ServiceName], Awaitable[SoleVersion | None]]
RETRY_AFTER_S = 0.1
# A caller may take up a stream until it has waited this many times for the route's
# timeout.
STREAM_TIMEOUTS = 2
# Instances receive a new list of endpoints at times that differ by at most this.
LIST_SKEW_S = 2.0
_logger = logbook.Logger("front")


class StreamBinding:
    """The place from which the stream of one request may come.

    `service` is the service that answers the request. `software` is the only version
    that may answer it, or None if every version may.
    """

    def __init__(
        self, endpoints: EndpointFollower, request: ForwardedRequest, route: HostRoute
    ) -> None:
        self.endpoints = endpoints
        self.request = request
        self.route = route
        self.resumption: Resumption | None = None
        if route.resumable:
            self.resumption = request.resumption
        # The shares of a route give each stream one service, whoever takes it up.
        self.service = choose_service(route.shares, self.begun_by or request.request)
        self.software: SoftwareVersion | None = None
        self.recorded: StreamPlace | None = None
        # The regions whose endpoints may answer the request, or None if all may.
        self.regions: AllowedRegions | None = None

    @property
    def begun_by(self) -> TurnId | None:
        """Return the request that began the stream which this one takes up, or None."""
        if self.resumption is None or self.resumption.begun_by is None:
            return None
        return TurnId(self.resumption.begun_by)

    @property
    def stream_s(self) -> float:
        """Return how long a stream may have lasted when it is taken up, in seconds."""
        return STREAM_TIMEOUTS * self.route.timeout_s

    @property
    def is_recorded(self) -> bool:
        """Return whether the stores must know where the request's stream begins."""
        return self.route.resumable and self.resumption is None

    def describe_stream(self) -> TurnDetails | None:
        """Describe a stream without a program, or return None if none may take it up.

        It counts as the only turn of a program that is named after its first request.
        """
        if not self.route.resumable:
            return None
        program = ProgramId(self.begun_by or self.request.request)
        return TurnDetails(program, budget=None, tokens=0, previous=None)

    def predict(self, endpoint: ListedEndpoint | None) -> StreamPlace | None:
        """Return the place to record while the turn begins, or None."""
        if endpoint is not None:
            self.recorded = StreamPlace(self.service, endpoint.software)
        return self.recorded

    async def record(
        self, client: TurnClient, turn: TurnStart, endpoint: ListedEndpoint
    ) -> None:
        """Record the place of an endpoint before it is asked, if it is another one.

        Raise RequestRefused if the stores do not confirm it.
        """
        if not self.is_recorded:
            return
        recorded = self.recorded
        if recorded is not None and recorded.software == endpoint.software:
            return
        attempt = recorded.attempt + 1 if recorded is not None else 0
        place = StreamPlace(self.service, endpoint.software, attempt)
        await client.record_place(turn, place)
        self.recorded = place

    async def resume(
        self, recorded: StreamPlace | None, came_at: float, confirm: ConfirmVersion
    ) -> None:
        """Bind the request to the place that began the stream which it takes up.

        `came_at` is when the request came. Raise RequestRefused if the place is not
        certain.
        """
        sole_version = None
        if recorded is None or not recorded.software:
            sole_version = await self._find_sole_version(came_at, confirm)
        place = decide_resume_place(
            recorded, self._list_services(), self.service, sole_version
        )
        begun_by = self.begun_by or "an unnamed request"
        if place is None:
            detail = f"it is not known where the stream of {begun_by} began"
            raise RequestRefused(Code.RESUME_UNAVAILABLE, detail, RETRY_AFTER_S)
        self.service = place.service
        self.software = place.software
        extra = {
            "request": self.request.request,
            "resumed_from": begun_by,
            "service": place.service,
            "software": place.software,
            "basis": place.basis.value,
        }
        _logger.info("stream taken up", extra=extra)

    async def _find_sole_version(
        self, came_at: float, confirm: ConfirmVersion
    ) -> SoftwareVersion | None:
        """Return the only version that can have begun the stream, or None.

        Where a request names no beginning, the shares of the route do not tell which of
        several services began the stream. The list here may be older than another
        instance's, so a leader must confirm the version, asked after the request came.
        """
        if self.begun_by is None and len(self._list_services()) > 1:
            return None
        since = came_at - self.stream_s - LIST_SKEW_S
        listed = self.endpoints.find_sole_version(self.service, since, came_at)
        if listed is None:
            return None
        return decide_sole_version(listed, await confirm(self.service), since)

    def _list_services(self) -> frozenset[ServiceName]:
        return frozenset(share.service for share in self.route.shares if share.weight)

    def list_endpoints(self) -> list[ListedEndpoint]:
        """List the endpoints that accept the request."""
        return self._select(self.endpoints.list_accepting(self.service))

    def _select(self, endpoints: list[ListedEndpoint]) -> list[ListedEndpoint]:
        regions = self.regions
        if regions is not None:
            endpoints = [
                item for item in endpoints if regions.includes(item.failure_domain)
            ]
        if self.software is None:
            return endpoints
        return [item for item in endpoints if item.software == self.software]

    def is_evacuated(self) -> bool:
        """Return whether evacuations leave the request no endpoint."""
        evacuated = self._select(self.endpoints.list_evacuated(self.service))
        return bool(evacuated) and not self.list_endpoints()

    def describe_endpoints(self) -> str:
        """Describe the endpoints that could accept the request."""
        place = "" if self.regions is None else f" in {self.regions.describe()}"
        if self.software is None:
            return f"endpoint of {self.service}{place}"
        return f"endpoint of {self.service}{place} with version {self.software!r}"
