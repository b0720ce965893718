"""The account of a process's memory, from which requests and bodies draw.

Bytes are read only once there is room for them. While there is none, callers wait for a
short time; those that make the least progress lose their share to them.
"""

from collections import Counter, deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from types import TracebackType

import anyio
import msgspec

from burdockwall.errors import Code, RequestRefused

RETRY_AFTER_S = 1.0
# How long a request waits for room before it is refused.
ROOM_WAIT_S = 1.0
# A share whose caller has made no progress for so long may be taken away.
STALL_S = 0.5
# Fewer bytes are no progress.
PROGRESS_BYTES = 16_384
# What a body takes while it is read: its parts, and the whole that they are joined to.
COPIES_WHILE_READ = 2
# By how much room at least grows that is drawn for a body without a known length.
GROWTH_DIVISOR = 4
LEAST_GROWTH_BYTES = 4_096
# What the place of a request covers, so that small requests need no further room.
COVERED_BYTES = 8_192
# What an owner may take with several shares.
OWNER_PART = 0.5
# A share with more than this part of the room is large. All large ones together leave
# a rest for the others.
LARGE_PART = 1 / 32
LARGE_SUM_PART = 0.75


class MemoryPlan(msgspec.Struct, frozen=True):
    """How many requests are served at once, and what bodies and peers' batches take."""

    requests: int = 1024
    bodies_bytes: int = 268_435_456
    peers_bytes: int = 134_217_728


class Demand(msgspec.Struct, frozen=True):
    """An amount that is asked for, and what its asker has of the pool then."""

    size: int
    owner: str = ""
    total: int = 0


class _Waiter(msgspec.Struct, eq=False):
    demand: Demand
    admitted: anyio.Event
    taken: bool = False


class Pool:
    """An amount that is taken in the order of asking.

    Who asks for little does not wait behind who asks for much, and an owner that has
    its part already is passed over.
    """

    def __init__(self, limit: int, name: str) -> None:
        self.limit = limit
        self.name = name
        self.taken = 0
        self._by_owner: Counter[str] = Counter()
        self._waiting: deque[_Waiter] = deque()

    def _is_large(self, demand: Demand) -> bool:
        return demand.total > LARGE_PART * self.limit

    def _compute_limit(self, demand: Demand) -> float:
        return self.limit * (LARGE_SUM_PART if self._is_large(demand) else 1.0)

    def _fits(self, demand: Demand) -> bool:
        return self.taken + demand.size <= self._compute_limit(demand)

    def _exceeds_part(self, demand: Demand) -> bool:
        if not demand.owner:
            return False
        taken = self._by_owner[demand.owner]
        by_others = taken - (demand.total - demand.size)
        return by_others > 0 and taken + demand.size > OWNER_PART * self.limit

    def _add(self, demand: Demand) -> None:
        self.taken += demand.size
        if demand.owner:
            self._by_owner[demand.owner] += demand.size

    def try_take(self, demand: Demand) -> bool:
        """Take an amount if it is free and nobody waits; return whether it was."""
        if self._waiting or not self._fits(demand) or self._exceeds_part(demand):
            return False
        self._add(demand)
        return True

    async def wait(self, demand: Demand) -> bool:
        """Wait for an amount for a limited time; return whether it was taken."""
        if not self._can_ever_fit(demand):
            return False
        waiter = _Waiter(demand, anyio.Event())
        self._waiting.append(waiter)
        self._admit()
        try:
            with anyio.move_on_after(ROOM_WAIT_S):
                await waiter.admitted.wait()
        except BaseException:
            if waiter.taken:
                self.give_back(demand.size, demand.owner)
            raise
        finally:
            if not waiter.taken:
                self._waiting.remove(waiter)
                self._admit()
        return waiter.taken

    @property
    def largest(self) -> int:
        """Return the most that one may ask for."""
        return int(LARGE_SUM_PART * self.limit)

    def _can_ever_fit(self, demand: Demand) -> bool:
        return max(demand.size, demand.total) <= self._compute_limit(demand)

    def give_back(self, size: int, owner: str) -> None:
        """Give an amount back, and let those take it that wait."""
        self.taken -= size
        if owner:
            self._by_owner[owner] -= size
            if not self._by_owner[owner]:
                del self._by_owner[owner]
        if self._waiting:
            self._admit()

    def _admit(self) -> None:
        large_blocked = blocked = False
        for waiter in list(self._waiting):
            demand = waiter.demand
            is_large = self._is_large(demand)
            if blocked or (large_blocked and is_large) or self._exceeds_part(demand):
                continue
            if not self._fits(demand):
                large_blocked = True
                blocked = not is_large
                continue
            self._waiting.remove(waiter)
            self._add(demand)
            waiter.taken = True
            waiter.admitted.set()


