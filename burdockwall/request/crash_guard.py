"""Keep one request from endpoints if equal ones have crashed those that ran them."""

from collections.abc import Callable

import httpx

from burdockwall.process.crashes.client import BrokenRun, CrashSuspects
from burdockwall.types import Address, EndpointId, Fingerprint


class CrashGuard:
    """What is known of requests that equal this one.

    Its fingerprint is computed only where there is a suspect, or an answer broke off.
    """

    def __init__(
        self, suspects: CrashSuspects, compute: Callable[[], Fingerprint]
    ) -> None:
        self.suspects = suspects
        self._compute = compute
        self._fingerprint: Fingerprint | None = None

    def identify(self) -> Fingerprint:
        """Return the fingerprint of the request."""
        if self._fingerprint is None:
            self._fingerprint = self._compute()
        return self._fingerprint

    def read_clock(self) -> float:
        """Return the time by which runs are measured, in seconds."""
        return self.suspects.host.clock()

    def check(self) -> None:
        """Raise RequestRefused if the request is kept from endpoints."""
        self.suspects.check(self.identify)

    def record_answered(self) -> None:
        """Record that an endpoint has run the request."""
        self.suspects.record_answered(self.identify)

    def record_broken(
        self,
        endpoint: EndpointId,
        address: Address,
        started_ms: int | None,
        began_at: float,
    ) -> None:
        """Record that an endpoint closed the connection within the answer."""
        fingerprint, broke_at = self.identify(), self.read_clock()
        run = BrokenRun(fingerprint, endpoint, address, started_ms, began_at, broke_at)
        self.suspects.record_broken(run)


def is_closed(error: httpx.TransportError) -> bool:
    """Return whether an endpoint closed a connection within an answer."""
    closed = (httpx.ReadError, httpx.WriteError, httpx.RemoteProtocolError)
    return isinstance(error, closed)
