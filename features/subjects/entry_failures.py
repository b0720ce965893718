"""Questions to an entry instance while engines, connections or callers fail."""

import time
from dataclasses import dataclass, field

import anyio
import httpx

from burdockwall.fakes.engine import FakeEngine, generate_tokens
from burdockwall.fakes.site import Site, SitePlan
from burdockwall.request.completion import (
    ChatMessage,
    CompletionRequest,
    join_answer,
)
from burdockwall.settings import Settings
from burdockwall.types import ModelName
from features.subjects.path import MODEL, PathSubject

TOKEN_S = 0.03
# A late caller asks this long after the drain's hold, while slowed engines still
# answer earlier callers.
LATE_S = 0.05
SLOW_TOKEN_S = 0.3
SILENCE_S = 1.5
STALL_S = 2.0
# Fewer than any answer has, so that some answer is under way.
KILL_AFTER_EVENTS = 3
IDLE_CONNECTIONS = 6
GRACE_S = 0.5
ANSWER_LIMIT_S = 20.0


@dataclass(slots=True)
class QuestionResult:
    """A question, and the bytes of the answer that were received."""

    question: str
    received: bytes = b""
    status: int = 0
    error: str = ""

    def compute_expected(self) -> str:
        prompt = [ChatMessage("user", self.question)]
        return "".join(generate_tokens(CompletionRequest(ModelName(MODEL), prompt)))

    @property
    def answer(self) -> str:
        return join_answer(self.received)


def create_failure_plan(engines: int) -> SitePlan:
    settings = Settings(
        drain_hold_s=0.3,
        drain_limit_s=20.0,
        endpoint_silence_s=SILENCE_S,
        endpoint_stall_s=STALL_S,
        abandon_grace_s=GRACE_S,
    )
    fakes = [FakeEngine(TOKEN_S) for _ in range(engines)]
    return SitePlan(fakes, settings, rate_per_s=1000.0, burst=1000)


def create_version_plan(versions: list[str]) -> SitePlan:
    """Create a plan with an engine for each version."""
    plan = create_failure_plan(len(versions))
    for engine, version in zip(plan.engines, versions, strict=True):
        engine.fingerprint = version
    return plan


