"""Choose the endpoint for each attempt of one request, within endpoints' own limits."""

from collections.abc import Callable

from burdockwall.errors import Code
from burdockwall.process.cold_endpoints.bounds import PERMIT_USE_S
from burdockwall.process.endpoint_limits.client import EndpointLimits
from burdockwall.process.endpoints import ListedEndpoint
from burdockwall.process.scheduling.balance import Balancer
from burdockwall.request.stream_binding import RETRY_AFTER_S, StreamBinding
from burdockwall.types import EndpointId

# One request asks for permits of at most this many endpoints.
MAX_PERMIT_ASKS = 3
# An endpoint in another failure domain can be listed after one interval of the list.
EVACUATED_RETRY_S = 1.0


class NoEndpoint(Exception):
    """No endpoint can take the request; the code and the text give the reason.

    Another one may be able to after `retry_after_s`.
    """

    def __init__(
        self, code: Code, detail: str = "", retry_after_s: float = RETRY_AFTER_S
    ) -> None:
        super().__init__(detail)
        self.code = code
        self.retry_after_s = retry_after_s


class PermitMissing(Exception):
    """An endpoint was chosen, but a request may not be sent to it any more."""


class EndpointChoice:
    """The endpoints that one request may still be sent to.

    `affinity` names what its requests share, so that they go to one endpoint. Those in
    `excluded` have been tried.
    """

    def __init__(
        self,
        binding: StreamBinding,
        balancer: Balancer,
        limits: EndpointLimits,
        clock: Callable[[], float],
        affinity: str,
    ) -> None:
        self.binding = binding
        self.balancer = balancer
        self.limits = limits
        self.clock = clock
        self.affinity = affinity
        self.excluded: set[EndpointId] = set()
        self._unpermitted: set[EndpointId] = set()
        # When the permits that were granted had been asked for.
        self._asked_at: dict[EndpointId, float] = {}

    def find(self) -> ListedEndpoint | None:
        """Return the best endpoint that may still have a permit, or None."""
        return self.balancer.choose(
            self._list_permitted(),
            self.affinity,
            self.clock(),
            self.excluded | self._unpermitted,
        )

    def _list_permitted(self) -> list[ListedEndpoint]:
        return [
            item
            for item in self.binding.list_endpoints()
            if not self.limits.is_exhausted(item.name)
        ]

    def has_other(self, endpoint: ListedEndpoint) -> bool:
        """Return whether another endpoint than this one may still be tried."""
        tried = self.excluded | self._unpermitted | {endpoint.name}
        return any(
            item.name not in tried and not self.limits.is_exhausted(item.name)
            for item in self.binding.list_endpoints()
        )

    async def choose(self) -> ListedEndpoint:
        """Choose an endpoint, with a permit if it is limited, or raise NoEndpoint.

        After MAX_PERMIT_ASKS limited endpoints without a permit, only others are used.
        """
        asks = 0
        while (endpoint := self.find()) is not None:
            if asks < MAX_PERMIT_ASKS or not self.limits.needs_permit(endpoint.name):
                asked_at, needed = self.clock(), self.limits.needs_permit(endpoint.name)
                if await self.limits.acquire(endpoint.name):
                    if needed:
                        self._asked_at[endpoint.name] = asked_at
                    return endpoint
                asks += 1
            self._unpermitted.add(endpoint.name)
        raise self._explain()

    def check_permit(self, endpoint: EndpointId) -> None:
        """Raise PermitMissing if a chosen endpoint may be cold and has no permit now.

        It may have become cold since it was chosen, or its permit may be too old.
        """
        if not self.limits.may_be_cold(endpoint):
            return
        asked_at = self._asked_at.get(endpoint, float("-inf"))
        if self.clock() - asked_at > PERMIT_USE_S:
            self._unpermitted.add(endpoint)
            raise PermitMissing

    def check(self) -> None:
        """Raise NoEndpoint if all endpoints are evacuated or their limits reached."""
        self.check_evacuated()
        if self.binding.list_endpoints() and not self._list_permitted():
            raise self._explain()

    def check_evacuated(self) -> None:
        """Raise NoEndpoint if evacuations leave no endpoint."""
        if self.binding.is_evacuated():
            raise self._explain()

    def _explain(self) -> NoEndpoint:
        limited = [
            item.name
            for item in self.binding.list_endpoints()
            if item.name not in self.excluded
        ]
        if limited:
            detail = "the rate limits of all endpoints are reached"
            retry_s = self.limits.get_wait_s(limited)
            return NoEndpoint(Code.ENDPOINTS_LIMITED, detail, retry_s)
        bound = self.binding.software is not None
        code = Code.RESUME_UNAVAILABLE if bound else Code.NO_ENDPOINT
        if self.binding.is_evacuated():
            detail = f"every {self.binding.describe_endpoints()} is evacuated"
            return NoEndpoint(code, detail, EVACUATED_RETRY_S)
        detail = "" if self.excluded else f"no {self.binding.describe_endpoints()}"
        return NoEndpoint(code, detail)
