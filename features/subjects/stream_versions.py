"""Streams that break off at engines of several versions, and callers that go on."""

from dataclasses import dataclass

import httpx

from burdockwall.fakes.servers import FakeServer
from features.subjects.platform import (
    CALL_TIMEOUT_S,
    HOST,
    PlatformSite,
    build_turn_headers,
)

BUDGET_TOKENS = 10_000
STAMP = "x-server-stamp"


def create_engines(versions: str, service: str = "engines") -> list[FakeServer]:
    """Create an engine for each version."""
    return [
        FakeServer(f"{service}-{number}", service, software=version)
        for number, version in enumerate(versions.split(), 1)
    ]


@dataclass(slots=True)
class Received:
    """What a caller has received: the status, the engine and the event numbers."""

    status: int
    engine: FakeServer | None
    events: list[int]
    retry_after: str | None = None


class StreamCaller:
    """A caller that takes up its streams when they break off."""

    def __init__(self, site: PlatformSite) -> None:
        self.site = site

    def _find_engine(self, headers: httpx.Headers) -> FakeServer | None:
        stamp = headers.get(STAMP, "")
        for engine in self.site.engines:
            if stamp.startswith(f"stamp-{engine.name}-"):
                return engine
        return None

    def _read(self, path: str, headers: dict[str, str], instance: int) -> Received:
        address = self.site.entries[instance - 1].settings.caller_address
        with httpx.stream(
            "POST",
            f"http://{address}{path}",
            headers={"host": HOST, "x-deadline-ms": "3000", **headers},
            content=b"ask",
            timeout=CALL_TIMEOUT_S,
            trust_env=False,
        ) as response:
            received = Received(
                response.status_code,
                self._find_engine(response.headers),
                [],
                response.headers.get("retry-after"),
            )
            try:
                for line in response.iter_lines():
                    if line.startswith("id: "):
                        received.events.append(int(line[4:]))
            except httpx.RemoteProtocolError:
                pass
        return received

    def begin(self, request: str, instance: int, path: str = "/trace/1") -> Received:
        """Begin a stream and receive it until it ends or breaks off."""
        headers = build_turn_headers(request, None, BUDGET_TOKENS)
        headers["x-program-id"] = f"program-{request}"
        return self._read(path, headers, instance)

    def resume(
        self,
        request: str,
        begun_by: str | None,
        last_event: int,
        instance: int,
        path: str = "/trace/1",
    ) -> Received:
        """Take up a stream after the last event received."""
        headers = build_turn_headers(request, None, BUDGET_TOKENS)
        headers["x-program-id"] = f"program-{begun_by}"
        headers["last-event-id"] = str(last_event)
        if begun_by is not None:
            headers["resumes"] = begun_by
        return self._read(path, headers, instance)


@dataclass(frozen=True, slots=True)
class TakenUp:
    """A stream that broke off, and what its caller received when taking it up."""

    begun: Received
    resumed: Received


def take_up_streams(
    site: PlatformSite, count: int, version: str | None, path: str = "/trace/1"
) -> list[TakenUp]:
    """Break streams off at engines of a version, and take each up elsewhere.

    Each engine refuses all work after it has broken a stream off, until the next one.
    """
    caller = StreamCaller(site)
    taken_up = []
    for number in range(1, 40 * count):
        for engine in site.engines:
            engine.refusals_left = 0
            engine.refuses_after_cut = True
            engine.cut_after_events = 1
        request = f"begin-{number}"
        begun = caller.begin(request, 1, path)
        assert begun.status == 200 and begun.engine is not None, begun
        if version is not None and begun.engine.software != version:
            continue
        resumed = caller.resume(f"resume-{number}", request, begun.events[-1], 2, path)
        taken_up.append(TakenUp(begun, resumed))
        if len(taken_up) == count:
            return taken_up
    raise AssertionError(f"only {len(taken_up)} streams began at {version}")
