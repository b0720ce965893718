"""Streams that break off at engines of several versions, and callers that go on."""

import time
from collections.abc import Callable
from dataclasses import dataclass

import httpx

from burdockwall.connection.exchange import Headers
from burdockwall.fakes.servers import UNLIMITED, FakeServer
from burdockwall.machine import Message, Receive
from burdockwall.process.endpoints import (
    EndpointChanges,
    EndpointFollower,
    EndpointList,
    EndpointPublisher,
    ListedEndpoint,
    ListFollower,
    PublishEndpoints,
)
from burdockwall.process.sole_versions import LedVersions
from burdockwall.process.storage.messages import StreamPlace
from burdockwall.request.codec import ForwardedRequest
from burdockwall.request.stream_binding import (
    LIST_SKEW_S,
    STREAM_TIMEOUTS,
    StreamBinding,
)
from burdockwall.types import (
    Address,
    EndpointId,
    FailureDomain,
    Incarnation,
    InstanceId,
    RequestId,
    RouteName,
    ServiceName,
    SoftwareVersion,
    Term,
)
from burdockwall.version.deployment import HostRoute, RequestKind, ServiceShare
from features.subjects.platform import (
    CALL_TIMEOUT_S,
    HOST,
    PlatformSite,
    build_configuration,
    build_turn_headers,
)

BUDGET_TOKENS = 10_000
STAMP = "x-server-stamp"
# Time after which every instance has the list as it is now.
LIST_LIMIT_S = 2.0
MOST_BEGINNINGS = 40
SHORT_STREAMS_VERSION = 4
SHORT_TIMEOUT_MS = 2000


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
    body: str = ""


class StreamCaller:
    """A caller that takes up its streams when they break off."""

    def __init__(self, site: PlatformSite, has_program: bool = True) -> None:
        self.site = site
        self.has_program = has_program

    def _build_headers(self, request: str, program: str) -> dict[str, str]:
        headers = build_turn_headers(request, None, BUDGET_TOKENS)
        headers["x-program-id"] = program
        if not self.has_program:
            del headers["x-program-id"]
        return headers

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
                    received.body += line
                    if line.startswith("id: "):
                        received.events.append(int(line[4:]))
            except httpx.RemoteProtocolError:
                pass
        return received

    def begin(self, request: str, instance: int, path: str = "/trace/1") -> Received:
        """Begin a stream and receive it until it ends or breaks off."""
        headers = self._build_headers(request, f"program-{request}")
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
        headers = self._build_headers(request, f"program-{begun_by}")
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
    caller: StreamCaller,
    count: int,
    version: str | None,
    path: str = "/trace/1",
    prepare: Callable[[], None] = lambda: None,
    names_beginning: bool = True,
) -> list[TakenUp]:
    """Break streams off at engines of a version, and take each up elsewhere.

    Each engine refuses all work after it has broken a stream off, until the next one.
    `prepare` is called before a stream is taken up.
    """
    site = caller.site
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
        prepare()
        begun_by = request if names_beginning else None
        resumed = caller.resume(f"resume-{number}", begun_by, begun.events[-1], 2, path)
        taken_up.append(TakenUp(begun, resumed))
        if len(taken_up) == count:
            return taken_up
    raise AssertionError(f"only {len(taken_up)} streams began at {version}")


@dataclass(slots=True)
class Shares:
    """The streams of which some began, and the broken ones of which some went on."""

    asked: int = 0
    begun: int = 0
    broken: int = 0
    went_on: int = 0

    @property
    def new_share(self) -> float:
        """Return the share of new streams that began."""
        return self.begun / self.asked

    @property
    def resumed_share(self) -> float:
        """Return the share of broken streams that went on."""
        return self.went_on / self.broken


def take_up_under_refusals(
    caller: StreamCaller, count: int
) -> tuple[Shares, list[TakenUp]]:
    """Take up streams once each, while every engine serves and refuses some work."""
    shares = Shares()
    taken_up = []
    for engine in caller.site.engines:
        engine.cut_after_events = 1
        engine.refuses_each = 3
    for number in range(count):
        request = f"begin-{number}"
        begun = caller.begin(request, 1)
        shares.asked += 1
        if begun.status != 200:
            continue
        shares.begun += 1
        resumed = caller.resume(f"resume-{number}", request, begun.events[-1], 2)
        shares.broken += 1
        shares.went_on += resumed.status == 200
        taken_up.append(TakenUp(begun, resumed))
    return shares, taken_up


def hide_from_instance(site: PlatformSite, number: int, missed: str) -> None:
    """Drop the lists, or all that control instances send, to an entry instance."""
    host = site.entries[number - 1].member.host
    control = {node.settings.instance_id for node in site.control_nodes}
    lists_only = missed == "no list of endpoints"

    def deliver(sender: InstanceId, message: Message) -> None:
        is_list = isinstance(message, EndpointList | EndpointChanges)
        if not (is_list if lists_only else sender in control):
            host.deliver(sender, message)

    site.call_in_loop(host.bus.set_receiver, deliver)


