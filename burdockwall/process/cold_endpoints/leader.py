"""Keep the judgement of cold endpoints at the control leader."""

import time
from collections.abc import Awaitable, Callable, Iterable, Mapping

import anyio
import msgspec

from burdockwall.process.cold_endpoints.health import HealthRefused
from burdockwall.process.cold_endpoints.judgement import ColdJudge
from burdockwall.process.endpoints import ListedEndpoint
from burdockwall.process.failures import Failures
from burdockwall.process.jobs import Jobs
from burdockwall.types import EndpointId, FailureDomain, Term
from burdockwall.version.deployment import Deployment, list_cold_rules

CHECK_POLL_S = 0.05

AskHealth = Callable[[ListedEndpoint, str], Awaitable[float | None]]


async def ask_nothing(endpoint: ListedEndpoint, path: str) -> float | None:
    """Make no health request, where no codec for them is set."""
    return None


class LeaderColdEndpoints:
    """The judge of one control instance, its term and its health requests."""

    def __init__(
        self,
        clock: Callable[[], float],
        get_term: Callable[[], Term | None],
        list_lag_s: float,
        unix_clock: Callable[[], float] = time.time,
        failures: Failures | None = None,
    ) -> None:
        self.clock = clock
        self.unix_clock = unix_clock
        self.get_term = get_term
        self.judge = ColdJudge(list_lag_s)
        self._jobs = Jobs(failures or Failures())
        self.ask_health: AskHealth = ask_nothing
        # Lists when the latest evacuation of each domain ended, as Unix times.
        self.list_evacuation_ends: Callable[[], Mapping[FailureDomain, float]] = dict
        self.checks_count = 0
        self._term: Term | None = None
        self._health_paths: dict[str, str] = {}

    def install(self, deployment: Deployment) -> None:
        """Use the rules of a configuration."""
        self.judge.install_rules(list_cold_rules(deployment))
        self._health_paths = {
            name: service.health_path for name, service in deployment.services.items()
        }

    def _follow_term(self) -> None:
        term = self.get_term()
        if term != self._term:
            self._term = term
            self.judge.reset()

    def record_list(
        self, endpoints: list[ListedEndpoint], began_at: float
    ) -> list[ListedEndpoint]:
        """Record a list that was read, and return it without its cold times."""
        self._follow_term()
        self.judge.record_list(endpoints, began_at, self.clock(), self.unix_clock())
        return [_clear_cold(endpoint) for endpoint in endpoints]

    def record_suspicion(self, name: EndpointId, age_s: float) -> None:
        """Record that an endpoint may have become cold some time ago."""
        self.judge.record_suspicion(name, self.clock() - max(0.0, age_s))

    def find_rate(self, name: EndpointId, now: float) -> float | None:
        """Return what a cold endpoint takes per second, or None if it is warm."""
        self._record_evacuation_ends(now)
        return self.judge.find_rate(name, now)

    def _record_evacuation_ends(self, now: float) -> None:
        if not self.judge.rules:
            return
        for domain, ended in sorted(self.list_evacuation_ends().items()):
            at = now - max(0.0, self.unix_clock() - ended)
            self.judge.record_evacuation_end(domain, ended, at)

    def mark(self, endpoints: list[ListedEndpoint]) -> list[ListedEndpoint]:
        """Mark the endpoints of a list that count as cold now."""
        now = self.clock()
        self._record_evacuation_ends(now)
        cold = self.judge.list_cold(now)
        if not cold:
            return endpoints
        return [
            msgspec.structs.replace(item, cold=True) if item.name in cold else item
            for item in endpoints
        ]

    def count_cold(self) -> int:
        """Return the number of endpoints that count as cold."""
        return len(self.judge.list_cold(self.clock()))

    async def run(self) -> None:
        """Make the health requests that the judge wants, until cancelled."""
        async with self._jobs.open():
            while True:
                await anyio.sleep(CHECK_POLL_S)
                if self._term is not None and self.get_term() == self._term:
                    self._start_checks(self.judge.start_checks(self.clock()))

    def _start_checks(self, endpoints: Iterable[ListedEndpoint]) -> None:
        for endpoint in endpoints:
            self.checks_count += 1
            self._jobs.start(self._check, endpoint)

    async def _check(self, endpoint: ListedEndpoint) -> None:
        asked_at = self.clock()
        path = self._health_paths.get(endpoint.service, "")
        try:
            left_s = await self.ask_health(endpoint, path)
        except HealthRefused:
            self.judge.record_suspicion(endpoint.name, self.clock())
            return
        self.judge.record_health(endpoint.name, left_s, asked_at, self.clock())


def _clear_cold(endpoint: ListedEndpoint) -> ListedEndpoint:
    if endpoint.cold_left_s is None:
        return endpoint
    return msgspec.structs.replace(endpoint, cold_left_s=None)
