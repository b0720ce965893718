"""Run three real processes on loopback, kill one and continue through another."""

import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import httpx

from burdockwall.client import OperatorClient
from burdockwall.errors import OperatorError
from burdockwall.fakes.engine import FakeEngine, FakeService, generate_tokens
from burdockwall.fakes.ports import find_address
from burdockwall.fakes.site import CUSTOMER, SitePlan, build_configuration
from burdockwall.process.web import serve_address
from burdockwall.request.completion import ChatMessage, CompletionRequest, join_answer
from burdockwall.types import Address, ModelName, OperatorId
from burdockwall.version.configuration import print_configuration
from burdockwall.version.keys import compute_digest
from burdockwall.version.shards import SHARD_COUNT

ROOT = Path(__file__).resolve().parents[2]
INSTANCE_NAMES = ("both-1", "both-2", "both-3")
TOKEN = "token-of-the-test"
MODEL = ModelName("inspector")
TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.2
TOKEN_INTERVAL_S = 0.05
SERVICE_DELAY_S = 1.0
ENVIRONMENT = {**os.environ, "PYTHONPATH": str(ROOT)}


@dataclass(slots=True)
class Member:
    """One process and its addresses."""

    name: str
    caller: Address = field(default_factory=find_address)
    operator: Address = field(default_factory=find_address)
    peer: Address = field(default_factory=find_address)
    process: subprocess.Popen | None = None


