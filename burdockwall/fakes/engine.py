"""Fakes of a model engine and of a plain service, served over HTTP."""

import hashlib
from collections import Counter
from collections.abc import Callable

import anyio
import msgspec

from burdockwall.connection.exchange import Exchange
from burdockwall.fakes.engine_reports import EngineReports
from burdockwall.request.completion import CompletionRequest, parse_completion
from burdockwall.request.events import LAST_EVENT_ID

WORDS = ("hood", "duct", "filter", "flue", "grease", "access", "panel", "fan")
STALL_INTERVAL_S = 0.2
COMMENT = b": still here\n\n"
ENGINE_BODY_BYTES = 67_108_864
RATE_LIMIT = b"request-limit"
EVENT_HEADERS = [(b"content-type", b"text/event-stream")]


def generate_tokens(completion: CompletionRequest) -> list[str]:
    """Generate the tokens of the answer; the same prompt always has the same answer."""
    prompt = msgspec.json.encode(completion.messages)
    digest = hashlib.sha256(prompt).digest()
    count = min(completion.max_tokens, 4 + digest[0] % 8)
    return [WORDS[digest[index + 1] % len(WORDS)] + " " for index in range(count)]


def _drop_partial_answer(completion: CompletionRequest) -> CompletionRequest:
    if not completion.continue_final_message:
        return completion
    return msgspec.structs.replace(completion, messages=completion.messages[:-1])


def format_event(number: int, token: str, fingerprint: str = "") -> bytes:
    """Format one token as a server-sent event, with the engine's fingerprint if set."""
    event: dict[str, object] = {"choices": [{"delta": {"content": token}}]}
    if fingerprint:
        event["system_fingerprint"] = fingerprint
    data = msgspec.json.encode(event)
    return b"id: %d\ndata: %s\n\n" % (number, data)


def format_request(exchange: Exchange, body: bytes) -> bytes:
    """Return the request line, headers and body of a request as one text."""
    headers = b"\n".join(b": ".join(pair) for pair in exchange.headers)
    start = f"{exchange.method} {exchange.raw_path}?".encode() + exchange.query
    return b"\n".join((start, headers, body))


class FakeEngine:
    """An engine that streams, resumes and cancels completions.

    It waits `token_s` before each token. If `cut_after_tokens` is not 0, it breaks a
    stream that starts at the first token after that many tokens. With `ignores_offset`
    it starts a resumed stream at the first token. `fingerprint` names its software and
    is part of each event, unless it is empty. With `comments` it sends a comment before
    each token. After `stalls_after_tokens`, if not 0, a stream that starts at the first
    token sends only `stall_bytes` now and then. `rate_limit`, unless it is empty, names
    in each answer the rate of requests that it takes. A request whose body contains
    `crashes_on`, unless that is empty, calls `crash` as it begins to run.
    """

    def __init__(self, token_s: float = 0.001, cut_after_tokens: int = 0) -> None:
        self.token_s = token_s
        self.cut_after_tokens = cut_after_tokens
        self.ignores_offset = False
        self.fingerprint = ""
        self.rate_limit = ""
        self.crashes_on = b""
        self.crash: Callable[[], None] = lambda: None
        self.request_times: list[float] = []
        self.comments = False
        self.stalls_after_tokens = 0
        self.stall_bytes = b":"
        self.received_requests: list[bytes] = []
        self.request_counts: Counter[str] = Counter()
        self.events_sent = 0
        self.reports = EngineReports()

    async def serve(self, exchange: Exchange) -> None:
        """Serve one request from an entry instance."""
        if await self.reports.serve(exchange):
            return
        request = exchange.get_header(b"request-id") or ""
        self.reports.running_calls += 1
        try:
            with anyio.CancelScope() as scope:
                self.reports.open_requests[request] = scope
                await self._serve_completion(exchange)
        finally:
            self.reports.running_calls -= 1
            # A resumed stream may have replaced the entry of the one that was cut.
            if self.reports.open_requests.get(request) is scope:
                del self.reports.open_requests[request]

    async def _serve_completion(self, exchange: Exchange) -> None:
        body = await exchange.read_body(ENGINE_BODY_BYTES)
        self.received_requests.append(format_request(exchange, body))
        self.request_times.append(anyio.current_time())
        if self.crashes_on and self.crashes_on in body:
            self.crash()
            await anyio.sleep_forever()
        completion = parse_completion(body)
        request = exchange.get_header(b"request-id") or ""
        self.request_counts[request] += 1
        offset = int(exchange.get_header(LAST_EVENT_ID) or 0)
        if self.ignores_offset:
            offset = 0
        echo = (b"request-id", request.encode())
        limit = [(RATE_LIMIT, self.rate_limit.encode())] if self.rate_limit else []
        await exchange.start(200, [*EVENT_HEADERS, echo, *limit])
        tokens = generate_tokens(_drop_partial_answer(completion))
        for number, token in enumerate(tokens, 1):
            if number <= offset:
                continue
            if self.cut_after_tokens and number > self.cut_after_tokens and offset == 0:
                raise ConnectionAbortedError("the stream is cut on purpose")
            if self.stalls_after_tokens and number > self.stalls_after_tokens > offset:
                await self._stall(exchange)
            if self.comments:
                await exchange.write(COMMENT)
            await anyio.sleep(self.token_s)
            await exchange.write(format_event(number, token, self.fingerprint))
            self.events_sent += 1
        self.reports.store(exchange, len(body) // 4 + len(tokens))
        await exchange.write(b"id: %d\ndata: [DONE]\n\n" % (len(tokens) + 1))
        await exchange.finish()

    async def _stall(self, exchange: Exchange) -> None:
        while True:
            await anyio.sleep(STALL_INTERVAL_S)
            await exchange.write(self.stall_bytes)


class FakeService:
    """A plain service that counts the runs per idempotency key.

    Calls without a key are counted by their body. Each call takes `delay_s`. With
    `cuts_answers` the connection breaks halfway through each answer. A call whose body
    contains `crashes_on`, unless that is empty, calls `crash` as it begins to run.
    """

    def __init__(self) -> None:
        self.crashes_on = b""
        self.crash: Callable[[], None] = lambda: None
        self.run_counts: Counter[str] = Counter()
        self.delay_s = 0.0
        self.cuts_answers = False
        self.received_requests: list[bytes] = []

    async def serve(self, exchange: Exchange) -> None:
        """Serve one call."""
        body = await exchange.read_body(ENGINE_BODY_BYTES)
        self.received_requests.append(format_request(exchange, body))
        if self.crashes_on and self.crashes_on in body:
            self.crash()
            await anyio.sleep_forever()
        key = exchange.get_header(b"idempotency-key") or body.decode()
        self.run_counts[key] += 1
        await anyio.sleep(self.delay_s)
        if self.cuts_answers:
            await exchange.start(200, [])
            await exchange.write(b'{"filed":')
            raise ConnectionAbortedError("the answer is cut on purpose")
        await exchange.answer_json(200, {"filed": key, "run": self.run_counts[key]})
