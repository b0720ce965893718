"""Answers that are cut at each byte, and what their callers receive."""

from dataclasses import dataclass

import anyio

from burdockwall.version.deployment import RequestKind
from features.subjects.answer_site import (
    SIGNATURE,
    AnswerSite,
    CallerView,
    Ending,
    Script,
    ScriptedEndpoint,
)

OWN = b"X-Request-Id: own\r\n" + SIGNATURE
HEAD = b"HTTP/1.1 200 OK\r\n" + OWN
EVENTS = [b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n", b"id: 3\ndata: end\n\n"]
NOT_RUN = (408, 421, 429, 503)


@dataclass(frozen=True, slots=True)
class Framing:
    """The head of an answer, its body as sent, and whether a close ends it."""

    head: bytes
    sent: bytes
    ends_by_close: bool = False


def build_framing(name: str, body: bytes) -> Framing:
    """Build an answer of a body with a framing."""
    match name:
        case "a length":
            length = f"Content-Length: {len(body)}\r\n\r\n".encode()
            return Framing(HEAD + length, body)
        case "chunks":
            half = len(body) // 2
            chunks = [body[:half], body[half:]]
            sent = b"".join(b"%x\r\n%s\r\n" % (len(item), item) for item in chunks)
            return Framing(
                HEAD + b"Transfer-Encoding: chunked\r\n\r\n", sent + b"0\r\n\r\n"
            )
        case "its connection's end":
            return Framing(HEAD + b"Connection: close\r\n\r\n", body, True)
        case _:
            raise ValueError(name)


def read_kind(name: str) -> RequestKind:
    """Return the kind of request that is answered by a whole answer or a stream."""
    return RequestKind.STREAM if name == "stream" else RequestKind.UNSAFE


class CutAnswers:
    """One answer, cut at each byte and with each ending."""

    def __init__(self, framing: str, kind: str) -> None:
        self.kind = read_kind(kind)
        self.body = b"".join(EVENTS) if kind == "stream" else b"filed as number 17"
        self.framing = build_framing(framing, self.body)
        self.faults: list[str] = []

    def run(self) -> None:
        """Play every cut."""
        anyio.run(self._run)

    async def _run(self) -> None:
        data = self.framing.head + self.framing.sent
        for ending in (Ending.CLOSE, Ending.RESET):
            for cut in range(len(data) + 1):
                other = ScriptedEndpoint("e2", [])
                first = ScriptedEndpoint("e1", [Script([data[:cut]], ending)])
                view = await AnswerSite([first, other]).ask(self.kind, "own")
                self._check(view, cut, ending)
                if other.requests:
                    self._report("ran at a second endpoint", cut, ending, view)

    def _report(self, fault: str, cut: int, ending: Ending, view: CallerView) -> None:
        self.faults.append(f"cut at {cut}, {ending.value}: {fault}: {view}")

    def _check(self, view: CallerView, cut: int, ending: Ending) -> None:
        if view.status in NOT_RUN:
            self._report("called not run", cut, ending, view)
        if view.status == 200 and not self.body.startswith(view.body):
            self._report("other bytes", cut, ending, view)
        complete = self._is_complete(cut, ending)
        if view.status == 200 and view.whole and not complete:
            self._report("looks whole", cut, ending, view)
        if complete and not (view.whole and view.status == 200):
            self._report("is not passed on", cut, ending, view)

    def _is_complete(self, cut: int, ending: Ending) -> bool:
        """Return whether what came before the cut is a complete answer."""
        data_bytes = len(self.framing.head) + len(self.framing.sent)
        if not self.framing.ends_by_close:
            return cut == data_bytes
        if ending is not Ending.CLOSE or cut < len(self.framing.head):
            return False
        received = self.framing.sent[: cut - len(self.framing.head)]
        if self.kind is RequestKind.UNSAFE:
            return True
        return bool(received) and received.endswith(b"\n\n")


class PlainAnswers:
    """Answers that are wrong in themselves, of two endpoints."""

    def __init__(self, kind: str) -> None:
        self.kind = read_kind(kind)

    def ask(self, *answers: bytes) -> tuple[CallerView, list[int]]:
        """Return what the caller gets, and how often each endpoint was asked."""

        async def run():
            endpoints = [
                ScriptedEndpoint(f"e{number}", [Script([answer], Ending.CLOSE)])
                for number, answer in enumerate(answers)
            ]
            view = await AnswerSite(endpoints).ask(self.kind, "own")
            return view, [len(item.requests) for item in endpoints]

        return anyio.run(run)


def relay_answer(answer: bytes) -> CallerView:
    """Relay a request to a peer with an answer; return what its caller has received."""
    peer = ScriptedEndpoint("peer", [Script([answer], Ending.CLOSE)])

    async def run():
        return await AnswerSite([peer]).relay("own")

    return anyio.run(run)
