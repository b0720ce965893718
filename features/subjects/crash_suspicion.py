"""One instance's suspicion of a request, from its crashes to its end."""

from burdockwall.fakes.network import FakeNetwork
from burdockwall.machine import Receive, Send, Tick
from burdockwall.process.crashes.judgement import find_causes
from burdockwall.process.crashes.messages import AskSuspects, ShareSuspects
from burdockwall.process.crashes.suspects import Crash, SuspectTable
from burdockwall.process.crashes.watch import (
    CrashWatch,
    InstancesChanged,
    RunCrashed,
    RunEnded,
)
from burdockwall.types import EndpointId, Fingerprint, InstanceId

OWN, OTHER = InstanceId("entry-1"), InstanceId("entry-2")
REQUEST = Fingerprint(b"source-1" + b"request")
VARIANT = Fingerprint(b"source-1" + b"variant")
OTHER_SOURCE = Fingerprint(b"source-2" + b"variant")
RUN_S = 0.1
TICK_S = 0.1


class Suspicion:
    """Two instances, the first of which has seen a request crash three endpoints."""

    def __init__(self) -> None:
        self.network = FakeNetwork(1)
        self.watches = {name: CrashWatch(name) for name in (OWN, OTHER)}
        self.sizes: list[int] = []
        self.shared: list[ShareSuspects] = []
        for name, watch in self.watches.items():
            self.network.start(name, [(watch, (AskSuspects, ShareSuspects))], TICK_S)
            self.network.apply(name, watch, InstancesChanged((OWN, OTHER)))
        self._crashes = 0
        self.last_crash_at = 0.0
        for _ in range(3):
            self.crash()
        self.wait(1.0)
        assert self.is_refused()

    def crash(self, fingerprint: Fingerprint = REQUEST) -> None:
        """Let a request crash one more endpoint at the first instance."""
        self.wait(1.0)
        self._crashes += 1
        now = self.last_crash_at = self.network.now
        event = RunCrashed(
            fingerprint, EndpointId(f"e-{self._crashes}"), 1, now - RUN_S, now
        )
        self.network.apply(OWN, self.watches[OWN], event)

    def crash_aboard(self, count: int) -> None:
        """Let other requests be aboard crashes, a hundred at each."""
        watch = self.watches[OWN]
        for number in range(count):
            now = self.network.now
            event = RunCrashed(
                Fingerprint(b"other-%d" % number),
                EndpointId(f"aboard-{number // 100}"),
                1,
                now - RUN_S,
                now,
            )
            self.network.apply(OWN, watch, event)
            self.sizes.append(len(watch.table))
            if number % 100 == 0:
                self.shared += [
                    item.message
                    for item in watch.handle(Tick(), now + 1)
                    if isinstance(item, Send)
                ]
                self.wait(0.2)

    def end_well(self) -> None:
        """Let an equal request end well at the other instance."""
        self.network.apply(OTHER, self.watches[OTHER], RunEnded(REQUEST))
        self.wait(0.5)

    def tell_again(self) -> None:
        """Deliver an old report of the three crashes to the first instance."""
        other = Suspicion()
        now = other.network.now
        suspect = other.watches[OWN].table.get(REQUEST)
        report = other.watches[OWN]._report(REQUEST, suspect, now)
        message = Receive(OTHER, ShareSuspects([report]))
        self.network.apply(OWN, self.watches[OWN], message)
        self.wait(0.5)

    def wait(self, seconds: float) -> None:
        """Let some time pass."""
        self.network.run_until(self.network.now + seconds)

    def wait_since_crash(self, seconds: float) -> None:
        """Let time pass until some seconds after the last crash."""
        self.network.run_until(self.last_crash_at + seconds)

    def is_refused(
        self, name: InstanceId = OWN, fingerprint: Fingerprint = REQUEST
    ) -> bool:
        """Return whether an instance refuses a request now."""
        return self.watches[name].is_refused(fingerprint, self.network.now)

    def is_refused_anywhere(self) -> bool:
        """Return whether an instance refuses the request now."""
        return any(self.is_refused(name) for name in self.watches)


def judge_two_at_once() -> set[bytes]:
    """Judge two requests whose third crash is the same, and one aboard some of each."""
    table = SuspectTable()
    # The crashes of each, and how long its runs lasted until them.
    runs = {
        b"source-1first": ((1, 2, 5), 0.1),
        b"source-1second": ((3, 4, 5), 0.1),
        b"source-1aboard": ((2, 4, 5), 0.05),
    }
    for name, (crashes, run_s) in runs.items():
        suspect = table.get(Fingerprint(name))
        for number in crashes:
            at = float(number)
            suspect.add(Crash(EndpointId(f"e-{number}"), 1, at - run_s, at))
    return {bytes(name) for name in find_causes(table)}
