"""Follow the control state on an instance; versions only go forward."""

from dataclasses import dataclass

from burdockwall.machine import Receive, Send, Tick
from burdockwall.process.membership.messages import (
    Follow,
    StateCurrent,
    StateSnapshot,
)
from burdockwall.types import InstanceId, Version
from burdockwall.version.shards import LeaseRenewed

FOLLOW_INTERVAL_S = 0.5
LEASE_S = 3.0


@dataclass(frozen=True, slots=True)
class Install:
    """Ask the shell to put a version in force."""

    snapshot: StateSnapshot


class Follower:
    """Ask the control instances in turn for versions later than its own."""

    def __init__(self, control: list[InstanceId]) -> None:
        self.control = control
        self.version = Version(0)
        self.heard_at: float | None = None
        self._asked_at: float | None = None
        self._next = 0

    def handle(
        self, event: Tick | Receive, now: float
    ) -> list[Send | Install | LeaseRenewed]:
        """Take an event and return what to send or install."""
        match event:
            case Tick():
                return self._ask(now)
            case Receive(message=StateSnapshot() as snapshot):
                return self._install(snapshot, now)
            case Receive(message=StateCurrent(version=version)):
                if version != self.version or self._asked_at is None:
                    return []
                self.heard_at = now
                return [LeaseRenewed(self._asked_at + LEASE_S)]
            case _:
                return []

    def _ask(self, now: float) -> list[Send | Install | LeaseRenewed]:
        due = self._asked_at is None or now - self._asked_at >= FOLLOW_INTERVAL_S
        if not self.control or not due:
            return []
        self._asked_at = now
        target = self.control[self._next % len(self.control)]
        self._next += 1
        return [Send(target, Follow(self.version))]

    def _install(
        self, snapshot: StateSnapshot, now: float
    ) -> list[Send | Install | LeaseRenewed]:
        if snapshot.version <= self.version:
            return []
        self.version = snapshot.version
        self.heard_at = now
        return [Install(snapshot)]