class FleetKillSubject:
    """A fleet of three processes, with a fake engine and service in this process."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.members = [Member(name) for name in INSTANCE_NAMES]
        self.engine = FakeEngine(TOKEN_INTERVAL_S)
        self.service = FakeService()
        self.engine_address = find_address()
        self.service_address = find_address()
        self.key = ""
        self.filings: dict[str, list[str]] = {}
        self._stop = threading.Event()
        self._thread = threading.Thread(target=anyio.run, args=(self._serve_fakes,))

    def close(self) -> None:
        for member in self.members:
            if member.process is not None and member.process.poll() is None:
                member.process.kill()
                member.process.wait()
        self._stop.set()
        if self._thread.is_alive():
            self._thread.join()
        self._folder.cleanup()

    async def _serve_fakes(self) -> None:
        stop = anyio.Event()
        async with anyio.create_task_group() as group:
            for address, fake in (
                (self.engine_address, self.engine),
                (self.service_address, self.service),
            ):
                group.start_soon(serve_address, address, fake.serve, stop, 0.1)
            while not self._stop.is_set():
                await anyio.sleep(0.1)
            stop.set()

    def write_settings(self, position: int) -> Path:
        member = self.members[position]
        others = [item for item in self.members if item is not member]
        peers = " ".join(f"{item.name}={item.peer}" for item in others)
        path = self.folder / f"{member.name}.ini"
        path.write_text(
            f"[instance]\nid = {member.name}\nrole = both\n"
            f"failure_domain = {'abc'[position]}\n"
            f"data_folder = {self.folder / member.name}\n"
            f"[listen]\ncaller = {member.caller}\noperator = {member.operator}\n"
            f"peer = {member.peer}\n"
            f"[peers]\ninstances = {peers}\ncontrol = {' '.join(INSTANCE_NAMES)}\n"
            f"[tls]\npeer_plaintext = yes\n[drain]\nhold = 0\n"
            f"[operators]\nname = ann\ndigest = {compute_digest(TOKEN)}\n"
        )
        return path

    def start(self) -> None:
        self._thread.start()
        for position, member in enumerate(self.members):
            path = self.write_settings(position)
            command = "bootstrap" if position == 0 else "join"
            self.run_command("control", command, "--settings", str(path))
            self.serve(member)
        self.wait(lambda: self.count_voters() == len(INSTANCE_NAMES))
        plan = SitePlan(rate_per_s=200.0, burst=200)
        plan = build_configuration(plan, [self.engine_address], self.service_address)
        client = self.create_client()
        client.submit(print_configuration(plan))
        self.key = client.issue_key(CUSTOMER)
        self.wait(self.is_fully_replicated)
        self.wait(lambda: all(self.is_serving(item) for item in self.members))

    def run_command(self, *arguments: str) -> None:
        command = [sys.executable, "-m", "burdockwall", *arguments]
        subprocess.run(
            command, cwd=ROOT, env=ENVIRONMENT, check=True, capture_output=True
        )

    def serve(self, member: Member) -> None:
        path = self.folder / f"{member.name}.ini"
        command = [sys.executable, "-m", "burdockwall", "serve"]
        command += ["--settings", str(path)]
        log = (self.folder / f"{member.name}.log").open("ab")
        member.process = subprocess.Popen(
            command, cwd=ROOT, env=ENVIRONMENT, stderr=log
        )

    def create_client(self) -> OperatorClient:
        first, *others = [item.operator for item in self.members]
        name = OperatorId("ann")
        return OperatorClient(first, name, token=TOKEN, others=tuple(others))

    def count_voters(self) -> int:
        try:
            page = self.create_client().read_replica()
        except OperatorError:
            return 0
        return sum(member.voting for member in page.members)

    def is_fully_replicated(self) -> bool:
        """Return whether every shard has all its copies."""
        for member in self.members:
            client = OperatorClient(member.operator, OperatorId("ann"), token=TOKEN)
            try:
                health = client.read_fleet().shards
            except OperatorError:
                continue
            return health.whole == SHARD_COUNT and not health.joining
        return False

    def is_serving(self, member: Member) -> bool:
        try:
            answer = self.post_turn(member, f"probe-{member.name}", 1, "probe", 5.0)
        except httpx.TransportError:
            return False
        return answer.status_code in (200, 409)

    def wait(self, condition) -> None:
        deadline = time.monotonic() + TIMEOUT_S
        while not condition():
            if time.monotonic() > deadline:
                raise AssertionError(self.read_logs())
            time.sleep(POLL_INTERVAL_S)

    def read_logs(self) -> str:
        tails = [path.read_text()[-1500:] for path in self.folder.glob("*.log")]
        return "\n".join(tails)

    def post_turn(
        self, member: Member, program: str, turn: int, question: str, limit_s: float
    ) -> httpx.Response:
        headers = {
            "authorization": f"Bearer {self.key}",
            "program-id": program,
            "program-turn": str(turn),
        }
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": question}],
            "stream": True,
        }
        url = f"http://{member.caller}/v1/chat/completions"
        return httpx.post(
            url, headers=headers, json=body, timeout=limit_s, trust_env=False
        )

    def post_filing(self, member: Member, name: str, limit_s: float) -> str:
        headers = {"authorization": f"Bearer {self.key}", "idempotency-key": name}
        url = f"http://{member.caller}/filings"
        try:
            answer = httpx.post(
                url,
                headers=headers,
                content=b"filing",
                timeout=limit_s,
                trust_env=False,
            )
        except httpx.TransportError:
            return "cut off"
        code = answer.headers.get("burdockwall-code", "")
        return f"{answer.status_code} {code}".strip()

    def run_first_turns(self, count: int) -> None:
        for number in range(count):
            answer = self.post_turn(
                self.members[0], f"program-{number}", 1, f"first {number}", 20.0
            )
            assert answer.status_code == 200, answer.text

    def kill_during_calls(self, turns: int, filings: int) -> None:
        self.service.delay_s = SERVICE_DELAY_S
        self.filings = {f"filing-{number}": [] for number in range(filings)}
        threads = [
            threading.Thread(target=self._post_second_turn, args=(number,))
            for number in range(turns)
        ]
        threads += [
            threading.Thread(target=self._post_filing, args=(name,))
            for name in self.filings
        ]
        for thread in threads:
            thread.start()
        # A filing runs for SERVICE_DELAY_S, so it is still in flight.
        self.wait(lambda: sum(self.service.run_counts.values()) > 0)
        self.members[0].process.send_signal(signal.SIGKILL)
        self.members[0].process.wait()
        for thread in threads:
            thread.join()

    def _post_second_turn(self, number: int) -> None:
        try:
            self.post_turn(
                self.members[0], f"program-{number}", 2, f"second {number}", 20.0
            )
        except httpx.TransportError:
            return

    def _post_filing(self, name: str) -> None:
        self.filings[name].append(self.post_filing(self.members[0], name, 20.0))

    def repeat_second_turn(self, number: int) -> str:
        """Post the second turn through another process until it is answered."""
        deadline = time.monotonic() + TIMEOUT_S
        program, question = f"program-{number}", f"second {number}"
        while True:
            answer = self.post_turn(self.members[1], program, 2, question, 20.0)
            if answer.status_code == 200:
                return join_answer(answer.content)
            if time.monotonic() > deadline:
                raise AssertionError(answer.text + self.read_logs())
            time.sleep(float(answer.headers.get("retry-after", "0.2")))

    def compute_second_answer(self, number: int) -> str:
        first = [ChatMessage("user", f"first {number}")]
        answer = "".join(generate_tokens(CompletionRequest(MODEL, first)))
        history = [*first, ChatMessage("assistant", answer)]
        history.append(ChatMessage("user", f"second {number}"))
        return "".join(generate_tokens(CompletionRequest(MODEL, history)))

    def resend_filings(self) -> None:
        for name, outcomes in self.filings.items():
            for _ in range(2):
                outcomes.append(self.post_filing(self.members[2], name, 20.0))
        self.wait(self._are_filings_settled)

    def _are_filings_settled(self) -> bool:
        for name, outcomes in self.filings.items():
            outcomes.append(self.post_filing(self.members[1], name, 20.0))
        last = [outcomes[-1] for outcomes in self.filings.values()]
        return not any(outcome.startswith(("503", "429", "cut")) for outcome in last)

    def drain_without_token(self) -> int:
        client = OperatorClient(self.members[1].operator, OperatorId("stranger"))
        try:
            client.drain()
        except OperatorError as error:
            return error.code.value.number
        return 0

    def restart_killed(self) -> None:
        self.serve(self.members[0])
        self.wait(lambda: self.is_serving(self.members[0]))
