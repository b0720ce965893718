"""Model a plain service on virtual time: workers that take calls in turn."""

from collections import deque
from dataclasses import dataclass, field

from burdockwall.fakes.engine_model import CompletedCall, ModelCall
from burdockwall.process.scheduling.reports import LoadReport


@dataclass(slots=True)
class ServiceModel:
    """Run calls of a known length on a few workers, first come first served."""

    workers: int = 4
    speed: float = 1.0
    failing: bool = False
    now: float = 0.0
    _waiting: deque[tuple[ModelCall, float]] = field(default_factory=deque)
    _running: dict[ModelCall, float] = field(default_factory=dict)
    _started_at: dict[ModelCall, float] = field(default_factory=dict)
    _report_number: int = 0

    def submit(self, call: ModelCall, work_s: float, now: float) -> None:
        """Queue a call that needs some seconds of a worker."""
        self._waiting.append((call, work_s))
        self._admit(now)

    def _admit(self, now: float) -> None:
        while self._waiting and len(self._running) < self.workers:
            call, work_s = self._waiting.popleft()
            self._running[call] = now + work_s / self.speed
            self._started_at[call] = now

    def compute_next_event_at(self) -> float | None:
        """Return the time of the next end, or None when idle."""
        return min(self._running.values(), default=None)

    def advance(self, now: float) -> list[CompletedCall]:
        """Move to a time and return the calls that ended on the way."""
        answered: list[CompletedCall] = []
        while (at := self.compute_next_event_at()) is not None and at <= now:
            call = min(call for call, end in self._running.items() if end == at)
            del self._running[call]
            answered.append(CompletedCall(call, at, self._started_at.pop(call), 0, 1))
            self._admit(at)
        self.now = now
        return answered

    def create_report(self) -> LoadReport:
        """Report the load as it is now."""
        self._report_number += 1
        return LoadReport(
            self._report_number, len(self._running), len(self._waiting), self.workers
        )
