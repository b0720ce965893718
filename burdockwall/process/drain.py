"""The stages of a graceful shutdown: holding, refusing, ended."""

from dataclasses import dataclass
from enum import Enum

from burdockwall.machine import Tick


class DrainState(Enum):
    """The stage of an instance's shutdown."""

    SERVING = "serving"
    HOLDING = "holding"
    REFUSING = "refusing"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class StartDrain:
    """Starts the shutdown.

    New requests are served for another `hold_s`; the process ends after `limit_s` at
    the latest.
    """

    hold_s: float
    limit_s: float


@dataclass(frozen=True, slots=True)
class RequestsInFlight:
    """Reports the number of requests in flight."""

    requests: int


@dataclass(frozen=True, slots=True)
class StopServing:
    """Asks the shell to end the process; `interrupted` requests are cut off."""

    interrupted: int


class Drain:
    """Shuts an instance down without cutting off requests, if they end in time.

    From the start of the drain the address is no longer given out to callers. For
    `hold_s`, callers that still have it cached are served. Then new requests are
    refused, and the process ends once no request is in flight, or `limit_s` after the
    start.
    """

    def __init__(self) -> None:
        self.hold_s = 0.0
        self.limit_s = 0.0
        self.state = DrainState.SERVING
        self._started_at = 0.0
        self._in_flight = 0

    @property
    def leaving(self) -> bool:
        """Whether the address must no longer be given out."""
        return self.state is not DrainState.SERVING

    @property
    def refusing(self) -> bool:
        """Whether new requests must be refused."""
        return self.state in (DrainState.REFUSING, DrainState.ENDED)

    def handle(
        self, event: Tick | StartDrain | RequestsInFlight, now: float
    ) -> list[StopServing]:
        """Handle an event; return StopServing when the process is to end."""
        match event:
            case StartDrain() if self.state is DrainState.SERVING:
                self.state = DrainState.HOLDING
                self.hold_s = event.hold_s
                self.limit_s = max(event.hold_s, event.limit_s)
                self._started_at = now
            case RequestsInFlight(requests=requests):
                self._in_flight = requests
            case _:
                pass
        return self._advance(now)

    def _advance(self, now: float) -> list[StopServing]:
        elapsed_s = now - self._started_at
        if self.state is DrainState.HOLDING and elapsed_s >= self.hold_s:
            self.state = DrainState.REFUSING
        if self.state is not DrainState.REFUSING:
            return []
        if self._in_flight and elapsed_s < self.limit_s:
            return []
        self.state = DrainState.ENDED
        return [StopServing(self._in_flight)]
