"""The client of the stores, which begins and ends callers' turns."""

from collections.abc import Callable

import logbook
import msgspec
from msgspec.structs import replace

from burdockwall.errors import Code, RequestRefused
from burdockwall.process.host import Host
from burdockwall.process.storage.calls import (
    CALL_MESSAGES,
    AskBegin,
    AskEnd,
    BeginDecided,
    ChainOverdue,
    EndStored,
    InstallView,
    ProbeStores,
    StoreRefused,
    TurnCalls,
    TurnOutcome,
    TurnStart,
    Withdraw,
)
from burdockwall.process.storage.messages import ChainLink, StreamPlace
from burdockwall.process.storage.quorum import Verdict
from burdockwall.process.storage.view import StoreView
from burdockwall.process.waiters import Waiters
from burdockwall.types import FailureDomain, Incarnation, InstanceId

# Stores answer a begin within a few milliseconds. If the one that was asked for the
# chain is silent for this long, another one is asked too.
CHAIN_DELAY_S = 0.02
BEGIN_TIMEOUT_S = 1.5
END_TIMEOUT_S = 2.5
RETRY_AFTER_S = 0.3


class TurnChain(msgspec.Struct, frozen=True):
    """The earlier turns that a turn continues, oldest first.

    `other_group` is whether they are held by stores other than the turn's own. `place`
    is that of the stream which the turn takes up, or None if no store knows it.
    `answered` is whether a turn of the program was answered completely, or None if no
    store tells.
    """

    links: list[ChainLink]
    other_group: bool = False
    place: StreamPlace | None = None
    answered: bool | None = None


class TurnClient:
    """Begins and ends turns at the stores on behalf of callers."""

    def __init__(
        self,
        host: Host,
        incarnation: Incarnation,
        domain: FailureDomain,
        find_domain: Callable[[InstanceId], FailureDomain | None],
    ) -> None:
        self.host = host
        self.domain = domain
        self.find_domain = find_domain
        self.calls = TurnCalls(incarnation)
        self._logger = logbook.Logger("turns")
        self._waiters: Waiters[BeginDecided | EndStored] = Waiters()
        self._hosted = host.add(self.calls, CALL_MESSAGES, self._perform)

    def install_view(self, view: StoreView) -> None:
        """Use a view of the stores if it is later than the current one."""
        nearest = tuple(
            self._find_nearest(view.select_group(group)) for group in range(view.groups)
        )
        self.host.apply(self._hosted, InstallView(view, nearest))

    def refresh(self) -> None:
        """Find the nearest store again, since the members may have changed."""
        self.install_view(self.calls.view)

    def _find_nearest(self, view: StoreView) -> InstanceId | None:
        for instance in view.instances:
            if self.find_domain(instance) == self.domain:
                return instance
        return view.instances[0] if view.instances else None

    def _perform(self, action: BeginDecided | EndStored | StoreRefused) -> None:
        match action:
            case BeginDecided(call=call) | EndStored(call=call):
                self._waiters.complete(call, action)
            case StoreRefused(store=store):
                self._logger.warning("store is full", extra={"store": store})

    def _check_reachable(self, start: TurnStart) -> None:
        """Raise RequestRefused if too few stores are connected for a quorum."""
        view = self.calls.find_group_view(start.customer, start.program)
        bus = self.host.bus
        reachable = [store for store in view.instances if not bus.is_lost(store)]
        if not view.members or len(reachable) < view.write_quorum:
            # Only an answer to a message shows that a store is reachable again.
            self.host.apply(self._hosted, ProbeStores())
            names = " ".join(reachable) or "none"
            detail = f"stores within reach: {names}"
            raise RequestRefused(Code.RECORDS_UNAVAILABLE, detail, RETRY_AFTER_S)

    async def begin(self, start: TurnStart) -> TurnChain:
        """Reserve a turn's tokens and return its chain.

        Raise RequestRefused if the stores refuse the turn or do not answer in time.
        """
        self._check_reachable(start)
        call = self._waiters.create()
        self.host.apply(self._hosted, AskBegin(call, start))
        try:
            needs_chain = start.needs_chain and start.previous is not None
            if needs_chain and not await self._waiters.is_answered(call, CHAIN_DELAY_S):
                self.host.apply(self._hosted, ChainOverdue(call))
            decided = await self._waiters.wait(call, BEGIN_TIMEOUT_S)
        except TimeoutError as error:
            detail = "too few stores answered"
            raise RequestRefused(Code.TURN_UNCERTAIN, detail, RETRY_AFTER_S) from error
        finally:
            self.host.apply(self._hosted, Withdraw(call))
        assert isinstance(decided, BeginDecided)
        match decided.verdict:
            case Verdict.BUDGET_SPENT:
                used = decided.quorum.count_charges()
                detail = f"{used} of {start.budget} tokens are used or reserved"
                raise RequestRefused(Code.BUDGET_SPENT, detail)
            case Verdict.STORES_FULL:
                detail = "the stores have no room for the turn"
                raise RequestRefused(Code.RECORDS_UNAVAILABLE, detail, RETRY_AFTER_S)
            case Verdict.TURN_UNKNOWN:
                raise RequestRefused(Code.TURN_UNKNOWN, f"no turn {start.previous}")
            case _:
                links = decided.quorum.find_chain() or []
                return TurnChain(
                    links, decided.other_group, decided.place, decided.answered
                )

    async def record_place(self, start: TurnStart, place: StreamPlace) -> None:
        """Record at a quorum of stores where the stream of a begun turn comes from.

        Raise RequestRefused if they do not answer in time.
        """
        # The reservation exists already, and its budget has been checked.
        again = replace(
            start, previous=None, budget=None, needs_chain=False, place=place
        )
        await self.begin(again)

    async def end(self, start: TurnStart, outcome: TurnOutcome) -> bool:
        """Settle a turn, and return whether a quorum of stores has synced it."""
        call = self._waiters.create()
        self.host.apply(self._hosted, AskEnd(call, start, outcome))
        try:
            await self._waiters.wait(call, END_TIMEOUT_S)
        except TimeoutError:
            return False
        finally:
            self.host.apply(self._hosted, Withdraw(call))
        return True
