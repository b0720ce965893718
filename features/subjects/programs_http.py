"""Call one process over HTTP with turns of programs and unrepeatable calls."""

import anyio
import httpx

from burdockwall.fakes.site import CUSTOMER, create_plan, run_site, wait_for_version
from burdockwall.request.completion import join_answer
from burdockwall.types import CustomerId

TOKEN_S = 0.001
WAIT_S = 15.0


class ProgramsHttpSubject:
    """One scenario against a new site: its actions run in order."""

    def __init__(self, cancels_to_refuse=0):
        self.plan = create_plan(TOKEN_S)
        self.plan.settings.sweep_interval_s = 0.5
        self.plan.settings.call_lease_s = 1.0
        self.plan.settings.endpoint_silence_s = 1.0
        self.cancels_to_refuse = cancels_to_refuse
        self.answers = {}
        self.results = {}
        self.actions = []

    def add(self, action):
        self.actions.append(action)

    def run(self):
        anyio.run(self._run)

    async def _run(self):
        async with run_site(self.plan) as site:
            self.site = site
            site.engines[0].reports.cancels_to_refuse = self.cancels_to_refuse
            issue = site.operator.issue_key
            self.key = await anyio.to_thread.run_sync(issue, CUSTOMER)
            await wait_for_version(site.node, 2)
            base = f"http://{site.node.settings.caller_address}"
            timeout = httpx.Timeout(WAIT_S)
            async with httpx.AsyncClient(
                base_url=base, trust_env=False, timeout=timeout
            ) as client:
                self.client = client
                for action in self.actions:
                    await action()

    def build_headers(self, **extra):
        headers = {"authorization": f"Bearer {self.key}"}
        headers.update({name.replace("_", "-"): text for name, text in extra.items()})
        return headers

    async def post_turn(self, program, number, question=None, **extra):
        headers = self.build_headers(
            program_id=program, program_turn=str(number), **extra
        )
        question = question or f"question {number}"
        messages = [{"role": "user", "content": question}]
        body = {"model": "inspector", "messages": messages, "stream": True}
        return await self.client.post(
            "/v1/chat/completions", headers=headers, json=body
        )

    async def run_turns(self, program, count):
        for number in range(1, count + 1):
            response = await self.post_turn(program, number)
            assert response.status_code == 200, response.text
            answer = join_answer(response.content)
            self.answers.setdefault(program, []).append(answer)

    async def read(self, program, key=None):
        headers = {"authorization": f"Bearer {key or self.key}"}
        return await self.client.get(f"/v1/programs/{program}", headers=headers)

    async def cancel(self, program):
        response = await self.client.delete(
            f"/v1/programs/{program}", headers=self.build_headers()
        )
        assert response.status_code == 200, response.text

    async def file(self, key, body=b"certificate"):
        headers = self.build_headers(idempotency_key=key)
        return await self.client.post("/filings", headers=headers, content=body)

    async def wait_until(self, condition):
        with anyio.fail_after(WAIT_S):
            while not condition():
                await anyio.sleep(0.05)

    async def issue_other_key(self):
        site = self.site
        text = (await anyio.to_thread.run_sync(site.operator.read_configuration)).text
        text += "\n[customer other]\nrate_per_s = 10\nburst = 20\nweight = 1\n"
        outcome = await anyio.to_thread.run_sync(site.operator.submit, text)
        await wait_for_version(site.node, outcome.version)
        issue = site.operator.issue_key
        key = await anyio.to_thread.run_sync(issue, CustomerId("other"))
        await wait_for_version(site.node, outcome.version + 1)
        return key

    async def call_operator(self, method, path, body=None):
        base = f"http://{self.site.node.settings.operator_address}"
        async with httpx.AsyncClient(
            base_url=base, trust_env=False, timeout=WAIT_S
        ) as client:
            return await client.request(method, path, json=body)


def get_code(response):
    return response.json()["error"]["code"]
