"""A process that only relays bytes, with the same libraries as the entry."""

import sys

import anyio
import httpx

from burdockwall.connection.exchange import Exchange
from burdockwall.process.web import serve_address
from burdockwall.types import Address

BODY_BYTES = 1_048_576
TIMEOUT_S = 30.0


async def main(address: Address, target: Address) -> None:
    """Relay every request to the target until the process is terminated."""
    limits = httpx.Limits(max_connections=1024, max_keepalive_connections=32)
    async with httpx.AsyncClient(
        base_url=f"http://{target}", limits=limits, timeout=TIMEOUT_S, trust_env=False
    ) as client:

        async def serve(exchange: Exchange) -> None:
            body = await exchange.read_body(BODY_BYTES)
            headers = [(b"content-type", b"application/json")]
            async with client.stream(
                exchange.method, exchange.path, headers=headers, content=body
            ) as response:
                kind = response.headers["content-type"].encode()
                await exchange.start(response.status_code, [(b"content-type", kind)])
                async for chunk in response.aiter_raw():
                    await exchange.write(chunk)
            await exchange.finish()

        await serve_address(address, serve, anyio.Event(), 1.0)


if __name__ == "__main__":
    anyio.run(main, Address(sys.argv[1]), Address(sys.argv[2]))
