"""Choose the handler of a caller's request by its path."""

from burdockwall.connection.exchange import Exchange
from burdockwall.request.calls import serve_call
from burdockwall.request.parts import Parts
from burdockwall.request.program import PROGRAMS_PATH, serve_program
from burdockwall.request.trace import RequestTrace
from burdockwall.request.turns import serve_turn
from burdockwall.version.view import View


async def serve_request(
    parts: Parts, view: View, exchange: Exchange, trace: RequestTrace
) -> None:
    """Serve a request by one version of the configuration, or raise RequestRefused."""
    if exchange.path.startswith(PROGRAMS_PATH):
        await serve_program(parts, view, exchange)
    elif view.has_model_route(exchange.path):
        await serve_turn(parts, view, exchange, trace)
    else:
        await serve_call(parts, view, exchange, trace)
