"""Serve operators over HTTP: status, audit, submissions and keys."""

from collections.abc import Awaitable, Callable

import msgspec

from burdockwall.connection.exchange import Exchange
from burdockwall.errors import Code, OperatorError
from burdockwall.process.admission.gate import ShedCount
from burdockwall.process.control.audit import AuditRecord
from burdockwall.process.control.commands import AnyOperatorCommand, Outcome
from burdockwall.process.control.state import ControlState
from burdockwall.process.limits.client import LimitRefusals
from burdockwall.settings import Settings

Serve = Callable[[Exchange], Awaitable[None]]
OPERATOR_BODY_BYTES = 8_388_608
_command_decoder = msgspec.json.Decoder(AnyOperatorCommand)


class Status(msgspec.Struct, frozen=True):
    """Describe an instance to operators."""

    instance: str
    role: str
    failure_domain: str
    version: int
    under_way: int
    leaving: bool
    limit_refusals: list[LimitRefusals] = []
    sheds: list[ShedCount] = []
    retries_refused: int = 0


class AuditPage(msgspec.Struct, frozen=True):
    """Hold audit records in the order of their index."""

    records: list[AuditRecord]


class StatePage(msgspec.Struct, frozen=True):
    """Hold the configuration text in force and its version."""

    version: int
    text: str


class Operations:
    """Answer operators from the parts that an instance has."""

    def __init__(
        self,
        settings: Settings,
        read_status: Callable[[], Status],
        state: ControlState | None,
        wall_clock: Callable[[], float],
        drain: Callable[[], None],
    ) -> None:
        self.settings = settings
        self.read_status = read_status
        self.state = state
        self.wall_clock = wall_clock
        self.drain = drain
        self._added: dict[tuple[str, str], Serve] = {}

    def add_operation(self, method: str, path: str, serve: Serve) -> None:
        """Let a part of the process serve one method and path of its own."""
        self._added[(method, path)] = serve

    async def serve(self, exchange: Exchange) -> None:
        """Serve one request from an operator."""
        match (exchange.method, exchange.path):
            case ("GET", "/status"):
                await exchange.answer_json(200, self.read_status())
            case ("GET", "/audit"):
                await exchange.answer_json(
                    200, AuditPage(list(self._get_state().audit))
                )
            case ("GET", "/configuration"):
                state = self._get_state()
                page = StatePage(state.version, state.text)
                await exchange.answer_json(200, page)
            case ("POST", "/commands"):
                await exchange.answer_json(200, await self._run_command(exchange))
            case ("POST", "/drain"):
                self.drain()
                await exchange.answer_json(200, self.read_status())
            case operation if operation in self._added:
                await self._added[operation](exchange)
            case _:
                detail = f"no operation {exchange.method} {exchange.path}"
                raise OperatorError(Code.NO_ROUTE, detail)

    def _get_state(self) -> ControlState:
        if self.state is None:
            raise OperatorError(Code.NOT_LEADER)
        return self.state

    async def _run_command(self, exchange: Exchange) -> Outcome:
        state = self._get_state()
        body = await exchange.read_body(OPERATOR_BODY_BYTES)
        try:
            command = _command_decoder.decode(body)
        except msgspec.DecodeError as error:
            raise OperatorError(Code.BAD_REQUEST, str(error)) from error
        return state.apply(command, self.wall_clock())
