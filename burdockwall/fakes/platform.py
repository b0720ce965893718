"""A fake of the platform's list of live and leaving instances and endpoints."""

from burdockwall.connection.exchange import Exchange
from burdockwall.process.membership.platform import LIST_PATH, PlatformList


class FakePlatform:
    """An HTTP server that publishes the list which a test sets."""

    def __init__(self) -> None:
        self.published = PlatformList()

    async def serve(self, exchange: Exchange) -> None:
        """Serve the list."""
        status = 200 if exchange.path == LIST_PATH else 404
        await exchange.answer_json(status, self.published)
