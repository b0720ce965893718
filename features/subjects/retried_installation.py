"""Parts that a version is put in force at, each with something that raises at first."""

import random
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any
from unittest.mock import Mock, patch

from burdockwall.connection.peers import PeerBus
from burdockwall.machine import Tick
from burdockwall.process.control.changes import Document
from burdockwall.process.control.sections import split_sections
from burdockwall.process.endpoint_reach import EndpointReach
from burdockwall.process.evacuation import follower
from burdockwall.process.evacuation.evacuations import (
    EVACUATIONS,
    Evacuations,
    encode_evacuations,
)
from burdockwall.process.evacuation.follower import EvacuationFollower
from burdockwall.process.host import Host
from burdockwall.process.scheduling.dispatcher import Dispatcher
from burdockwall.process.scheduling.policy import Policy
from burdockwall.types import (
    Address,
    CustomerId,
    EndpointId,
    FailureDomain,
    Incarnation,
    InstanceId,
    OperatorId,
    PoolName,
    Version,
)
from burdockwall.version import view
from burdockwall.version.configuration import (
    Configuration,
    Customer,
    Endpoint,
    Pool,
    print_configuration,
)

DOMAIN = FailureDomain("a")
OTHER_DOMAIN = FailureDomain("b")
POOL = PoolName("p")
CUSTOMER = CustomerId("c")
ADDRESSES = ((Address("10.0.0.1:80"),),)


@dataclass(slots=True)
class RaisingFirst:
    """Calls a function, but raises at its first calls."""

    run: Any
    raises: int
    calls: list[Any] = field(default_factory=list)

    def __call__(self, *arguments: Any) -> Any:
        self.calls.append(arguments)
        if len(self.calls) <= self.raises:
            raise ValueError("a part that raises at first")
        return self.run(*arguments)


class RetriedEvacuation:
    """An instance that follows the evacuations."""

    def __init__(self, raises: int) -> None:
        self.decode = RaisingFirst(follower.decode_evacuations, raises)
        self.follower = EvacuationFollower()

    def install(self) -> None:
        evacuations = Evacuations().start(DOMAIN, OperatorId("ann"), 1.0)
        documents = {EVACUATIONS: Document(1, encode_evacuations(evacuations))}
        with (
            patch.object(follower, "decode_evacuations", self.decode),
            suppress(ValueError),
        ):
            self.follower.install(documents)


class RetriedDispatcher:
    """A dispatcher, and the scheduler that it tells its endpoints."""

    def __init__(self, raises: int) -> None:
        generator = random.Random(1)
        self.dispatcher = Dispatcher(
            Policy(), DOMAIN, 1.0, lambda: 0.0, generator, Mock()
        )
        self.scheduler = self.dispatcher.scheduler
        self.raise_first(raises)

    def raise_first(self, raises: int) -> None:
        self.scheduler.handle = RaisingFirst(type(self.scheduler).handle, raises)
        run = self.scheduler.handle.run
        self.scheduler.handle.run = lambda *arguments: run(self.scheduler, *arguments)

    def install(self) -> None:
        endpoints = tuple(
            Endpoint(
                EndpointId(f"e-{domain}"), POOL, Address("h:1"), failure_domain=domain
            )
            for domain in (DOMAIN, OTHER_DOMAIN)
        )
        configuration = Configuration(pools=(Pool(POOL),), endpoints=endpoints)
        with suppress(ValueError):
            self.dispatcher.install(configuration)

    def evacuate(self) -> None:
        with suppress(ValueError):
            self.dispatcher.set_evacuated(frozenset({DOMAIN}))

    def count_targets(self) -> int:
        return len(self.scheduler.router.targets)


class RetriedView:
    """A builder of views."""

    def __init__(self, raises: int) -> None:
        self.index = RaisingFirst(view._index_configuration, raises)
        self.builder = view.ViewBuilder()
        self.view = view.build_empty_view()
        configuration = Configuration(customers=(Customer(CUSTOMER, 1.0),))
        self.sections = split_sections(print_configuration(configuration))

    def build(self) -> None:
        with (
            patch.object(view, "_index_configuration", self.index),
            suppress(ValueError),
        ):
            self.view = self.builder.build(Version(1), self.sections, {})


class RetriedReach:
    """The check whether this instance reaches its endpoints."""

    def __init__(self, raises: int) -> None:
        bus = PeerBus(InstanceId("own"), Incarnation(1), {}, 1.0)
        host = Host(bus, lambda: 0.0, 1.0)
        self.reach = EndpointReach(host, Mock(), lambda cut_off: None)
        self.taken: list[object] = []
        self.handle = RaisingFirst(self._take, raises)
        self.reach.machine.handle = self.handle

    def _take(self, event: object, now: float) -> list[object]:
        assert not isinstance(event, Tick)
        self.taken.append(event)
        return []

    def install(self) -> None:
        with suppress(ValueError):
            self.reach.install(ADDRESSES)
