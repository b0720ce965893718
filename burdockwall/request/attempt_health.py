"""Tell what one attempt of a request shows of how its endpoint serves.

Made for endpoints that fail or hang while their health is good: an attempt that ends
with the request's time counts against the endpoint if that was silent for long.
"""

from collections.abc import Callable

from burdockwall.process.scheduling.endpoint_health import SILENCE_S, EndpointHealth
from burdockwall.request.codec import AnswerDetails
from burdockwall.types import EndpointId, RouteName

FIRST_SERVER_ERROR = 500


class AttemptHealth:
    """What is observed of an endpoint in one attempt."""

    def __init__(
        self,
        health: EndpointHealth,
        clock: Callable[[], float],
        endpoint: EndpointId,
        route: RouteName,
    ) -> None:
        self.health = health
        self.clock = clock
        self.endpoint = endpoint
        self.route = route
        self._head_s = 0.0
        self._waits_since: float | None = clock()
        self._sent_at = clock()

    def record_head(self) -> None:
        """Record that the head of the answer has come."""
        self._head_s = self.clock() - self._sent_at
        self._waits_since = None

    def start_wait(self) -> None:
        """Record that the endpoint's next bytes are awaited from now on."""
        self._waits_since = self.clock()

    def stop_wait(self) -> None:
        """Record that they have come."""
        self._waits_since = None

    def record_answered(self, status: int) -> None:
        """Record a whole answer; that of a fault inside the endpoint is a failure."""
        if status >= FIRST_SERVER_ERROR:
            self.record_failed()
        else:
            self.health.record_answered(self.endpoint, self.route, self._head_s)

    def record_failed(self) -> None:
        """Record that the endpoint has failed the request."""
        self.health.record_failed(self.endpoint, self.clock())

    def record_refused(self, details: AnswerDetails | None, slots: int) -> None:
        """Record that the endpoint did not run the request.

        It is a failure only where nothing excuses it: the endpoint reports free slots,
        names no rate limit and is not about to leave.
        """
        if details is None or details.load is None or details.misdirected:
            return
        excused = details.leaving or details.rate_limit_per_s is not None
        if not excused and details.load.running + details.load.waiting < slots:
            self.record_failed()

    def record_end(self, time_is_over: bool) -> None:
        """Record that the attempt has ended, perhaps before its answer."""
        since = self._waits_since
        if time_is_over and since is not None and self.clock() - since >= SILENCE_S:
            self.record_failed()
        self._waits_since = None