def take_up_of_joined(caller: StreamCaller, version: str) -> TakenUp:
    """Let an engine join, and take a stream up at instance 2 that breaks off there."""
    site = caller.site
    (joined,) = (engine for engine in site.engines if engine.software == version)
    others = [engine for engine in site.engines if engine is not joined]
    for engine in others:
        engine.refusals_left = UNLIMITED
    joined.cut_after_events = 1
    site.server_list.servers.append(joined)
    give_up_at = time.monotonic() + CALL_TIMEOUT_S
    begun = Received(0, None, [])
    while begun.engine is not joined or begun.status != 200:
        assert time.monotonic() < give_up_at, begun
        begun = caller.begin(f"begin-{time.monotonic()}", 1)
    for engine in others:
        engine.refusals_left = 0
    resumed = caller.resume("resume-1", None, begun.events[-1], 2)
    return TakenUp(begun, resumed)


def remove_version(site: PlatformSite, version: str) -> None:
    """Take all engines of a version off the list, and wait until instances know."""
    for engine in site.engines:
        if engine.software == version:
            site.server_list.servers.remove(engine)
    time.sleep(LIST_LIMIT_S)


def wait_out_streams(site: PlatformSite) -> None:
    """Wait until every stream that began before has lasted longer than it may."""
    configuration = build_configuration(SHORT_STREAMS_VERSION)
    for route in configuration["routes"]:
        route["timeout-ms"] = SHORT_TIMEOUT_MS
    assert site.put_configuration(configuration).status_code == 200
    time.sleep(STREAM_TIMEOUTS * SHORT_TIMEOUT_MS / 1000 + LIST_SKEW_S + LIST_LIMIT_S)


def take_up_during_release(caller: StreamCaller, version: str) -> list[TakenUp]:
    """Take up streams of engines that have left, until the old version has gone."""
    site = caller.site
    taken_up = []
    for step in range(sum(engine.software != version for engine in site.engines)):
        begun = None
        for number in range(MOST_BEGINNINGS):
            for engine in site.engines:
                engine.cut_after_events = 1
            request = f"begin-{step}-{number}"
            begun = caller.begin(request, 1)
            if begun.engine is not None and begun.engine.software != version:
                break
        assert begun is not None and begun.engine is not None
        site.server_list.servers.remove(begun.engine)
        time.sleep(LIST_LIMIT_S)
        resumed = caller.resume(f"resume-{step}", request, begun.events[-1], 2)
        taken_up.append(TakenUp(begun, resumed))
    return taken_up


def create_endpoint(version: str) -> ListedEndpoint:
    """Create a listed endpoint of a version."""
    return ListedEndpoint(
        EndpointId(f"e-{version}"),
        ServiceName("a"),
        Address("h:1"),
        FailureDomain("d"),
        8,
        software=SoftwareVersion(version),
    )


def send_list(follower: EndpointFollower, counter: int, versions: str, now: float):
    """Send a follower a list with an endpoint of each version."""
    endpoints = [create_endpoint(version) for version in versions.split()]
    message = EndpointList(Term(1), counter, endpoints)
    follower.handle(Receive(InstanceId("leader"), message), now)


def start_follower(
    versions: dict[int, str], start_s: int, terms: dict[int, int]
) -> EndpointFollower:
    """Give a follower that starts at `start_s` what a leader publishes each second.

    `versions` are those in the list, and `terms` the leader's, from each second on.
    """
    publisher, led = EndpointPublisher(), LedVersions()
    follower, instance = EndpointFollower(), InstanceId("follower")
    for second in range(start_s + 1):
        present = versions[max(each for each in versions if each <= second)]
        term = Term(terms[max(each for each in terms if each <= second)])
        listed = [create_endpoint(version) for version in present.split()]
        led.install(
            term, [(item.service, item.software) for item in listed], float(second)
        )
        event = PublishEndpoints(
            term,
            listed,
            [ListFollower(instance, Incarnation(1))],
            sole_since=led.list_since(term),
        )
        for send in publisher.handle(event, float(second)):
            if second == start_s:
                follower.handle(Receive(instance, send.message), float(second))
    return follower


class RecordingClient:
    """A client of the stores that remembers the places it was told."""

    def __init__(self) -> None:
        self.places: list[StreamPlace] = []

    async def record_place(self, start: object, place: StreamPlace) -> None:
        """Remember a place."""
        self.places.append(place)


def create_binding() -> StreamBinding:
    """Create the binding of a request of a resumable route."""
    headers: Headers = []
    request = ForwardedRequest(
        RequestId("r"), "POST", "/t/1", "h", "/t/1", headers, None, None
    )
    route = HostRoute(
        name=RouteName("t"),
        host="h",
        prefix="/t/",
        kind=RequestKind.STREAM,
        timeout_s=3.0,
        rank=0,
        shares=(ServiceShare(ServiceName("a"), 1),),
        max_attempts=1,
        retains_turns=False,
        retention_s=60.0,
        open=True,
        resumable=True,
    )
    return StreamBinding(EndpointFollower(), request, route)
