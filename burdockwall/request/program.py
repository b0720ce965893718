"""Read a request's program headers, and show or cancel programs for their callers."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from urllib.parse import unquote

import anyio
import msgspec

from burdockwall.connection.exchange import Exchange
from burdockwall.errors import Code, RequestRefused
from burdockwall.process.programs.budget import Budget, Spend
from burdockwall.process.programs.history import decode_turn
from burdockwall.process.programs.operations import EndReason
from burdockwall.request.caller import find_key, read_number
from burdockwall.request.completion import ChatMessage
from burdockwall.request.parts import Parts
from burdockwall.settings import Settings
from burdockwall.types import CustomerId, ProgramId
from burdockwall.version.configuration import Customer, Route
from burdockwall.version.view import View

PROGRAMS_PATH = "/v1/programs/"
ID_LIMIT_CHARACTERS = 512


class ProgramHeaders(msgspec.Struct, frozen=True):
    """The headers of a request that concern its program.

    `number` is the number of the turn, and `supersedes` the program that it replaces.
    """

    program: ProgramId | None
    number: int | None
    budget: Budget
    supersedes: ProgramId | None


class SpendPage(msgspec.Struct, frozen=True):
    """Tokens, calls and cost, encoded with their names."""

    tokens: int
    calls: int
    cost: float


class BudgetPage(msgspec.Struct, frozen=True):
    """A budget, encoded with the names of its limits; the time is in seconds."""

    tokens: int
    calls: int
    cost: float
    time_s: float


class ProgramPage(msgspec.Struct, frozen=True):
    """A program as its caller sees it."""

    program: str
    state: str
    reason: str
    turn: int
    running: int
    children: list[ProgramId]
    budget: BudgetPage
    spent: SpendPage
    reserved: SpendPage
    age_s: float
    history: list[ChatMessage]


def read_program_headers(exchange: Exchange, settings: Settings) -> ProgramHeaders:
    """Read the headers that concern a program, or raise RequestRefused."""
    program = exchange.get_header(b"program-id")
    parent = exchange.get_header(b"parent-program-id")
    supersedes = exchange.get_header(b"supersedes")
    return ProgramHeaders(
        program=_join_ids(program, parent),
        number=read_number(exchange, b"program-turn"),
        budget=_read_budget(exchange, settings),
        supersedes=_check_id(supersedes) if supersedes else None,
    )


def _join_ids(program: str | None, parent: str | None) -> ProgramId | None:
    if program is None:
        if parent is not None:
            raise RequestRefused(Code.BAD_REQUEST, "a sub-agent needs a program-id")
        return None
    if parent is None or program.startswith(f"{parent}/"):
        return _check_id(program)
    return _check_id(f"{parent}/{program}")


def _check_id(text: str) -> ProgramId:
    has_all_parts = all(text.split("/"))
    if not has_all_parts or len(text) > ID_LIMIT_CHARACTERS or not text.isprintable():
        raise RequestRefused(Code.BAD_REQUEST, f"{text!r} is no program id")
    return ProgramId(text)


def _read_amount(exchange: Exchange, name: bytes, default: float) -> float:
    text = exchange.get_header(name)
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value < float("inf"):
        detail = f"header {name.decode()} is {text!r}, not an amount"
        raise RequestRefused(Code.BAD_REQUEST, detail)
    return min(value, default)


def _read_budget(exchange: Exchange, settings: Settings) -> Budget:
    """Read the budget; a caller may only lower the limits of the settings."""
    return Budget(
        tokens=int(_read_amount(exchange, b"budget-tokens", settings.budget_tokens)),
        calls=int(_read_amount(exchange, b"budget-calls", settings.budget_calls)),
        cost=_read_amount(exchange, b"budget-cost", settings.budget_cost),
        time_s=_read_amount(exchange, b"budget-time", settings.budget_time_s),
    )


@asynccontextmanager
async def charge_tool(
    parts: Parts, exchange: Exchange, customer: Customer, route: Route
) -> AsyncIterator[None]:
    """Charge a tool call to the budget of its program, if it names one."""
    headers = read_program_headers(exchange, parts.settings)
    if headers.program is None:
        yield
        return
    reserve = Spend(0, 1, route.cost)
    tool = await parts.programs.begin_tool(
        customer.name, headers.program, reserve, headers.budget
    )
    parts.programs.start_renewing(tool, lambda: None)
    try:
        yield
    finally:
        parts.programs.stop_renewing(tool)
        with anyio.CancelScope(shield=True):
            await parts.programs.end_tool(tool)


async def serve_program(parts: Parts, view: View, exchange: Exchange) -> None:
    """Show or cancel a program.

    A program of another customer is answered as one that does not exist.
    """
    caller_key = find_key(exchange)
    if caller_key.value is None:
        raise RequestRefused(Code.KEY_MISSING)
    customer = view.find_customer(caller_key.value).name
    program = _check_id(unquote(exchange.path.removeprefix(PROGRAMS_PATH)))
    match exchange.method:
        case "GET":
            await exchange.answer_json(200, await _read_page(parts, customer, program))
        case "DELETE":
            reason = EndReason.CANCELLED
            await parts.programs.end_program(customer, program, reason)
            await exchange.answer_json(200, await _read_page(parts, customer, program))
        case _:
            raise RequestRefused(Code.BAD_REQUEST, f"no {exchange.method} of a program")


async def _read_page(
    parts: Parts, customer: CustomerId, program: ProgramId
) -> ProgramPage:
    program_state = await parts.programs.read_program(customer, program)
    history: list[ChatMessage] = []
    for data in program_state.turns:
        content = decode_turn(data)
        history += content.messages
        history.append(ChatMessage("assistant", content.answer))
    return ProgramPage(
        program=program_state.program,
        state=program_state.state,
        reason=program_state.reason,
        turn=program_state.turn,
        running=len(program_state.running),
        children=program_state.children,
        budget=BudgetPage(*msgspec.structs.astuple(program_state.budget)),
        spent=SpendPage(*msgspec.structs.astuple(program_state.spent)),
        reserved=SpendPage(*msgspec.structs.astuple(program_state.reserved)),
        age_s=program_state.age_s,
        history=history,
    )
