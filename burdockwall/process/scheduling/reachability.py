"""Decide whether this instance itself is cut off from all endpoints.

An endpoint that fails says little; connections to several that all fail say that the
fault is here. Silence alone never does: it only leads to a check, which opens new
connections to some endpoints.
"""

from enum import Enum

import msgspec

from burdockwall.machine import Tick
from burdockwall.types import Address

# After this time without a byte from any endpoint, though answers are awaited, one
# connection is opened to see whether any can be.
QUIET_S = 0.5
# Connections that a check opens, at several services; all must fail.
CHECKED_ENDPOINTS = 3
# Time between two checks, and after which an unfinished one counts for nothing.
CHECK_INTERVAL_S = 0.5
CHECK_LIMIT_S = 2.0
# While cut off, this many connections must succeed in turn.
SUCCESSES_TO_RETURN = 2


class Reach(Enum):
    """Whether this instance reaches endpoints."""

    REACHED = "reached"
    CHECKING = "checking"
    CUT_OFF = "cut off"


class ConnectEnded(msgspec.Struct, frozen=True):
    """A connection to an endpoint's address was opened, or could not be."""

    address: Address
    opened: bool


class Sent(msgspec.Struct, frozen=True):
    """A request was sent to an endpoint, and its answer is awaited."""


class Heard(msgspec.Struct, frozen=True):
    """Bytes of an answer came from an endpoint."""


class Ended(msgspec.Struct, frozen=True):
    """An answer is no longer awaited."""


class AddressesListed(msgspec.Struct, frozen=True):
    """The addresses of endpoints, those of each service in a tuple of their own."""

    services: tuple[tuple[Address, ...], ...]


class OpenConnections(msgspec.Struct, frozen=True):
    """Asks the shell to open connections and to report how each ended."""

    addresses: tuple[Address, ...]


class ReachChanged(msgspec.Struct, frozen=True):
    """Announces that the instance is cut off, or no longer is."""

    cut_off: bool


Event = Tick | ConnectEnded | Sent | Heard | Ended | AddressesListed
Action = OpenConnections | ReachChanged


class Reachability:
    """The belief of one instance about its own path to the endpoints."""

    def __init__(self) -> None:
        self.reach = Reach.REACHED
        self._services: tuple[tuple[Address, ...], ...] = ()
        self._awaited = 0
        self._quiet_since = 0.0
        self._failed: set[Address] = set()
        self._checked: frozenset[Address] = frozenset()
        self._checked_at = 0.0
        self._next_check_at = float("-inf")
        self._successes = 0
        self._position = 0

    @property
    def cut_off(self) -> bool:
        """Return whether this instance reaches no endpoint."""
        return self.reach is Reach.CUT_OFF

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event; return connections to open and a changed belief."""
        match event:
            case AddressesListed(services=services):
                self._services = services
            case Sent():
                if not self._awaited:
                    self._quiet_since = now
                self._awaited += 1
            case Heard():
                self._quiet_since = now
            case Ended():
                self._awaited = max(0, self._awaited - 1)
            case ConnectEnded(address=address, opened=True):
                return self._record_opened(now)
            case ConnectEnded(address=address):
                return self._record_failed(address, now)
            case Tick():
                return self._tick(now)
        return []

    def _record_opened(self, now: float) -> list[Action]:
        self._quiet_since = now
        self._failed.clear()
        if self.reach is Reach.CHECKING:
            self.reach = Reach.REACHED
        if self.reach is Reach.REACHED:
            return []
        self._successes += 1
        if self._successes < min(SUCCESSES_TO_RETURN, self._count_addresses()):
            return []
        self.reach = Reach.REACHED
        return [ReachChanged(False)]

    def _count_addresses(self) -> int:
        return sum(len(listed) for listed in self._services)

    def _record_failed(self, address: Address, now: float) -> list[Action]:
        self._failed.add(address)
        self._successes = 0
        match self.reach:
            case Reach.REACHED:
                return self._start_check(now)
            case Reach.CHECKING if self._checked <= self._failed:
                self.reach = Reach.CUT_OFF
                self._next_check_at = now + CHECK_INTERVAL_S
                return [ReachChanged(True)]
        return []

    def _tick(self, now: float) -> list[Action]:
        match self.reach:
            case Reach.CUT_OFF:
                return self._open(self._select(SUCCESSES_TO_RETURN), now)
            case Reach.CHECKING if now - self._checked_at >= CHECK_LIMIT_S:
                self.reach = Reach.REACHED
            case Reach.REACHED if self._awaited and now - self._quiet_since >= QUIET_S:
                self._quiet_since = now
                return [OpenConnections(self._select(1))]
        return []

    def _start_check(self, now: float) -> list[Action]:
        """Check endpoints that have not failed, of several services."""
        # One endpoint that fails can't be told from a cut.
        if self._count_addresses() < 2:
            return []
        selected = self._select(CHECKED_ENDPOINTS)
        actions = self._open(selected, now)
        if actions:
            self.reach = Reach.CHECKING
            self._checked = frozenset(selected)
            self._checked_at = now
            self._failed.clear()
        return actions

    def _select(self, count: int) -> tuple[Address, ...]:
        """Select endpoints of the services in turn, those that have not failed first.

        All endpoints of one service may be down at once.
        """
        selected: list[Address] = []
        for _ in range(count if self._services else 0):
            listed = self._services[self._position % len(self._services)]
            turn = self._position // len(self._services)
            self._position += 1
            unused = [address for address in listed if address not in selected]
            sound = [address for address in unused if address not in self._failed]
            choices = sound or unused
            if choices:
                selected.append(choices[turn % len(choices)])
        return tuple(selected)

    def _open(self, selected: tuple[Address, ...], now: float) -> list[Action]:
        if now < self._next_check_at or not selected:
            return []
        self._next_check_at = now + CHECK_INTERVAL_S
        return [OpenConnections(selected)]
