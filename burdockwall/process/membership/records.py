"""Hold what the leader knows of each member: heartbeats, grants, evidence."""

from dataclasses import dataclass, field

from burdockwall.process.membership.messages import (
    InstanceDetails,
    MemberEntry,
    Reachability,
)
from burdockwall.process.membership.timing import EVIDENCE_S, LAPSE_S
from burdockwall.types import EndpointState, InstanceId, Version

NEVER = float("-inf")


@dataclass(slots=True)
class Record:
    """Hold one member; times are in seconds of the leader's clock."""

    entry: MemberEntry
    heard_at: float
    lapses_at: float
    version: Version = Version(0)
    leaving: bool = False
    granted: bool = False
    probed_at: float = NEVER
    witnesses: dict[InstanceId, tuple[float, Reachability]] = field(
        default_factory=dict
    )

    @property
    def details(self) -> InstanceDetails:
        """Return what the instance says of itself."""
        return self.entry.details

    @property
    def state(self) -> EndpointState:
        """Return where the member stands in its life."""
        return self.entry.state

    def hear(self, version: Version, leaving: bool, now: float) -> None:
        """Take a heartbeat."""
        self.heard_at = now
        self.version = max(version, self.version)
        self.leaving = leaving
        self.witnesses.clear()

    def grant(self, now: float) -> None:
        """Note that the leader answers a heartbeat now."""
        self.granted = True
        self.lapses_at = max(self.lapses_at, now + LAPSE_S)

    def has_lapsed(self, now: float) -> bool:
        """Tell whether the member's lease has lapsed by any clock."""
        return now >= self.lapses_at

    def count_witnesses(self, reachability: Reachability, now: float) -> int:
        """Count the witnesses that lately found the member so."""
        return sum(
            1
            for at, found in self.witnesses.values()
            if found is reachability and now - at <= EVIDENCE_S
        )
