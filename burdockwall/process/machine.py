"""How a process divides the memory and descriptors of its machine.

A part is set aside for the process itself. Connections, requests, bodies, batches of
peers and stored turns have parts of the rest.
"""

import resource
import ssl
from collections.abc import Callable
from enum import Enum

import msgspec

from burdockwall.connection.listener import ConnectionCounts, ConnectionLimits
from burdockwall.connection.memory import MemoryAccount, MemoryPlan
from burdockwall.connection.tls import create_caller_context
from burdockwall.process.clock import read_clock
from burdockwall.process.web import WebOptions
from burdockwall.settings import Settings
from burdockwall.types import Role

BYTES_PER_MB = 1_000_000
# A process with its libraries, its view of the fleet and what a busy one leaves behind.
PROCESS_BYTES = 80 * BYTES_PER_MB
# On a machine that is smaller than that, so much is divided all the same.
LEAST_ROOM_PART = 0.25
CONNECTIONS_PART = 0.15
REQUESTS_PART = 0.2
BODIES_PART = 0.35
PEERS_PART = 0.3
# A store has no callers; it keeps an index of turns in memory.
STORED_PART = 0.45
# Of the disk; the rest takes what comes between two looks at the files.
FILED_PART = 0.8
# What one of them takes, with what waits unread in its socket.
CONNECTION_BYTES = 12_288
TLS_CONNECTION_BYTES = 98_304
REQUEST_BYTES = 65_536
PEER_BYTES = 32_768
# Files, the log, and connections to endpoints.
RESERVED_DESCRIPTORS = 100
CALLERS_DESCRIPTORS_PART = 0.5
PEERS_DESCRIPTORS_PART = 0.3
SMALL_PORT_CONNECTIONS = 32


class PortKind(Enum):
    """Who connects to a port."""

    CALLERS = "callers"
    OPERATORS = "operators"
    # The platform asks for readiness and figures.
    MONITORS = "monitors"


class MachineParts(msgspec.Struct, frozen=True):
    """The parts of a machine, in bytes and numbers."""

    plan: MemoryPlan
    caller_connections: int
    peer_connections: int
    stored_bytes: int
    # Of a store's files; 0 is no limit.
    filed_bytes: int = 0


def plan_parts(settings: Settings) -> MachineParts:
    """Divide the machine that the settings describe."""
    memory_bytes = settings.machine_memory_mb * BYTES_PER_MB
    room = max(memory_bytes - PROCESS_BYTES, int(memory_bytes * LEAST_ROOM_PART))
    descriptors = settings.machine_descriptors or _read_descriptor_limit()
    descriptors = max(0, descriptors - RESERVED_DESCRIPTORS)
    secure = settings.caller_certificate is not None
    connection_bytes = TLS_CONNECTION_BYTES if secure else CONNECTION_BYTES
    callers = min(
        CONNECTIONS_PART * room / connection_bytes,
        CALLERS_DESCRIPTORS_PART * descriptors,
    )
    peers = min(
        CONNECTIONS_PART * room / PEER_BYTES, PEERS_DESCRIPTORS_PART * descriptors
    )
    stored = 0
    bodies = BODIES_PART * room
    if settings.role is Role.STORAGE:
        stored = int(STORED_PART * room)
    if settings.body_memory_bytes:
        bodies = min(bodies, settings.body_memory_bytes)
    return MachineParts(
        MemoryPlan(
            int(REQUESTS_PART * room / REQUEST_BYTES),
            int(bodies),
            int(PEERS_PART * room),
        ),
        max(SMALL_PORT_CONNECTIONS, int(callers)),
        max(SMALL_PORT_CONNECTIONS, int(peers)),
        stored,
        int(FILED_PART * settings.machine_disk_mb * BYTES_PER_MB),
    )


def _read_descriptor_limit() -> int:
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return 1_000_000 if limit == resource.RLIM_INFINITY else limit


class Machine:
    """The parts of one process, and the account of its memory."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.parts = plan_parts(settings)
        self.account = MemoryAccount(self.parts.plan, read_clock)
        self.counts = ConnectionCounts()

    def create_options(
        self,
        kind: PortKind,
        get_limits: Callable[[], ConnectionLimits] | None = None,
        secure: bool = False,
    ) -> WebOptions:
        """Create the bounds of a port."""
        tls: ssl.SSLContext | None = None
        if secure:
            tls = create_caller_context(self.settings)
        connections = SMALL_PORT_CONNECTIONS
        if kind is PortKind.CALLERS:
            connections = self.parts.caller_connections
        return WebOptions(
            connections, get_limits or self.get_limits, self.account, self.counts, tls
        )

    def get_limits(self) -> ConnectionLimits:
        """Return the limits of connections by the settings."""
        settings = self.settings
        return ConnectionLimits(
            idle_s=settings.caller_idle_s,
            head_s=min(settings.caller_head_s, settings.caller_idle_s),
            body_silence_s=settings.body_silence_s,
        )
