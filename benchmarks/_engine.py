"""A process that streams completions with a fixed interval between tokens."""

import sys

import anyio

from burdockwall.connection.exchange import Exchange
from burdockwall.fakes.engine import EVENT_HEADERS, format_event
from burdockwall.process.web import serve_address
from burdockwall.request.completion import parse_completion
from burdockwall.types import Address

BODY_BYTES = 1_048_576
TOKEN_S = 0.005


async def serve(exchange: Exchange) -> None:
    """Stream `max_tokens` events, the last of which marks the end of the answer."""
    completion = parse_completion(await exchange.read_body(BODY_BYTES))
    await exchange.start(200, EVENT_HEADERS)
    for number in range(1, completion.max_tokens):
        await anyio.sleep(TOKEN_S)
        await exchange.write(format_event(number, "token "))
    await exchange.write(b"id: %d\ndata: [DONE]\n\n" % completion.max_tokens)
    await exchange.finish()


async def main(address: Address) -> None:
    """Serve until the process is terminated."""
    await serve_address(address, serve, anyio.Event(), 1.0)


if __name__ == "__main__":
    anyio.run(main, Address(sys.argv[1]))
