"""Send requests to a running site over sockets on the loopback interface."""

from collections.abc import Awaitable, Callable

import anyio
import httpx

from burdockwall.fakes.engine import FakeEngine, generate_tokens
from burdockwall.fakes.site import (
    CUSTOMER,
    Site,
    SitePlan,
    create_plan,
    run_site,
    wait_for_version,
)
from burdockwall.process.control.audit import verify_audit
from burdockwall.request.completion import ChatMessage, CompletionRequest, join_answer
from burdockwall.types import ModelName

MODEL = ModelName("inspector")
TOKEN_S = 0.001


def create_interrupting_plan(cut_after: int) -> SitePlan:
    plan = create_plan(TOKEN_S)
    plan.engines = [FakeEngine(TOKEN_S, cut_after)]
    return plan


class PathSubject:
    """Runs one action at a new site and stores its answers and refusals.

    `seen` has the bytes of every request that the endpoints received.
    """

    def __init__(self, plan: SitePlan | None = None) -> None:
        self.plan = plan or create_plan(TOKEN_S)
        self.key = ""
        self.answers: list[str] = []
        self.questions: list[str] = []
        self.refusal: httpx.Response | None = None
        self.seen: list[bytes] = []
        self.audit_is_valid = False

    def run(self, action: Callable[[Site, httpx.AsyncClient], Awaitable[None]]) -> None:
        anyio.run(self._run, action)

    async def _run(self, action) -> None:
        async with run_site(self.plan) as site:
            self.key = await anyio.to_thread.run_sync(site.operator.issue_key, CUSTOMER)
            await wait_for_version(site.node, 2)
            base = f"http://{site.node.settings.caller_address}"
            async with httpx.AsyncClient(base_url=base, trust_env=False) as client:
                await action(site, client)
            if not site.node.stop.is_set():
                page = await anyio.to_thread.run_sync(site.operator.read_audit)
                self.audit_is_valid = verify_audit(page.records)
            self.seen = site.service.received_requests
            for engine in site.engines:
                self.seen = self.seen + engine.received_requests

    def build_headers(self, turn: int) -> dict[str, str]:
        return {
            "authorization": f"Bearer {self.key}",
            "program-id": "program-1",
            "program-turn": str(turn),
        }

    async def post_turn(self, client, headers, question) -> httpx.Response:
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": question}],
            "stream": True,
        }
        return await client.post("/v1/chat/completions", headers=headers, json=body)

    async def send_turns(self, client: httpx.AsyncClient, count: int) -> None:
        for turn in range(1, count + 1):
            question = f"question {turn}"
            response = await self.post_turn(client, self.build_headers(turn), question)
            assert response.status_code == 200, response.text
            self.questions.append(question)
            self.answers.append(join_answer(response.content))

    async def misplace_key(self, client: httpx.AsyncClient) -> None:
        headers = self.build_headers(2)
        responses = [
            await self.post_turn(client, headers, f"my key is {self.key}"),
            await self.post_turn(
                client, {**headers, "program-id": self.key}, "question"
            ),
            await client.post(f"/filings/{self.key}", headers=headers, content=b"a"),
            await client.post("/filings", headers=headers, content=self.key.encode()),
        ]
        for response in responses:
            assert response.status_code == 400, response.text

    def compute_expected(self) -> list[str]:
        history: list[ChatMessage] = []
        expected = []
        for question in self.questions:
            history.append(ChatMessage("user", question))
            tokens = generate_tokens(CompletionRequest(MODEL, history))
            answer = "".join(tokens)
            history.append(ChatMessage("assistant", answer))
            expected.append(answer)
        return expected
