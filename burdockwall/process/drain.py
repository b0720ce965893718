"""The stages of a graceful shutdown: holding, leaving, answering, ended."""

from enum import Enum

import msgspec

from burdockwall.machine import Tick
from burdockwall.settings import Settings

# Requests end so long before the process is killed, so that their answers are sent.
KILL_MARGIN_S = 0.5
# How long the answers of the requests that end at the limit may take to be sent.
ANSWER_S = 0.2


class DrainState(Enum):
    """The stage of an instance's shutdown."""

    SERVING = "serving"
    HOLDING = "holding"
    LEAVING = "leaving"
    ANSWERING = "answering"
    ENDED = "ended"


class StartDrain(msgspec.Struct, frozen=True):
    """Starts the shutdown.

    The process serves on for `hold_s`; each request ends after `limit_s` at the latest.
    """

    hold_s: float
    limit_s: float


class RequestsInFlight(msgspec.Struct, frozen=True):
    """Reports the number of requests that are in flight now."""

    requests: int


class EndRequests(msgspec.Struct, frozen=True):
    """Asks the shell to end the requests that are in flight at the limit."""

    requests: int


class StopServing(msgspec.Struct, frozen=True):
    """Asks the shell to end the process; `interrupted` requests reached the limit."""

    interrupted: int


DrainAction = EndRequests | StopServing


def plan_drain(settings: Settings) -> StartDrain:
    """Plan a shutdown that ends before the process is killed."""
    hold_s, limit_s = settings.drain_hold_s, settings.drain_limit_s
    if settings.drain_grace_s:
        limit_s = min(limit_s, max(0.0, settings.drain_grace_s - KILL_MARGIN_S))
        hold_s = min(hold_s, limit_s)
    return StartDrain(hold_s, limit_s)


class Drain:
    """Shuts an instance down without cutting off requests, if they end in time.

    From the start of the drain the address is no longer given out to callers, but some
    still have it cached. A request is taken only if it ends by the limit; one whose end
    is not known is taken for `hold_s`. After that the process ends once no request is
    in flight. Those that are in flight at the limit are ended.
    """

    def __init__(self) -> None:
        self.hold_s = 0.0
        self.limit_s = 0.0
        self.state = DrainState.SERVING
        self._started_at = 0.0
        self._in_flight = 0
        self._interrupted = 0

    @property
    def leaving(self) -> bool:
        """Whether the address must no longer be given out."""
        return self.state is not DrainState.SERVING

    def accepts(self, ends_at: float | None) -> bool:
        """Return whether a request is taken that ends by a time, if that is known."""
        match self.state:
            case DrainState.SERVING:
                return True
            case DrainState.HOLDING if ends_at is None:
                return True
            case DrainState.HOLDING | DrainState.LEAVING:
                return ends_at is not None and ends_at <= self._limit_at
            case _:
                return False

    @property
    def _limit_at(self) -> float:
        return self._started_at + self.limit_s

    def handle(
        self, event: Tick | StartDrain | RequestsInFlight, now: float
    ) -> list[DrainAction]:
        """Handle an event; return what ends requests or the process."""
        match event:
            case StartDrain() if self.state is DrainState.SERVING:
                self.state = DrainState.HOLDING
                self.hold_s = event.hold_s
                self.limit_s = max(event.hold_s, event.limit_s)
                self._started_at = now
            case RequestsInFlight(requests=requests):
                self._in_flight = requests
                return self._advance(now) or self._end_if_idle()
            case _:
                pass
        return self._advance(now)

    def _end_if_idle(self) -> list[DrainAction]:
        """End the process if a count that was made just now shows no request.

        An earlier count does not show the requests that were taken since.
        """
        ending = self.state in (DrainState.LEAVING, DrainState.ANSWERING)
        return self._end() if ending and not self._in_flight else []

    def _end(self) -> list[DrainAction]:
        self.state = DrainState.ENDED
        return [StopServing(self._interrupted)]

    def _advance(self, now: float) -> list[DrainAction]:
        elapsed_s = now - self._started_at
        if self.state is DrainState.HOLDING and elapsed_s >= self.hold_s:
            self.state = DrainState.LEAVING
        if self.state is DrainState.LEAVING and elapsed_s >= self.limit_s:
            self.state = DrainState.ANSWERING
            self._interrupted = self._in_flight
            return [EndRequests(self._interrupted)]
        answered = elapsed_s >= self.limit_s + ANSWER_S
        if self.state is DrainState.ANSWERING and answered:
            return self._end()
        return []
