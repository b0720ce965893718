"""Store the leader's record of each member: heartbeats, lease and probe results."""

import msgspec

from burdockwall.process.membership.messages import (
    InstanceDetails,
    MemberEntry,
    Reachability,
)
from burdockwall.process.membership.timing import LEASE_EXPIRY_S, PROBE_RESULT_VALID_S
from burdockwall.types import EndpointState, InstanceId, Version

NEVER = float("-inf")


class MemberRecord(msgspec.Struct):
    """Leader's record of one member; times are in seconds of the leader's clock."""

    entry: MemberEntry
    last_heartbeat_at: float
    lease_expires_at: float
    version: Version = Version(0)
    leaving: bool = False
    has_grant: bool = False
    probed_at: float = NEVER
    probe_results: dict[InstanceId, tuple[float, Reachability]] = msgspec.field(
        default_factory=dict
    )

    @property
    def details(self) -> InstanceDetails:
        """Return the self-description of the instance."""
        return self.entry.details

    @property
    def state(self) -> EndpointState:
        """Return the state in the member list."""
        return self.entry.state

    def record_heartbeat(self, version: Version, leaving: bool, now: float) -> None:
        """Record a heartbeat; earlier probe results no longer count."""
        self.last_heartbeat_at = now
        self.version = max(version, self.version)
        self.leaving = leaving
        self.probe_results.clear()

    def record_grant(self, now: float) -> None:
        """Record that the leader grants a lease now."""
        self.has_grant = True
        self.lease_expires_at = max(self.lease_expires_at, now + LEASE_EXPIRY_S)

    def is_lease_expired(self, now: float) -> bool:
        """Return whether the member's lease has expired, even if its clock is slow."""
        return now >= self.lease_expires_at

    def count_probe_results(self, reachability: Reachability, now: float) -> int:
        """Count the valid probe results that equal `reachability`."""
        return sum(
            1
            for reported_at, result in self.probe_results.values()
            if result is reachability and now - reported_at <= PROBE_RESULT_VALID_S
        )
