"""Remember the slots that this instance's own requests have freed.

Made for 50 and more instances with old reports: where each instance sends its next
request to a slot that it freed itself, the number of requests at an endpoint stays as
it was, and no message is needed. A freed slot is the only fresh news of an endpoint.
"""

from collections import OrderedDict

from burdockwall.types import EndpointId

# Most slots that are remembered, and for how long. A slot that is not used again within
# a few requests' time is probably used by another instance.
FREED_LIMIT = 64
FREED_LIFE_S = 1.0


class FreedSlots:
    """The freed slots, the latest of which are offered first."""

    def __init__(self) -> None:
        self._freed: OrderedDict[int, tuple[EndpointId, float]] = OrderedDict()
        self._last = 0

    def add(self, endpoint: EndpointId, now: float) -> None:
        """Remember a slot that was freed now."""
        self._last += 1
        self._freed[self._last] = (endpoint, now)
        if len(self._freed) > FREED_LIMIT:
            self._freed.popitem(last=False)

    def list_endpoints(self, now: float) -> set[EndpointId]:
        """Return the endpoints of slots that were freed lately."""
        while self._freed:
            number, (_, freed_at) = next(iter(self._freed.items()))
            if now - freed_at <= FREED_LIFE_S:
                break
            del self._freed[number]
        return {endpoint for endpoint, _ in self._freed.values()}

    def use(self, endpoint: EndpointId) -> None:
        """Forget one freed slot of an endpoint that a request was sent to."""
        for number, (name, _) in reversed(self._freed.items()):
            if name == endpoint:
                del self._freed[number]
                return
