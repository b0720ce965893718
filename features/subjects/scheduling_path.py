"""Scheduled calls through a running site on the loopback interface."""

import anyio

from burdockwall.fakes.engine import FakeEngine
from burdockwall.fakes.site import SitePlan
from burdockwall.process.scheduling.explain import PlacementPage
from burdockwall.settings import Settings
from features.subjects.path import PathSubject

WAIT_LIMIT_S = 10.0
POLL_S = 0.05


class SchedulingPathSubject:
    """Runs one program and records what the engines and the operator received."""

    def __init__(self, engines: int) -> None:
        settings = Settings(drain_hold_s=0.0, schedule_poll_s=POLL_S)
        self.engines = [FakeEngine(0.01) for _ in range(engines)]
        self.path = PathSubject(SitePlan(self.engines, settings))
        self.page = PlacementPage([], [])
        self.last_load_sequence = 0
        self.expected_keys: list[str] = []
        self.released: list[str] = []

    def run(self, turns: int, end: bool) -> None:
        async def act(site, client) -> None:
            await self.path.send_turns(client, turns)
            dispatcher = site.node.entry.parts.dispatcher
            with anyio.fail_after(WAIT_LIMIT_S):
                await self.wait_for_reports(dispatcher)
            self.page = await anyio.to_thread.run_sync(site.operator.read_placements)
            if end:
                headers = self.path.build_headers(1)
                ended = await client.delete("/v1/programs/program-1", headers=headers)
                assert ended.status_code == 200, ended.text
                with anyio.fail_after(WAIT_LIMIT_S):
                    await self.wait_for_release()

        self.path.run(act)

    async def wait_for_reports(self, dispatcher) -> None:
        router = dispatcher.scheduler.router
        while not self.last_load_sequence or not self.expected_keys:
            self.last_load_sequence = max(
                load.sequence for load in router.loads.values()
            )
            if router.prefixes._sequences:
                self.expected_keys = list(router.prefixes._keys)
            await anyio.sleep(POLL_S)

    async def wait_for_release(self) -> None:
        while not self.released:
            for engine in self.engines:
                self.released.extend(engine.reports.released_keys)
            await anyio.sleep(POLL_S)

    def list_used(self) -> list[FakeEngine]:
        return [engine for engine in self.engines if engine.reports.level_counts]