@dataclass(slots=True)
class EntryFailureSubject:
    """Asks questions while something fails, and stores the results."""

    plan: SitePlan
    results: list[QuestionResult] = field(default_factory=list)
    seconds: float = 0.0
    engine_runs: int = 0
    open_streams_after_grace: int = -1
    outcomes: list[str] = field(default_factory=list)

    def run(self, action) -> None:
        path = PathSubject(self.plan)

        async def act(site: Site, client: httpx.AsyncClient) -> None:
            with anyio.fail_after(ANSWER_LIMIT_S):
                await action(site, client, path)

        path.run(act)

    async def ask(
        self, client, path, number: int, stop_after: int = 0, offset: int = 0
    ) -> QuestionResult:
        result = QuestionResult(f"question {number}")
        headers = path.build_headers(1)
        headers["program-id"] = f"program-{number}"
        if offset:
            headers["last-event-id"] = str(offset)
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": result.question}],
            "stream": True,
        }
        url = "/v1/chat/completions"
        async with client.stream("POST", url, headers=headers, json=body) as response:
            result.status = response.status_code
            async for chunk in response.aiter_raw():
                result.received += chunk
                if stop_after and result.received.count(b"\n\n") >= stop_after:
                    return result
        return result

    async def ask_whole(self, client, path, number: int) -> None:
        started = time.monotonic()
        self.results.append(await self.ask(client, path, number))
        self.seconds = max(self.seconds, time.monotonic() - started)

    async def kill_engines(self, site, client, path, count: int) -> None:
        async with anyio.create_task_group() as group:
            for number in range(count):
                group.start_soon(self.ask_whole, client, path, number)
            while site.engines[0].events_sent < KILL_AFTER_EVENTS:
                await anyio.sleep(TOKEN_S / 3)
            site.proxies[0].kill()

    async def start_over(self, site, client, path) -> None:
        site.engines[0].ignores_offset = True
        async with anyio.create_task_group() as group:
            group.start_soon(self.ask_whole, client, path, 1)
            await anyio.sleep(4 * TOKEN_S)
            site.proxies[0].silence_open_connections()

    async def replace_engine(self, site, client, path, version: str) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self.ask_whole, client, path, 1)
            await anyio.sleep(4 * TOKEN_S)
            site.engines[0].fingerprint = version
            site.proxies[0].silence_open_connections()

    async def stall_engine(self, site, client, path, stall_bytes: bytes) -> None:
        engine = site.engines[0]
        engine.stalls_after_tokens = 2
        engine.stall_bytes = stall_bytes
        await self.ask_whole(client, path, 1)

    async def slow_engine(self, site, client, path, token_s: float) -> None:
        engine = site.engines[0]
        engine.token_s = token_s
        engine.comments = True
        await self.ask_whole(client, path, 1)
        self.engine_runs = sum(engine.request_counts.values())

    async def repeat_answers(self, site, client, path, count: int) -> None:
        site.proxies[0].repeats_answers = True
        for number in range(count):
            await self.ask_whole(client, path, number)

    async def cut_service(self, site, client, path) -> None:
        site.service.cuts_answers = True
        try:
            answer = await client.get("/stock/1", headers=path.build_headers(1))
            self.outcomes.append(str(answer.status_code))
        except httpx.RemoteProtocolError:
            self.outcomes.append("broken off")

    async def silence_streams(self, site, client, path) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self.ask_whole, client, path, 1)
            await anyio.sleep(4 * TOKEN_S)
            site.proxies[0].silence_open_connections()

    async def silence_idle(self, site, client, path) -> None:
        async with anyio.create_task_group() as group:
            for number in range(IDLE_CONNECTIONS):
                group.start_soon(self.ask_whole, client, path, number)
        self.seconds = 0.0
        site.proxies[0].silence_open_connections()
        await self.ask_whole(client, path, 9)

    async def ask_concurrently(self, site, client, path, count: int) -> None:
        site.engines[0].token_s = TOKEN_S / 10
        async with anyio.create_task_group() as group:
            for number in range(count):
                group.start_soon(self.ask_whole, client, path, number)
                await anyio.sleep(0.002 * (number % 3))

    async def rejoin(self, site, client, path, events: int) -> None:
        first = await self.ask(client, path, 1, stop_after=events)
        seen = first.received.count(b"\n\n")
        rest = await self.ask(client, path, 1, offset=seen)
        first.received += rest.received
        self.results.append(first)
        self.engine_runs = sum(site.engines[0].request_counts.values())

    async def leave(self, site, client, path, events: int) -> None:
        site.engines[0].token_s = 10.0 * GRACE_S
        with anyio.move_on_after(2 * TOKEN_S):
            await self.ask(client, path, 1, stop_after=events)
        await anyio.sleep(GRACE_S + 0.5)
        self.open_streams_after_grace = site.node.entry.parts.streams.count()

    async def race(self, site, client, path) -> None:
        headers = path.build_headers(1)

        async def send(question: str) -> None:
            response = await path.post_turn(client, headers, question)
            code = response.headers.get("burdockwall-code", "")
            ran = response.headers.get("burdockwall-ran", "")
            self.outcomes.append(f"{response.status_code} {code} {ran}".strip())

        async with anyio.create_task_group() as group:
            group.start_soon(send, "question a")
            group.start_soon(send, "question b")

    async def ask_refused(self, site, client, path) -> None:
        response = await path.post_turn(client, path.build_headers(1), "question")
        code = response.headers.get("burdockwall-code", "")
        ran = response.headers.get("burdockwall-ran", "")
        self.outcomes.append(f"{response.status_code} {code} {ran}")

    async def drain_under_load(self, site, client, path, count: int) -> None:
        for engine in site.engines:
            engine.token_s = SLOW_TOKEN_S
        async with anyio.create_task_group() as group:
            for number in range(count):
                group.start_soon(self.ask_whole, client, path, number)
            await anyio.sleep(2 * TOKEN_S)
            site.node.start_drain()
            settings = site.node.settings
            # The hold ends at the first tick after its time.
            hold_s = settings.drain_hold_s + settings.tick_interval_s
            await anyio.sleep(hold_s + LATE_S)
            await self._ask_late(site, path)
        await site.node.stop.wait()

    async def _ask_late(self, site, path) -> None:
        base = f"http://{site.node.settings.caller_address}"
        async with httpx.AsyncClient(base_url=base, trust_env=False) as client:
            try:
                headers = path.build_headers(1)
                response = await path.post_turn(client, headers, "late")
                self.outcomes.append(response.headers["burdockwall-code"])
            except httpx.TransportError:
                self.outcomes.append("no listener")
