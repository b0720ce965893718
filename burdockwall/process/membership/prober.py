"""Check for the leader whether this instance can reach another one."""

import msgspec

from burdockwall.machine import Send
from burdockwall.process.membership.messages import (
    Ping,
    Probe,
    ProbeResult,
    Reachability,
)
from burdockwall.process.membership.timing import PROBE_TIMEOUT_S
from burdockwall.types import InstanceId


class _Attempt(msgspec.Struct, frozen=True):
    requester: InstanceId
    subject: InstanceId
    expires_at: float


class ReachabilityProber:
    """State machine that pings the subjects of probes and reports the results."""

    def __init__(self) -> None:
        self._attempts: dict[int, _Attempt] = {}
        self._nonce = 0

    def start_probe(
        self, requester: InstanceId, probe: Probe, now: float
    ) -> list[Send]:
        """Ping the subject of a probe for the instance that requested the probe."""
        self._nonce += 1
        expires_at = now + PROBE_TIMEOUT_S
        self._attempts[self._nonce] = _Attempt(requester, probe.subject, expires_at)
        return [Send(probe.subject, Ping(self._nonce))]

    def finish_probe(self, nonce: int, sender: InstanceId) -> list[Send]:
        """Report that the subject of a probe has answered."""
        attempt = self._attempts.get(nonce)
        if attempt is None or attempt.subject != sender:
            return []
        return self._report(nonce, Reachability.REACHED)

    def expire_probes(self, now: float) -> list[Send]:
        """Report the subjects that have not answered in time as silent."""
        sends: list[Send] = []
        for nonce, attempt in list(self._attempts.items()):
            if now >= attempt.expires_at:
                sends += self._report(nonce, Reachability.SILENT)
        return sends

    def _report(self, nonce: int, reachability: Reachability) -> list[Send]:
        attempt = self._attempts.pop(nonce)
        return [Send(attempt.requester, ProbeResult(attempt.subject, reachability))]
