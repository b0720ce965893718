"""Take the requests that can end before a shutdown, and end the rest at its limit.

Made for callers that keep the address of an instance while it stops: what comes late
and could outlast the process is refused at once, as not run.
"""

from collections.abc import Awaitable, Callable

import anyio

from burdockwall.errors import Code, RequestRefused
from burdockwall.process.drain import Drain

# Callers know other instances.
RETRY_AFTER_S = 0.1
ENDED_DETAIL = "the instance is shutting down"


class DrainGate:
    """The requests of one instance, each in a scope that the shutdown can cancel."""

    def __init__(self, drain: Drain) -> None:
        self.drain = drain
        self._scopes: set[anyio.CancelScope] = set()

    def check(self, ends_at: float | None) -> None:
        """Raise RequestRefused if a request that ends by a time may outlast this one.

        `ends_at` is None if it ends at no set time.
        """
        if not self.drain.accepts(ends_at):
            raise RequestRefused(Code.LEAVING, retry_after_s=RETRY_AFTER_S)

    async def run(
        self, serve: Callable[[], Awaitable[None]], may_have_run: Callable[[], bool]
    ) -> None:
        """Serve a request; raise RequestRefused if the shutdown ends it before."""
        with anyio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                await serve()
            finally:
                self._scopes.discard(scope)
        if not scope.cancelled_caught:
            return
        if may_have_run():
            raise RequestRefused(Code.OUTCOME_UNKNOWN, ENDED_DETAIL)
        raise RequestRefused(Code.LEAVING, retry_after_s=RETRY_AFTER_S)

    def end_requests(self) -> None:
        """End every request that is being served."""
        for scope in self._scopes:
            scope.cancel()
