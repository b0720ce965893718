"""A model of a plain service on virtual time."""

from collections import deque
from dataclasses import dataclass, field

from burdockwall.fakes.engine_model import CompletedCall, ModelCall
from burdockwall.process.scheduling.reports import LoadReport


@dataclass(slots=True)
class ServiceModel:
    """A service that runs calls on a few workers, first come first served.

    `speed` is a factor: a call with work of `work_s` takes `work_s / speed`. `failing`
    says that calls to the service fail. `_running` has the time at which each running
    call ends.
    """

    workers: int = 4
    speed: float = 1.0
    failing: bool = False
    now: float = 0.0
    _waiting: deque[tuple[ModelCall, float]] = field(default_factory=deque)
    _running: dict[ModelCall, float] = field(default_factory=dict)
    _started_at: dict[ModelCall, float] = field(default_factory=dict)
    _report_number: int = 0

    def submit(self, call: ModelCall, work_s: float, now: float) -> None:
        """Queue a call that takes a worker `work_s` seconds at speed 1."""
        self._waiting.append((call, work_s))
        self._admit(now)

    def _admit(self, now: float) -> None:
        while self._waiting and len(self._running) < self.workers:
            call, work_s = self._waiting.popleft()
            self._running[call] = now + work_s / self.speed
            self._started_at[call] = now

    def compute_next_event_at(self) -> float | None:
        """Return the time at which the next call ends, or None when idle."""
        return min(self._running.values(), default=None)

    def advance(self, now: float) -> list[CompletedCall]:
        """Advance to a time and return the calls that ended until then."""
        completed: list[CompletedCall] = []
        while (ended_at := self.compute_next_event_at()) is not None and (
            ended_at <= now
        ):
            call = min(call for call, end in self._running.items() if end == ended_at)
            del self._running[call]
            completed.append(
                CompletedCall(call, ended_at, self._started_at.pop(call), 0, 1)
            )
            self._admit(ended_at)
        self.now = now
        return completed

    def create_report(self) -> LoadReport:
        """Create a report of the present load."""
        self._report_number += 1
        return LoadReport(
            self._report_number, len(self._running), len(self._waiting), self.workers
        )
