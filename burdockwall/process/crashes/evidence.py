"""Find out whether an endpoint that broke an answer off has crashed.

A connection may also break because an answer was cut off, a network path was reset or
this instance was cut off. The endpoint counts as crashed only if its machine answers
that no process listens, while this instance reaches other endpoints.
"""

from typing import Protocol

import anyio
import msgspec

from burdockwall.connection.upstream import Probe
from burdockwall.types import Address

# All connections to a crashed endpoint break within this time.
SETTLE_S = 0.02
# So many other endpoints are tried if none has been heard of since the break.
MAX_OTHERS = 3


class Prober(Protocol):
    """Tries whether endpoints listen."""

    async def probe(self, address: Address) -> Probe:
        """Return whether a process listens at an address."""
        ...


class Contact(Protocol):
    """What is known of this instance's own path to the endpoints."""

    contact_at: float

    @property
    def cut_off(self) -> bool:
        """Return whether this instance reaches no endpoint."""
        ...

    def list_others(self, address: Address) -> list[Address]:
        """List the addresses of other endpoints, those of other services first."""
        ...


class CrashEvidence(msgspec.Struct, frozen=True):
    """The means to tell a crash from a broken connection."""

    prober: Prober
    contact: Contact

    async def is_crashed(self, address: Address, broke_at: float) -> bool:
        """Return whether the endpoint at an address has crashed for certain."""
        await anyio.sleep(SETTLE_S)
        if await self.prober.probe(address) is not Probe.REFUSED:
            return False
        return await self._has_contact(address, broke_at) and not self.contact.cut_off

    async def _has_contact(self, address: Address, broke_at: float) -> bool:
        for other in self.contact.list_others(address)[:MAX_OTHERS]:
            if self.contact.contact_at > broke_at:
                return True
            if await self.prober.probe(other) is Probe.OPENED:
                return True
        return self.contact.contact_at > broke_at
