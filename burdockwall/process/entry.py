"""Serve callers: resolve, programs and routes."""

from collections.abc import Callable

from burdockwall.connection.exchange import Exchange
from burdockwall.errors import Code, RequestRefused
from burdockwall.process.membership.messages import StateSnapshot
from burdockwall.process.resolver import Member, resolve_addresses
from burdockwall.request.flow import serve_request
from burdockwall.request.parts import create_parts
from burdockwall.settings import Settings
from burdockwall.types import FailureDomain
from burdockwall.version.view import build_empty_view, build_view

RESOLVE_PATH = "/v1/resolve"


class Entry:
    """Hold what an entry instance keeps while its process lives."""

    def __init__(
        self,
        settings: Settings,
        clock: Callable[[], float],
        list_members: Callable[[], list[Member]],
    ) -> None:
        self.settings = settings
        self.list_members = list_members
        self.view = build_empty_view()
        self.parts = create_parts(settings, clock)
        self.leaving = False
        self.under_way = 0

    async def run(self) -> None:
        """Produce answers until cancelled."""
        await self.parts.streams.run()

    def install(self, snapshot: StateSnapshot) -> None:
        """Put a version of the control state in force."""
        self.view = build_view(snapshot.version, snapshot.text, snapshot.keys)

    async def serve(self, exchange: Exchange) -> None:
        """Serve one request from a caller."""
        if exchange.path == RESOLVE_PATH:
            await self._serve_resolve(exchange)
            return
        if self.leaving:
            raise RequestRefused(Code.LEAVING, retry_after_s=1.0)
        if self.view.version == 0:
            raise RequestRefused(Code.NOT_READY, retry_after_s=1.0)
        self.under_way += 1
        try:
            await serve_request(self.parts, self.view, exchange)
        finally:
            self.under_way -= 1

    async def _serve_resolve(self, exchange: Exchange) -> None:
        query = dict(exchange.list_query())
        near = FailureDomain(query.get("failure_domain", self.settings.failure_domain))
        resolution = resolve_addresses(
            self.list_members(),
            near,
            query.get("caller", ""),
            self.settings.resolve_ttl_s,
        )
        await exchange.answer_json(200, resolution)
