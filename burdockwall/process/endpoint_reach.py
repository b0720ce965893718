"""Carry out the checks of whether this instance reaches endpoints."""

from collections.abc import Callable
from typing import Protocol

import logbook

from burdockwall.connection.upstream import Probe
from burdockwall.process.host import Host
from burdockwall.process.jobs import Jobs
from burdockwall.process.scheduling.reachability import (
    AddressesListed,
    ConnectEnded,
    Ended,
    Heard,
    OpenConnections,
    Reachability,
    ReachChanged,
    Sent,
)
from burdockwall.types import Address

HEARD = Heard()
_logger = logbook.Logger("reach")


class Connector(Protocol):
    """Opens connections to endpoints, and records how that ends."""

    async def check(self, address: Address) -> Probe:
        """Open a connection to an address."""
        ...


class EndpointReach:
    """The belief of this instance about its own path to the endpoints.

    `on_changed` is called with whether the instance is cut off when that changes.
    """

    def __init__(
        self, host: Host, connector: Connector, on_changed: Callable[[bool], None]
    ) -> None:
        self.host = host
        self.connector = connector
        self.on_changed = on_changed
        self.machine = Reachability()
        self._hosted = host.add(self.machine, (), self._perform)
        self._jobs = Jobs(host.failures)
        self._services: tuple[tuple[Address, ...], ...] = ()
        # When bytes last came from an endpoint, or a connection to one was opened.
        self.contact_at = float("-inf")

    @property
    def cut_off(self) -> bool:
        """Return whether this instance reaches no endpoint."""
        return self.machine.cut_off

    def install(self, services: tuple[tuple[Address, ...], ...]) -> None:
        """Use these addresses of endpoints, those of each service in a tuple."""
        if services != self._services:
            self.host.apply(self._hosted, AddressesListed(services))
            self._services = services

    def list_others(self, address: Address) -> list[Address]:
        """List the addresses of other endpoints, those of other services first."""
        services = sorted(self._services, key=lambda listed: address in listed)
        return [item for listed in services for item in listed if item != address]

    def record_sent(self) -> None:
        """Record that a request was sent and its answer is awaited."""
        self.host.apply(self._hosted, Sent())

    def record_heard(self) -> None:
        """Record that bytes came from an endpoint."""
        self.contact_at = self.host.clock()
        self.host.apply(self._hosted, HEARD)

    def record_ended(self) -> None:
        """Record that an answer is no longer awaited."""
        self.host.apply(self._hosted, Ended())

    def record_connect(self, address: Address, opened: bool) -> None:
        """Record whether a connection to an address could be opened."""
        if opened:
            self.contact_at = self.host.clock()
        self.host.apply(self._hosted, ConnectEnded(address, opened))

    def _perform(self, action: OpenConnections | ReachChanged) -> None:
        match action:
            case OpenConnections(addresses=addresses):
                for address in addresses:
                    self._jobs.start(self.connector.check, address)
            case ReachChanged(cut_off=cut_off):
                message = "reaches no endpoint" if cut_off else "reaches endpoints"
                _logger.notice(message, extra={"services": len(self._services)})
                self.on_changed(cut_off)

    async def run(self) -> None:
        """Carry out checks until cancelled."""
        await self._jobs.run()
