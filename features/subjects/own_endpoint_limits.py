"""Questions to engines of the own interface that name a rate limit."""

import bisect
import time
from dataclasses import dataclass

import anyio
import httpx

from burdockwall.fakes.engine import FakeEngine
from burdockwall.fakes.site import Site, SitePlan
from burdockwall.settings import Settings
from features.subjects.path import PathSubject

WINDOW_S = 4.0
MOST_SLOW_RATIO = 100.0


@dataclass(frozen=True, slots=True)
class LimitedAnswer:
    """The answer to one question, and how long it took."""

    status: int
    code: int | None
    seconds: float


class LimitedEngines:
    """Engines with the rates that they name, and the answers to questions."""

    def __init__(self, rates: tuple[str, ...]) -> None:
        engines = [FakeEngine() for _ in rates]
        for engine, rate in zip(engines, rates, strict=True):
            engine.rate_limit = rate
        self.limited = engines[0]
        # Ejection is not checked here: on a busy machine a sound engine may look slow.
        settings = Settings(schedule_slow_ratio=MOST_SLOW_RATIO)
        self.plan = SitePlan(engines, settings, rate_per_s=1000.0, burst=1000)
        self.started_at = 0.0
        self.answers: list[LimitedAnswer] = []

    @property
    def times(self) -> list[float]:
        """Return the times at which the first engine was sent requests."""
        return self.limited.request_times

    def ask(self, count: int, rate: int) -> None:
        """Ask a number of questions at a rate per second, each of its own program."""
        path = PathSubject(self.plan)

        async def ask_one(client: httpx.AsyncClient, number: int) -> None:
            headers = path.build_headers(1)
            headers["program-id"] = f"program-{number}"
            asked_at = time.monotonic()
            answer = await path.post_turn(client, headers, f"question {number}")
            code = None
            if answer.status_code != 200:
                code = answer.json()["error"]["code"]
            seconds = time.monotonic() - asked_at
            self.answers.append(LimitedAnswer(answer.status_code, code, seconds))

        async def act(site: Site, client: httpx.AsyncClient) -> None:
            self.started_at = anyio.current_time()
            async with anyio.create_task_group() as group:
                for number in range(count):
                    group.start_soon(ask_one, client, number)
                    due_at = self.started_at + (number + 1) / rate
                    await anyio.sleep(max(0.0, due_at - anyio.current_time()))

        path.run(act)

    def count_fullest_window(self, start_s: float) -> int:
        """Return the most requests to the first engine in any window after a start."""
        times = [at for at in self.times if at >= self.started_at + start_s]
        return max(
            (
                bisect.bisect_left(times, first + WINDOW_S) - index
                for index, first in enumerate(times)
            ),
            default=0,
        )
