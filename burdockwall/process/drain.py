"""Decide how an instance leaves: hold, refuse, wait, end."""

from dataclasses import dataclass
from enum import Enum

from burdockwall.machine import Tick


class DrainState(Enum):
    """Name where an instance stands on its way out."""

    SERVING = "serving"
    HOLDING = "holding"
    REFUSING = "refusing"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class StartDrain:
    """Ask the instance to leave: serve for a hold, end at the limit (seconds)."""

    hold_s: float
    limit_s: float


@dataclass(frozen=True, slots=True)
class RequestsInFlight:
    """Tell how many requests are under way."""

    requests: int


@dataclass(frozen=True, slots=True)
class StopServing:
    """Ask the shell to end the process; `left` requests are cut off."""

    interrupted: int


class Drain:
    """Lead an instance out without cutting off a request.

    From the start of the drain the address is no longer given out. For `hold_s`
    callers that still keep it are served. Then new requests are refused, and the
    process ends once nothing is under way, or `limit_s` after the start.
    """

    def __init__(self) -> None:
        self.hold_s = 0.0
        self.limit_s = 0.0
        self.state = DrainState.SERVING
        self._started_at = 0.0
        self._in_flight = 0

    @property
    def leaving(self) -> bool:
        """Tell whether the address must no longer be given out."""
        return self.state is not DrainState.SERVING

    @property
    def refusing(self) -> bool:
        """Tell whether new requests must be refused."""
        return self.state in (DrainState.REFUSING, DrainState.ENDED)

    def handle(
        self, event: Tick | StartDrain | RequestsInFlight, now: float
    ) -> list[StopServing]:
        """Take an event and return whether to end."""
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
        waited = now - self._started_at
        if self.state is DrainState.HOLDING and waited >= self.hold_s:
            self.state = DrainState.REFUSING
        if self.state is not DrainState.REFUSING:
            return []
        if self._in_flight and waited < self.limit_s:
            return []
        self.state = DrainState.ENDED
        return [StopServing(self._in_flight)]
