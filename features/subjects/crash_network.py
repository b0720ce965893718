"""Many instances on virtual time whose endpoints crash, with or without a cause."""

import random
from dataclasses import dataclass, field

from burdockwall.fakes.network import FakeNetwork, NetworkConditions
from burdockwall.machine import Tick
from burdockwall.process.crashes.messages import AskSuspects, ShareSuspects
from burdockwall.process.crashes.watch import (
    GATHER_S,
    CrashWatch,
    InstancesChanged,
    NewsGathered,
    RefusalChanged,
    RunCrashed,
    RunEnded,
)
from burdockwall.types import EndpointId, Fingerprint, InstanceId

TICK_S = 0.1
DOWN_S = 3.0
# A deadly request crashes its endpoint this long after it was sent.
DEADLY_RUN_S = 0.08
RUN_MIN_S, RUN_MAX_S = 0.05, 0.5
RETRY_MIN_S, RETRY_MAX_S = 0.1, 0.4
# Callers of requests that crash nothing give up after this many failures.
MAX_FAILURES = 6
CONTACT_S = 3.0
CRASHES_ALLOWED = 3
# Callers with a method and target; deadly requests are all of the first.
SOURCES = tuple(b"source-%d" % number for number in range(4))


@dataclass(slots=True)
class Run:
    """One run of a request, which was sent at a time by an instance."""

    fingerprint: Fingerprint
    instance: InstanceId
    began_at: float
    failures: int = 0
    over: bool = False


@dataclass(slots=True)
class CrashableEndpoint:
    """An endpoint and what it runs; `start` counts its starts."""

    name: str
    start: int = 0
    up: bool = True
    runs: list[Run] = field(default_factory=list)


