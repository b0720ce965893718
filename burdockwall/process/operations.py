"""The HTTP interface for operators: status, audit, submissions and keys."""

from collections.abc import Awaitable, Callable

import msgspec

from burdockwall.connection.exchange import Exchange
from burdockwall.errors import Code, OperatorError
from burdockwall.process.admission.gate import ShedCount
from burdockwall.process.credential import check_local_operator
from burdockwall.process.limits.client import LimitRefusals
from burdockwall.settings import Settings
from burdockwall.types import EndpointState

Serve = Callable[[Exchange], Awaitable[None]]
# Changes outside the control state, for which this instance checks the token.
LOCAL_CHANGES = (("POST", "/drain"), ("POST", "/unknowns/settle"))
EVACUATION_START_PATH = "/evacuation/start"
EVACUATION_END_PATH = "/evacuation/end"
CONTROL_PATHS = (
    "/control",
    "/configuration",
    "/audit",
    "/state",
    "/commands",
    "/in-force",
    EVACUATION_START_PATH,
    EVACUATION_END_PATH,
)


class Status(msgspec.Struct, frozen=True):
    """The status of an instance."""

    instance: str
    role: str
    failure_domain: str
    version: int
    under_way: int
    leaving: bool
    limit_refusals: list[LimitRefusals] = []
    sheds: list[ShedCount] = []
    retries_refused: int = 0
    state: str = EndpointState.LIVE.value
    lease_s: float = 0.0
    leader: str = ""
    # The evacuated failure domains, each with since when and by whom.
    evacuated: list[str] = []


class Operations:
    """Serves operators' requests with the parts that an instance has."""

    def __init__(
        self,
        settings: Settings,
        read_status: Callable[[], Status],
        drain: Callable[[], None],
    ) -> None:
        self.settings = settings
        self.read_status = read_status
        self.drain = drain
        self._added: dict[tuple[str, str], Serve] = {}

    def add_operation(self, method: str, path: str, serve: Serve) -> None:
        """Add an operation that a part of the process serves."""
        self._added[(method, path)] = serve

    async def serve(self, exchange: Exchange) -> None:
        """Serve one request from an operator."""
        if (exchange.method, exchange.path) in LOCAL_CHANGES:
            check_local_operator(self.settings, exchange)
        match (exchange.method, exchange.path):
            case ("GET", "/status"):
                await exchange.answer_json(200, self.read_status())
            case ("POST", "/drain"):
                self.drain()
                await exchange.answer_json(200, self.read_status())
            case operation if operation in self._added:
                await self._added[operation](exchange)
            case (_, path) if path in CONTROL_PATHS:
                detail = "this instance holds no control state"
                raise OperatorError(Code.NOT_LEADER, detail)
            case _:
                detail = f"no operation {exchange.method} {exchange.path}"
                raise OperatorError(Code.NO_ROUTE, detail)
