"""Instances, endpoints that serve badly, and the leader that compares them."""

import random
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from burdockwall.fakes.servers import FakeServer
from burdockwall.machine import Receive, Tick
from burdockwall.process.endpoints import ListedEndpoint
from burdockwall.process.scheduling.balance import Balancer
from burdockwall.process.scheduling.endpoint_health import EndpointHealth
from burdockwall.process.scheduling.outliers import OutlierDetector
from burdockwall.types import (
    Address,
    EndpointId,
    FailureDomain,
    Incarnation,
    InstanceId,
    RouteName,
    ServiceName,
    Term,
)
from features.subjects.platform import PlatformSite

LEADER = InstanceId("leader")
ROUTE = RouteName("route")
STEP_S = 0.05
USUAL_S = 0.05
# What becomes of a request: its time in seconds, or None if it fails.
Serve = Callable[["HealthSite", int, str], float | None]


def list_endpoint(name: str) -> ListedEndpoint:
    """Create a listed endpoint of the service."""
    return ListedEndpoint(
        EndpointId(name), ServiceName("s"), Address(name), FailureDomain("d"), 8
    )


@dataclass(slots=True)
class Instance:
    """One instance's own parts, and when it last heard from an endpoint."""

    health: EndpointHealth
    balancer: Balancer
    contact_at: float = 0.0


@dataclass(slots=True)
class Seen:
    """What a run showed: the bad endpoint's weight, requests, and marked endpoints."""

    weights: list[float] = field(default_factory=list)
    sent: list[tuple[float, str]] = field(default_factory=list)
    marked: list[int] = field(default_factory=list)
    ejected_at: float | None = None


class HealthSite:
    """Instances that send requests on virtual time and report to a leader."""

    def __init__(
        self, instances: int, rate_per_s: float, endpoints: int, seed: int
    ) -> None:
        self.random = random.Random(f"health-{seed}")
        self.now = 0.0
        self.rate_per_s = rate_per_s
        self.listed = [list_endpoint(f"e{number}") for number in range(endpoints)]
        self.detector = OutlierDetector(lambda: Term(1))
        self.instances = [self._create_instance(number) for number in range(instances)]
        self.seen = Seen()

    def _create_instance(self, number: int) -> Instance:
        health = EndpointHealth(
            Incarnation(number),
            lambda: self.instances[number].contact_at,
            lambda leader: True,
        )
        health.install_leader(LEADER)
        generator = random.Random(self.random.random())
        balancer = Balancer(FailureDomain("d"), generator, health=health)
        return Instance(health, balancer)

    def run(self, seconds: float, serve: Serve) -> None:
        """Let the instances send requests for a time."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self.detector.handle(Tick(), self.now)
            if round(self.now / STEP_S) % 20 == 1:
                self.detector.install(self.listed, self.now)
            for number, instance in enumerate(self.instances):
                if self.random.random() < self.rate_per_s * STEP_S:
                    self._send(number, instance, serve)
                self._report(number, instance)
            self._observe()

    def _send(self, number: int, instance: Instance, serve: Serve) -> None:
        chosen = instance.balancer.choose(self.listed, "", self.now)
        assert chosen is not None
        self.seen.sent.append((self.now, chosen.name))
        time_s = serve(self, number, chosen.name)
        if time_s is None:
            instance.balancer.record_failure(chosen.name, self.now)
            instance.health.record_failed(chosen.name, self.now)
            return
        instance.contact_at = self.now
        instance.balancer.record_success(chosen.name)
        time_s *= self.random.uniform(0.5, 2.0)
        instance.health.record_answered(chosen.name, ROUTE, time_s)

    def _report(self, number: int, instance: Instance) -> None:
        name = InstanceId(f"i{number}")
        for send in instance.health.handle(Tick(), self.now):
            received = Receive(name, send.message)
            for answer in self.detector.handle(received, self.now):
                instance.health.handle(Receive(LEADER, answer.message), self.now)

    def _observe(self) -> None:
        health = self.instances[0].health
        weights = [health.get_weight(item.name, self.now) for item in self.listed]
        self.seen.weights.append(weights[0])
        self.seen.marked.append(sum(weight < 1.0 for weight in weights))
        if self.detector.count_ejected(self.now) and self.seen.ejected_at is None:
            self.seen.ejected_at = self.now

    def compute_share(self, since: float) -> float:
        """Return the bad endpoint's part of an even share since a time."""
        names = [name for at, name in self.seen.sent if at >= since]
        return names.count("e0") * len(self.listed) / len(names)


def fail_share(endpoints: tuple[str, ...], share: float) -> Serve:
    """Let endpoints fail a share of their requests."""

    def serve(site: HealthSite, instance: int, endpoint: str) -> float | None:
        failed = endpoint in endpoints and site.random.random() < share
        return None if failed else USUAL_S

    return serve


def serve_well(site: HealthSite, instance: int, endpoint: str) -> float | None:
    """Serve every request."""
    return USUAL_S


def serve_slowly(site: HealthSite, instance: int, endpoint: str) -> float | None:
    """Let one endpoint take eight times as long."""
    return USUAL_S * 8 if endpoint == "e0" else USUAL_S


def alternate(site: HealthSite, instance: int, endpoint: str) -> float | None:
    """Let one endpoint be down for a second in two."""
    return None if endpoint == "e0" and int(site.now) % 2 else USUAL_S


def fail_at_instance(site: HealthSite, instance: int, endpoint: str) -> float | None:
    """Let one instance fail at one endpoint."""
    return None if instance == 0 and endpoint == "e0" else USUAL_S


def cut_instances(site: HealthSite, instance: int, endpoint: str) -> float | None:
    """Let two instances fail at every endpoint, so that each has two accusers."""
    return None if instance < 2 else USUAL_S


FAULTS: dict[str, Serve] = {
    "fails 45 in 100": fail_share(("e0",), 0.45),
    "hangs on 30 in 100": fail_share(("e0",), 0.3),
    "alternates": alternate,
    "is slow": serve_slowly,
    "nothing fails": serve_well,
    "every endpoint fails 45 in 100": fail_share(
        tuple(f"e{number}" for number in range(6)), 0.45
    ),
    "one instance fails at one endpoint": fail_at_instance,
    "two instances reach nothing": cut_instances,
    "three endpoints fail 60 in 100": fail_share(("e0", "e1", "e2"), 0.6),
}


class BadServerSite:
    """A site of real processes' parts whose first tool server refuses requests."""

    def __init__(self) -> None:
        self.tools = [FakeServer(f"tool-{number}", "tools") for number in (1, 2, 3)]
        self.tools[0].refuses_each = 2
        # With several calls at once, instances use all servers.
        for tool in self.tools:
            tool.delay_s = 0.15
        self.site = PlatformSite(tools=self.tools)
        self.statuses: list[tuple[float, int]] = []

    def _call(self, number: int) -> None:
        headers = {"x-request-id": f"call-{number}", "x-api-key": "key-one"}
        answer = self.site.send_request("GET", "/tool/1", headers, b"", 1 + number % 2)
        self.statuses.append((time.monotonic(), answer.status_code))

    def send_calls(self, rate_per_s: int, seconds: int) -> None:
        """Send calls to the two instances in turn."""
        with ThreadPoolExecutor(16) as pool:
            for number in range(rate_per_s * seconds):
                pool.submit(self._call, number)
                time.sleep(1 / rate_per_s)

    def compute_share(self, since: float) -> float:
        """Return the bad server's part of an even share since a time."""
        counts = [
            sum(each.received_at >= since for each in tool.received_requests)
            for tool in self.tools
        ]
        return counts[0] * len(counts) / sum(counts)
