"""Questions of the own interface that crash the engines that run them."""

from dataclasses import dataclass

import anyio
import httpx

from burdockwall.fakes.engine import FakeEngine, FakeService
from burdockwall.fakes.proxy import FaultyProxy
from burdockwall.fakes.site import Site, SitePlan
from burdockwall.settings import Settings
from features.subjects.path import MODEL, PathSubject

ENGINES = 6
DOWN_S = 0.5
# The only service crashes each time, so its crashes must lie apart to count.
BETWEEN_CALLS_S = 2.5
DEADLY = "deadly question"
HARMLESS = "harmless question"


@dataclass(frozen=True, slots=True)
class OwnAnswer:
    """The status and the result code of an answer, and when it may be tried again."""

    status: int
    code: int | None
    retry_after: str | None


class CrashingEngines:
    """Engines behind listeners that go down and come back, and answers to questions."""

    def __init__(self) -> None:
        self.engines = [FakeEngine() for _ in range(ENGINES)]
        for engine in self.engines:
            engine.crashes_on = DEADLY.encode()
        plan = SitePlan(self.engines, Settings(), rate_per_s=1000.0, burst=1000)
        self.path = PathSubject(plan)
        self.crashes = 0
        self.answers: list[OwnAnswer] = []

    def _arm(
        self,
        group: anyio.abc.TaskGroup,
        endpoint: FakeEngine | FakeService,
        proxy: FaultyProxy,
    ) -> None:
        """Let an endpoint's listener go down when the endpoint crashes."""
        current = proxy

        def crash() -> None:
            self.crashes += 1
            current.kill()
            group.start_soon(come_back)

        async def come_back() -> None:
            nonlocal current
            await anyio.sleep(DOWN_S)
            current = FaultyProxy(current.address, current.target)
            await current.run()

        endpoint.crash = crash

    async def _call(
        self, client: httpx.AsyncClient, body: str, key: str = ""
    ) -> OwnAnswer:
        """Call the service, on the unrepeatable route if a key is given."""
        headers = {"authorization": f"Bearer {self.path.key}"}
        if key:
            headers["idempotency-key"] = key
        path = "/filings" if key else "/stock"
        answer = await client.post(path, headers=headers, content=body, timeout=20)
        code = None
        if answer.status_code != 200:
            code = answer.json()["error"]["code"]
        return OwnAnswer(answer.status_code, code, answer.headers.get("retry-after"))

    def call(self, deadly: int, unrepeatable: bool) -> None:
        """Call the service with a deadly body some times, and then with another."""

        async def act(site: Site, client: httpx.AsyncClient) -> None:
            site.service.crashes_on = DEADLY.encode()
            async with anyio.create_task_group() as group:
                self._arm(group, site.service, site.proxies[-1])
                for number in range(deadly):
                    key = f"key-{number}" if unrepeatable else ""
                    self.answers.append(await self._call(client, DEADLY, key))
                    await anyio.sleep(BETWEEN_CALLS_S)
                key = "key-harmless" if unrepeatable else ""
                self.answers.append(await self._call(client, HARMLESS, key))
                group.cancel_scope.cancel()

        self.path.run(act)

    async def _ask(self, client: httpx.AsyncClient, question: str) -> OwnAnswer:
        """Ask a question in a program of its own."""
        headers = {"authorization": f"Bearer {self.path.key}"}
        body = {"model": MODEL, "messages": [{"role": "user", "content": question}]}
        answer = await client.post(
            "/v1/chat/completions", headers=headers, json=body, timeout=20
        )
        code = None
        if answer.status_code != 200:
            code = answer.json()["error"]["code"]
        retry_after = answer.headers.get("retry-after")
        return OwnAnswer(answer.status_code, code, retry_after)

    def ask(self, deadly: int, harmless: int) -> None:
        """Ask the deadly question some times, and then harmless ones."""

        async def act(site: Site, client: httpx.AsyncClient) -> None:
            async with anyio.create_task_group() as group:
                for engine, proxy in zip(self.engines, site.proxies, strict=False):
                    self._arm(group, engine, proxy)
                for _ in range(deadly):
                    self.answers.append(await self._ask(client, DEADLY))
                    await anyio.sleep(0.2)
                await anyio.sleep(2 * DOWN_S)
                for number in range(harmless):
                    question = f"{HARMLESS} {number}"
                    self.answers.append(await self._ask(client, question))
                group.cancel_scope.cancel()

        self.path.run(act)
