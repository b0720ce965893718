"""Pools of idle connections to endpoints, with a limit for each endpoint."""

from collections.abc import Callable

import msgspec

from burdockwall.connection.round_trips import RoundTrips
from burdockwall.connection.upstream import (
    ConnectFailed,
    Probe,
    UpstreamConnection,
    open_upstream,
)
from burdockwall.types import Address

CONNECT_TIMEOUT_S = 0.4
IDLE_LIMIT_S = 4.0
# Endpoints may close an idle connection at the time that they announce. Connections
# expire this much earlier, so that no request is sent while the endpoint closes them.
IDLE_MARGIN_S = 1.0
# An instance may always open this many connections to one endpoint, even if its share
# of the service's limit is smaller.
MIN_CONNECTIONS = 2


class _Idle(msgspec.Struct):
    connection: UpstreamConnection
    since: float
    expires_at: float


class _Pool(msgspec.Struct):
    idle: list[_Idle] = msgspec.field(default_factory=list)
    open_count: int = 0


class UpstreamPools:
    """The connections to endpoints, by address.

    `report_connect` is told whether each new connection could be opened, and
    `report_closed` which address closed an idle connection before it expired, and since
    when that was idle.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        report_connect: Callable[[Address, bool], None] = lambda address, opened: None,
    ) -> None:
        self.clock = clock
        self.open_connection = open_upstream
        self.report_connect = report_connect
        self.report_closed: Callable[[Address, float], None] = lambda address, since: (
            None
        )
        self.opened_count = 0
        self.round_trips = RoundTrips()
        self._pools: dict[Address, _Pool] = {}

    async def acquire(self, address: Address, limit: int) -> UpstreamConnection:
        """Return an idle connection or open one.

        Raise ConnectFailed if this fails, or if `limit` connections are open already;
        MIN_CONNECTIONS may be open whatever the limit.
        """
        pool = self._pools.setdefault(address, _Pool())
        while pool.idle:
            idle = pool.idle.pop()
            if idle.expires_at > self.clock():
                if idle.connection.is_usable():
                    return idle.connection
                self.report_closed(address, idle.since)
                await self._close_unusable(pool)
            pool.open_count -= 1
            await idle.connection.close()
        allowed = max(limit, MIN_CONNECTIONS)
        if pool.open_count >= allowed:
            raise ConnectFailed(f"{address}: all {allowed} connections are in use")
        return await self._open(address, pool)

    async def _close_unusable(self, pool: _Pool) -> None:
        """Close what ended with another connection, so that it is reported once."""
        closed = [item for item in pool.idle if not item.connection.is_usable()]
        pool.idle = [item for item in pool.idle if item not in closed]
        for item in closed:
            pool.open_count -= 1
            await item.connection.close()

    async def _open(self, address: Address, pool: _Pool) -> UpstreamConnection:
        pool.open_count += 1
        began_at = self.clock()
        try:
            connection = await self.open_connection(address, CONNECT_TIMEOUT_S)
        except ConnectFailed:
            pool.open_count -= 1
            self.report_connect(address, False)
            raise
        except BaseException:
            pool.open_count -= 1
            raise
        self.opened_count += 1
        self.round_trips.record(address, self.clock() - began_at)
        self.report_connect(address, True)
        return connection

    async def check(self, address: Address) -> Probe:
        """Open a connection, and keep it for a later request if that succeeds."""
        pool = self._pools.setdefault(address, _Pool())
        try:
            connection = await self._open(address, pool)
        except ConnectFailed as error:
            return Probe.REFUSED if error.refused else Probe.UNKNOWN
        now = self.clock()
        pool.idle.append(_Idle(connection, now, now + IDLE_LIMIT_S))
        return Probe.OPENED

    async def probe(self, address: Address) -> Probe:
        """Return whether an endpoint listens, and connect only if none is idle."""
        pool = self._pools.get(address, _Pool())
        if any(idle.connection.is_usable() for idle in pool.idle):
            return Probe.OPENED
        return await self.check(address)

    async def close_idle(self) -> None:
        """Close every idle connection."""
        for pool in list(self._pools.values()):
            idle, pool.idle = pool.idle, []
            for item in idle:
                pool.open_count -= 1
                await item.connection.close()

    async def release(
        self,
        address: Address,
        connection: UpstreamConnection,
        reusable: bool,
        idle_s: float | None,
    ) -> None:
        """Return a connection to its pool, or close it if it cannot be used again.

        `idle_s` is how long the endpoint keeps idle connections open, if it says so.
        """
        pool = self._pools.setdefault(address, _Pool())
        retention_s = IDLE_LIMIT_S if idle_s is None else idle_s - IDLE_MARGIN_S
        if reusable and retention_s > 0 and connection.recycle():
            now = self.clock()
            pool.idle.append(_Idle(connection, now, now + retention_s))
            return
        pool.open_count -= 1
        await connection.close()

    def has_idle(self, address: Address) -> bool:
        """Return whether an idle connection to an address is open."""
        pool = self._pools.get(address)
        return pool is not None and any(
            idle.expires_at > self.clock() for idle in pool.idle
        )

    async def expire(self) -> None:
        """Close the idle connections that have expired."""
        now = self.clock()
        for address, pool in list(self._pools.items()):
            expired = [idle for idle in pool.idle if idle.expires_at <= now]
            pool.idle = [idle for idle in pool.idle if idle.expires_at > now]
            for idle in expired:
                pool.open_count -= 1
                await idle.connection.close()
            if not pool.open_count:
                self._pools.pop(address, None)

    def count_open(self) -> int:
        """Return the number of open connections."""
        return sum(pool.open_count for pool in self._pools.values())