class MemoryAccount:
    """The room for requests and bodies, and who has taken it."""

    def __init__(self, plan: MemoryPlan, clock: Callable[[], float]) -> None:
        self.requests = Pool(plan.requests, "requests")
        self.bodies = Pool(plan.bodies_bytes, "bodies")
        self.peers = Pool(plan.peers_bytes, "batches of peers")
        self.clock = clock
        self.given_up_count = 0
        self._stalled: dict[Share, float] = {}

    @property
    def reserved_bytes(self) -> int:
        """Return the bytes that bodies have taken."""
        return self.bodies.taken

    def open_share(self, give_up: Callable[[], None]) -> "Share":
        """Open the share of a request; `give_up` ends the request."""
        return Share(self, self.bodies, give_up)

    def open_peer_share(self, give_up: Callable[[], None]) -> "Share":
        """Open the share of a peer's batch; `give_up` ends its connection."""
        return Share(self, self.peers, give_up)

    def set_stalled(self, share: "Share", since: float | None) -> None:
        """Record since when a share's caller has made no progress; None: it has."""
        self._stalled.pop(share, None)
        if since is not None:
            self._stalled[share] = since

    def is_stalled(self, share: "Share") -> bool:
        """Return whether a request waits for its caller."""
        return share in self._stalled

    def give_up_stalled(self) -> None:
        """End the request whose caller has made no progress for the longest time."""
        for share, since in list(self._stalled.items()):
            if self.clock() - since < STALL_S:
                return
            if share.holds_room:
                del self._stalled[share]
                self.given_up_count += 1
                share.give_up()
                return

    async def take(self, pool: Pool, demand: Demand) -> None:
        """Take room, or raise RequestRefused."""
        if pool.try_take(demand):
            return
        async with anyio.create_task_group() as group:
            group.start_soon(self._give_up_while_waiting)
            taken = await pool.wait(demand)
            group.cancel_scope.cancel()
        if not taken:
            detail = f"{pool.name} hold {pool.taken} of {pool.limit}"
            raise RequestRefused(Code.OVERLOADED, detail, RETRY_AFTER_S)

    async def _give_up_while_waiting(self) -> None:
        while True:
            self.give_up_stalled()
            await anyio.sleep(STALL_S / 4)


def create_default_account() -> MemoryAccount:
    """Create the account of a process whose machine nobody describes."""
    return MemoryAccount(MemoryPlan(), anyio.current_time)


class Share:
    """What one request has taken: a place, and room for its bodies.

    The place covers COVERED_BYTES of its bodies.
    """

    def __init__(
        self, account: MemoryAccount, pool: Pool, give_up: Callable[[], None]
    ) -> None:
        self.account = account
        self.pool = pool
        self.give_up = give_up
        self.owner = ""
        self._has_place = False
        self._needed_bytes = 0
        self._taken_bytes = 0
        self._progress_bytes = 0

    @property
    def holds_room(self) -> bool:
        """Return whether anyone could use what the share has taken."""
        return self._has_place or self._taken_bytes > 0

    def set_owner(self, owner: str) -> None:
        """Count what the share takes from now on as an owner's."""
        if not self._taken_bytes:
            self.owner = owner

    async def take_place(self) -> None:
        """Take the place of a request, or raise RequestRefused."""
        if not self._has_place:
            await self.account.take(self.account.requests, Demand(1))
            self._has_place = True

    async def draw(self, size_bytes: int) -> None:
        """Take room for some more bytes, or raise RequestRefused."""
        needed = self._needed_bytes + size_bytes - COVERED_BYTES
        more = needed - self._taken_bytes
        if more > 0:
            demand = Demand(more, self.owner, needed)
            # Whoever waits for room does not wait for its caller.
            waits = self.account.is_stalled(self)
            self.end_wait()
            await self.account.take(self.pool, demand)
            self._taken_bytes += more
            if waits:
                self.begin_wait()
        self._needed_bytes += size_bytes

    def give_back(self, size_bytes: int) -> None:
        """Give room back that is not needed any more."""
        self._needed_bytes -= size_bytes
        spare = self._taken_bytes - max(0, self._needed_bytes - COVERED_BYTES)
        if spare > 0:
            self._taken_bytes -= spare
            self.pool.give_back(spare, self.owner)

    def begin_wait(self) -> None:
        """Record that the request waits for its caller."""
        self._progress_bytes = 0
        self.account.set_stalled(self, self.account.clock())

    def record_progress(self, size_bytes: int) -> None:
        """Record bytes that the caller has sent or read."""
        self._progress_bytes += size_bytes
        if self._progress_bytes >= PROGRESS_BYTES and self.account.is_stalled(self):
            self.begin_wait()

    def end_wait(self) -> None:
        """Record that the request does not wait for its caller any more."""
        self.account.set_stalled(self, None)

    def reset(self) -> None:
        """Give everything back but the place."""
        self.end_wait()
        self.give_back(self._needed_bytes)

    def close(self) -> None:
        """Give everything back."""
        self.reset()
        if self._has_place:
            self._has_place = False
            self.account.requests.give_back(1, "")


class Collector:
    """Joins the parts of a body, for which room is drawn as it grows.

    `drawn_bytes` is the length for which there is room already.
    """

    def __init__(
        self, draw: Callable[[int], Awaitable[None]], drawn_bytes: int = 0
    ) -> None:
        self._draw = draw
        self.drawn_bytes = drawn_bytes
        self._body = bytearray()

    def __len__(self) -> int:
        return len(self._body)

    async def add(self, part: bytes) -> None:
        """Add a part, or raise RequestRefused if there is no room for it."""
        size = len(self._body) + len(part)
        if size > self.drawn_bytes:
            # Seldom, since the room grows by a part of itself.
            grown = self.drawn_bytes // GROWTH_DIVISOR
            more = max(size - self.drawn_bytes, grown, LEAST_GROWTH_BYTES)
            await self._draw(COPIES_WHILE_READ * more)
            self.drawn_bytes += more
        self._body += part

    def join(self) -> bytes:
        """Return the whole body."""
        return bytes(self._body)


class PatientRoom:
    """A context with room for a batch to a peer, which waits until there is some."""

    def __init__(self, account: MemoryAccount, size_bytes: int) -> None:
        self._share = account.open_peer_share(lambda: None)
        self._size_bytes = min(size_bytes, account.peers.largest)

    async def __aenter__(self) -> None:
        while True:
            with suppress(RequestRefused):
                await self._share.draw(self._size_bytes)
                return

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._share.close()
