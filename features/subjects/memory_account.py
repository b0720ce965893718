"""Shares of one account of memory, which take and give back room."""

from dataclasses import dataclass, field

import anyio

from burdockwall.connection.memory import (
    COVERED_BYTES,
    PROGRESS_BYTES,
    STALL_S,
    MemoryAccount,
    MemoryPlan,
    Share,
)
from burdockwall.errors import RequestRefused
from burdockwall.process.clock import read_clock
from burdockwall.process.storage.records import (
    RECORD_OVERHEAD_BYTES,
    LedgerRecord,
    RecordKind,
    TurnKey,
)
from burdockwall.process.storage.room import StoreRoom
from burdockwall.types import CustomerId, ProgramId, TurnId

# A waiter that could be served was served by then.
SOON_S = 0.05


@dataclass(slots=True)
class AccountSubject:
    """An account with named shares; every step is an action on one loop."""

    limit: int
    actions: list = field(default_factory=list)
    account: MemoryAccount | None = None
    shares: dict[str, Share] = field(default_factory=dict)
    got: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    given_up: list[str] = field(default_factory=list)

    def run(self) -> None:
        """Run the actions that steps have added."""
        anyio.run(self._run)

    async def _run(self) -> None:
        plan = MemoryPlan(10, self.limit)
        self.account = MemoryAccount(plan, read_clock)
        async with anyio.create_task_group() as group:
            for action in self.actions:
                await action(group)
            group.cancel_scope.cancel()

    def open(self, name: str, owner: str = "") -> Share:
        """Open a share under a name; it gives its room back when it is given up."""

        def give_up() -> None:
            self.given_up.append(name)
            self.shares[name].close()

        assert self.account is not None
        share = self.account.open_share(give_up)
        share.set_owner(owner)
        self.shares[name] = share
        return share

    async def take(self, name: str, size: int, owner: str = "") -> None:
        """Take room, and record whether there was any."""
        try:
            await self.open(name, owner).draw(COVERED_BYTES + size)
            self.got.add(name)
        except RequestRefused:
            self.refused.add(name)

    async def send_on(self, name: str) -> None:
        """Make progress again and again."""
        while True:
            await anyio.sleep(STALL_S / 4)
            self.shares[name].record_progress(PROGRESS_BYTES)


@dataclass(slots=True)
class StoreRoomSubject:
    """The room of a store, and the turns that have begun."""

    room: StoreRoom
    begun: list[TurnKey] = field(default_factory=list)

    def begin(self, size: int) -> bool:
        """Begin a turn; return whether there was room."""
        key = TurnKey(CustomerId("c"), TurnId(str(len(self.begun))))
        has_room = self.room.reserve(key, size, 0.0)
        if has_room:
            self.begun.append(key)
        return has_room

    def end_first(self, size: int) -> int:
        """End the first turn; return what its record takes."""
        customer, turn = self.begun[0]
        record = LedgerRecord(
            RecordKind.SETTLED,
            customer,
            ProgramId("p"),
            turn,
            1,
            1000,
            prompt=b"x" * size,
        )
        self.room.add(record)
        return RECORD_OVERHEAD_BYTES + size