class CrashNetwork:
    """Entry instances that share what they see of crashes."""

    def __init__(
        self,
        seed: int,
        instances: int,
        endpoints: int = 5,
        conditions: NetworkConditions | None = None,
    ) -> None:
        self.random = random.Random(seed)
        self.network = FakeNetwork(seed, conditions, self._note)
        self.entries = [InstanceId(f"entry-{n:03}") for n in range(instances)]
        self.watches: dict[InstanceId, CrashWatch] = {}
        self.endpoints = [CrashableEndpoint(f"endpoint-{n}") for n in range(endpoints)]
        self.deadly: dict[Fingerprint, list[float]] = {}
        self.crashes: dict[Fingerprint, list[float]] = {}
        self.refused_deadly = 0
        self.refused_others = 0
        self.served = 0
        self.given_up = 0
        self.announced: list[tuple[InstanceId, RefusalChanged]] = []
        for instance in self.entries:
            self.start(instance)

    def start(self, instance: InstanceId) -> None:
        """Start an instance, or start it again with nothing known."""
        watch = CrashWatch(instance)
        self.watches[instance] = watch
        self.network.start(instance, [(watch, (AskSuspects, ShareSuspects))], TICK_S)
        self.network.apply(instance, watch, InstancesChanged(tuple(self.entries)))

    def roll(self, first_s: float, gap_s: float) -> None:
        """Stop and start each instance in turn."""
        for index, instance in enumerate(self.entries):
            at = first_s + index * gap_s
            self.network.schedule(at, lambda item=instance: self.network.crash(item))
            later = at + gap_s / 2
            self.network.schedule(later, lambda item=instance: self.start(item))

    def _note(
        self, instance: InstanceId, action: RefusalChanged | NewsGathered, now: float
    ) -> None:
        match action:
            case RefusalChanged():
                self.announced.append((instance, action))
            case NewsGathered():
                watch = self.watches[instance]
                self.network.schedule(
                    GATHER_S, lambda: self.network.apply(instance, watch, Tick())
                )

    # Requests.

    def add_deadly(self, name: str) -> Fingerprint:
        """Add a request that crashes each endpoint that runs it."""
        fingerprint = Fingerprint(SOURCES[0] + name.encode())
        self.deadly[fingerprint] = []
        self.crashes[fingerprint] = []
        return fingerprint

    def send(self, fingerprint: Fingerprint, failures: int = 0) -> None:
        """Send a request at a random instance to a random endpoint."""
        up = [item for item in self.entries if self.network.nodes[item].up]
        ready = [item for item in self.endpoints if item.up]
        if not up or not ready:
            self._retry(fingerprint, failures)
            return
        instance = self.random.choice(up)
        now = self.network.now
        if self.watches[instance].is_refused(fingerprint, now):
            if fingerprint in self.deadly:
                self.refused_deadly += 1
            else:
                self.refused_others += 1
            return
        endpoint = self.random.choice(ready)
        run = Run(fingerprint, instance, now, failures)
        endpoint.runs.append(run)
        if fingerprint in self.deadly:
            self.deadly[fingerprint].append(now)
            start = endpoint.start
            self.network.schedule(
                DEADLY_RUN_S, lambda: self._crash_by(endpoint, start, fingerprint)
            )
            return
        run_s = self.random.uniform(RUN_MIN_S, RUN_MAX_S)
        self.network.schedule(run_s, lambda: self._end(endpoint, run))

    def _end(self, endpoint: CrashableEndpoint, run: Run) -> None:
        if run.over:
            return
        run.over = True
        endpoint.runs.remove(run)
        self.served += 1
        watch = self.watches[run.instance]
        if watch.is_known(run.fingerprint):
            self.network.apply(run.instance, watch, RunEnded(run.fingerprint))

    def _crash_by(
        self, endpoint: CrashableEndpoint, start: int, fingerprint: Fingerprint
    ) -> None:
        if endpoint.up and endpoint.start == start:
            self.crashes[fingerprint].append(self.network.now)
            self.crash(endpoint)

    def crash(self, endpoint: CrashableEndpoint) -> None:
        """Let an endpoint crash with all that it runs."""
        if not endpoint.up:
            return
        endpoint.up = False
        runs, endpoint.runs = endpoint.runs, []
        name = EndpointId(f"{endpoint.name}.{endpoint.start}")
        for run in runs:
            run.over = True
            if self.network.nodes[run.instance].up:
                event = RunCrashed(
                    run.fingerprint,
                    name,
                    endpoint.start,
                    run.began_at,
                    self.network.now,
                )
                self.network.apply(run.instance, self.watches[run.instance], event)
            if run.fingerprint not in self.deadly:
                self._retry(run.fingerprint, run.failures + 1)

        def restart() -> None:
            endpoint.up = True
            endpoint.start += 1

        self.network.schedule(DOWN_S, restart)

    def _retry(self, fingerprint: Fingerprint, failures: int) -> None:
        if fingerprint in self.deadly:
            return
        if failures >= MAX_FAILURES:
            self.given_up += 1
            return
        delay_s = self.random.uniform(RETRY_MIN_S, RETRY_MAX_S)
        self.network.schedule(delay_s, lambda: self.send(fingerprint, failures))

    # Loads.

    def load(self, rate_per_s: float, seconds: float, kinds: int = 0) -> None:
        """Schedule requests that crash nothing, each its own or of some kinds."""
        for number in range(int(rate_per_s * seconds)):
            name = f"common-{number % kinds}" if kinds else f"own-{number}"
            source = SOURCES[number % len(SOURCES)]
            fingerprint = Fingerprint(source + name.encode())
            self.network.schedule(
                number / rate_per_s, lambda item=fingerprint: self.send(item)
            )

    def repeat(
        self, fingerprint: Fingerprint, first_s: float, interval_s: float, last_s: float
    ) -> None:
        """Let a request come again and again."""
        at = first_s
        while at < last_s:
            self.network.schedule(at, lambda: self.send(fingerprint))
            at += interval_s * self.random.uniform(0.5, 1.5)

    def crash_often(self, interval_s: float, last_s: float, share: float) -> None:
        """Let a share of all endpoints crash by themselves at an interval."""
        count = max(1, round(share * len(self.endpoints)))

        def crash() -> None:
            for endpoint in self.random.sample(self.endpoints, count):
                self.crash(endpoint)

        at = interval_s
        while at < last_s:
            self.network.schedule(at, crash)
            at += interval_s

    def count_late_sends(self, fingerprint: Fingerprint) -> int:
        """Count how often a deadly request was sent too late after its third crash."""
        crashes = self.crashes[fingerprint]
        if len(crashes) < CRASHES_ALLOWED:
            return 0
        begins_at = crashes[CRASHES_ALLOWED - 1] + CONTACT_S
        return sum(at > begins_at for at in self.deadly[fingerprint])

    @property
    def most_late_sends(self) -> int:
        """Return the most late sends of any deadly request."""
        return max((self.count_late_sends(item) for item in self.deadly), default=0)
