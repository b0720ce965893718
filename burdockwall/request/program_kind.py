"""The kind of a request at its customer's rate, and how long it may wait.

Answers the load of a customer whose callers begin more programs than its rate carries:
requests of programs under way wait for the rate as long as their time allows.
"""

from burdockwall.process.limits.kinds import (
    ALONE,
    Kind,
    RateRequest,
    mark_program,
)
from burdockwall.process.storage.client import TurnChain
from burdockwall.request.codec import ForwardedRequest
from burdockwall.version.deployment import HostRoute

# Share of a request's time that is left for its endpoint, if its route's objective does
# not need more.
ENDPOINT_SHARE = 0.25


def describe_rate_request(
    request: ForwardedRequest,
    route: HostRoute,
    chain: TurnChain | None,
    remaining_s: float,
    program_wait_s: float,
) -> RateRequest:
    """Describe a request to its customer's rate.

    `chain` is what the stores answered about the turn, or None for any other request.
    """
    if not program_wait_s or request.program is None:
        return ALONE
    reserved_s = max(route.objective_s, remaining_s * ENDPOINT_SHARE)
    wait_s = max(0.0, min(program_wait_s, remaining_s - reserved_s))
    return RateRequest(
        Kind.START if _begins_program(request, chain) else Kind.IN_FLIGHT,
        mark_program(request.program),
        wait_s,
    )


def _begins_program(request: ForwardedRequest, chain: TurnChain | None) -> bool:
    """Return whether a request is a turn of a program without an answered one.

    A turn that continues a stored one, or takes up a stream, belongs to a program under
    way, and so does one about which stores of an earlier build tell nothing.
    """
    if chain is None or request.turn is None or request.resumption is not None:
        return False
    return request.turn.previous is None and chain.answered is False
