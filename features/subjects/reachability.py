"""An instance's belief about its own path to endpoints, and the choice of peers."""

import random
from collections import Counter
from collections.abc import Callable

from burdockwall.machine import Tick
from burdockwall.process.resolver import EntryInstance
from burdockwall.process.scheduling.peer_choice import PeerChoice
from burdockwall.process.scheduling.reachability import (
    AddressesListed,
    ConnectEnded,
    OpenConnections,
    Reach,
    Reachability,
    Sent,
)
from burdockwall.types import Address, EndpointState, FailureDomain, InstanceId

TICK_S = 0.05
# Endpoints of the smaller of two services.
SMALL = 2
Opens = Callable[[Address], bool | None]


class ReachSubject:
    """A belief whose checks have outcomes that a function gives; None is no outcome."""

    def __init__(self, endpoints: int) -> None:
        self.now = 0.0
        self.addresses = tuple(Address(f"10.0.0.{n}:80") for n in range(endpoints))
        self.machine = Reachability()
        self.opens: Opens = lambda address: True
        self.handle(AddressesListed((self.addresses[:-SMALL], self.addresses[-SMALL:])))

    def handle(self, event) -> None:
        for action in self.machine.handle(event, self.now):
            if isinstance(action, OpenConnections):
                for address in action.addresses:
                    opened = self.opens(address)
                    if opened is not None:
                        self.handle(ConnectEnded(address, opened))

    def pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            self.handle(Tick())

    def fail(self, *numbers: int) -> None:
        for number in numbers:
            self.handle(ConnectEnded(self.addresses[number], False))

    def cut_off(self) -> None:
        self.opens = lambda address: False
        self.fail(0)
        assert self.machine.cut_off


def run_case(what: str, endpoints: int) -> Reach:
    """Run what a scenario describes and return the belief at its end."""
    subject = ReachSubject(endpoints)
    failing = set(subject.addresses[:2])
    outcomes = iter((True, False) * 100)
    match what:
        case "one endpoint takes no connection, three others do":
            subject.fail(0)
        case "two endpoints take no connection, three others do":
            subject.opens = lambda address: address not in failing
            subject.fail(0, 1)
            subject.pass_time(1)
            subject.fail(1, 0)
        case "no endpoint takes a connection":
            subject.cut_off()
        case "answers are awaited for 3 s, and connections succeed":
            subject.handle(Sent())
            subject.pass_time(3)
        case "answers are awaited for 3 s, and no connection opens":
            subject.opens = lambda address: False
            subject.handle(Sent())
            subject.pass_time(3)
        case "no answer is awaited for 60 s":
            subject.opens = lambda address: False
            subject.pass_time(60)
        case "it was cut off, and one connection succeeds":
            subject.cut_off()
            subject.handle(ConnectEnded(subject.addresses[0], True))
        case "it was cut off, and two connections succeed":
            subject.cut_off()
            subject.handle(ConnectEnded(subject.addresses[0], True))
            subject.handle(ConnectEnded(subject.addresses[1], True))
        case "it was cut off, and connections succeed in part":
            subject.cut_off()
            subject.opens = lambda address: next(outcomes)
            subject.pass_time(5)
        case "no endpoint of one service opens, those of another do":
            subject = ReachSubject(8)
            subject.opens = lambda address: address in subject.addresses[-SMALL:]
            for _ in range(20):
                subject.fail(0, 1, 2, 3, 4, 5)
                subject.pass_time(0.6)
                assert not subject.machine.cut_off
        case "a check has no outcome for 3 s":
            subject.opens = lambda address: None
            subject.fail(0)
            subject.pass_time(3)
        case _:
            raise AssertionError(f"no such case: {what}")
    return subject.machine.reach


class PeerSubject:
    """Peers in two failure domains, and the choice among them."""

    def __init__(self) -> None:
        self.now = 0.0
        domains = {"own": "a", "p1": "a", "p2": "a", "p3": "b"}
        self.members = [
            EntryInstance(InstanceId(name), Address(name), FailureDomain(domain))
            for name, domain in domains.items()
        ]
        self.choice = PeerChoice(
            InstanceId("own"), FailureDomain("a"), random.Random(1)
        )
        self._chosen: list[InstanceId] = []

    def choose(self, count: int, without: tuple[str, ...] = ()) -> dict[str, int]:
        """Choose peers for requests that stay under way, and count them."""
        chosen = []
        for _ in range(count):
            excluded = {InstanceId(name) for name in without}
            peer = self.choice.choose(self.members, self.now, excluded)
            if peer is not None:
                self.choice.record_start(peer.instance)
                chosen.append(peer.instance)
        self._chosen += chosen
        return dict(Counter(chosen))

    def end_all(self) -> None:
        for peer in self._chosen:
            self.choice.record_end(peer)
        self._chosen.clear()

    def fail(self, name: str) -> None:
        self.choice.record_failure(InstanceId(name), self.now)

    def leave(self, name: str) -> None:
        self.members = [
            EntryInstance(
                item.instance, item.address, item.failure_domain, EndpointState.LEAVING
            )
            if item.instance == name
            else item
            for item in self.members
        ]
