"""Keep a program and its sub-agents in one record: order, history and budget.

`decide_*` functions look at a record and say what to write or answer; `apply`
changes it. Only writes that every replica has are applied, so each replica's
record is the same. A sub-agent's id is its parent's id, a slash and a name.
"""

from dataclasses import dataclass
from enum import Enum

import msgspec

from burdockwall.errors import Code
from burdockwall.process.programs import calls, operations
from burdockwall.process.programs.budget import Budget, Spend
from burdockwall.process.programs.operations import EndReason, FamilyKey
from burdockwall.types import (
    CustomerId,
    EndpointId,
    InstanceId,
    ProgramId,
    ProgramTag,
    RequestId,
)

RECENT_REQUESTS = 16


class ProgramState(Enum):
    """Name where a program stands."""

    ACTIVE = "active"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class Limits:
    """Bound programs: counts, bytes of history, and times in seconds."""

    depth: int = 8
    fan_out: int = 32
    family: int = 256
    turns: int = 1000
    history_bytes: int = 8_388_608
    lease_s: float = 1800.0
    grace_s: float = 30.0
    retention_s: float = 3600.0
    call_lease_s: float = 5.0
    outcome_retention_s: float = 86_400.0
    records: int = 20_000
    tombstones: int = 4_000_000


class RunningCall(msgspec.Struct, array_like=True):
    """Hold a call under way; the number is 0 for a tool call."""

    request: RequestId
    number: int
    digest: bytes
    reserved: Spend
    owner: InstanceId


class StoredTurn(msgspec.Struct, frozen=True, array_like=True):
    """Hold a finished turn: its request, the digest of its body, its content."""

    request: RequestId
    digest: bytes
    content: bytes


class Program(msgspec.Struct, array_like=True):
    """Hold one program of a family."""

    program: ProgramId
    tag: ProgramTag
    active_at: float
    state: ProgramState = ProgramState.ACTIVE
    reason: EndReason | None = None
    turns: list[StoredTurn] = []
    history_bytes: int = 0
    running: dict[RequestId, RunningCall] = {}
    endpoints: list[EndpointId] = []
    gone_at: float | None = None
    # Requests of calls that have ended; a late copy of one begins nothing.
    recent: list[RequestId] = []

    def find_running_turn(self) -> RunningCall | None:
        """Return the turn under way, or None."""
        for call in self.running.values():
            if call.number:
                return call
        return None


class Family(msgspec.Struct, array_like=True):
    """Hold a root program with its sub-agents and their shared budget."""

    key: FamilyKey
    budget: Budget
    created_at: float
    sequence: int = 0
    spent: Spend = Spend()
    programs: dict[ProgramId, Program] = {}

    def compute_reserved(self) -> Spend:
        """Return the sum of all reservations under way."""
        total = Spend()
        for program in self.programs.values():
            for call in program.running.values():
                total = total.add(call.reserved)
        return total

    def list_children(self, parent: ProgramId) -> list[ProgramId]:
        """List the direct sub-agents of a program."""
        return [name for name in self.programs if find_parent(name) == parent]

    def list_subtree(self, top: ProgramId) -> list[Program]:
        """List a program and all its sub-agents."""
        prefix = f"{top}/"
        return [
            program
            for name, program in self.programs.items()
            if name == top or name.startswith(prefix)
        ]


@dataclass(frozen=True, slots=True)
class Revoked:
    """Tell that a running call was ended against its owner's will."""

    request: RequestId
    owner: InstanceId


@dataclass(frozen=True, slots=True)
class ProgramGone:
    """Tell that a program has ended and on which endpoints its cache may be."""

    tag: ProgramTag
    endpoints: tuple[EndpointId, ...]


Effect = Revoked | ProgramGone


@dataclass(frozen=True, slots=True)
class Decision:
    """Hold what to write, if anything, and what to answer once it is written."""

    answer: calls.AnyAnswer
    operation: operations.AnyOperation | None = None


def find_root(program: ProgramId) -> ProgramId:
    """Return the root program of a program's family."""
    return ProgramId(program.partition("/")[0])


def find_parent(program: ProgramId) -> ProgramId | None:
    """Return the parent of a sub-agent, or None for a root program."""
    parent, _, _ = program.rpartition("/")
    return ProgramId(parent) if parent else None


def create_key(customer: CustomerId, program: ProgramId) -> FamilyKey:
    """Create the key of the record that holds a program."""
    return FamilyKey(customer, find_root(program))


def refuse(code: Code, detail: str = "") -> Decision:
    """Decide to refuse with a code."""
    return Decision(calls.Refused(code.value.number, detail))


def decide_begin(
    family: Family | None, call: calls.BeginCall, at: float, limits: Limits
) -> Decision:
    """Decide whether a call may begin."""
    program = family.programs.get(call.program) if family else None
    if program is not None and call.request in program.running:
        assert family is not None
        answer = _grant(family, program, call, program.running[call.request].number, at)
        return Decision(answer)
    if program is not None and call.request in program.recent:
        return _repeat(program, call.request)
    number, refusal = _check_order(program, call)
    if refusal is not None:
        return refusal
    if program is None:
        refusal = _check_place(family, call, limits)
    elif program.state is ProgramState.ENDED:
        reason = program.reason.value if program.reason else ""
        refusal = refuse(Code.PROGRAM_ENDED, f"the program has ended: {reason}")
    elif (
        len(program.turns) >= limits.turns
        or program.history_bytes >= limits.history_bytes
    ):
        refusal = refuse(Code.PROGRAM_LIMIT, "the history has reached its limit")
    if refusal is None:
        refusal = _check_budget(family, call, at)
    if refusal is not None:
        return refusal
    return _begin(family, program, call, number, at)


def _repeat(program: Program, request: RequestId) -> Decision:
    for turn in reversed(program.turns):
        if turn.request == request:
            return Decision(calls.TurnRepeated(turn.content))
    return refuse(Code.CALL_REVOKED)


def _check_order(
    program: Program | None, call: calls.BeginCall
) -> tuple[int, Decision | None]:
    if call.tool:
        return 0, None
    due = len(program.turns) + 1 if program else 1
    number = call.number or due
    detail = f"turn {number}, but {due} is next"
    if number > due:
        return number, refuse(Code.TURN_GAP, detail)
    if number < due:
        assert program is not None
        stored = program.turns[number - 1]
        if stored.digest != call.digest:
            return number, refuse(Code.TURN_STALE, detail)
        return number, Decision(calls.TurnRepeated(stored.content))
    if program and program.find_running_turn() and not call.supersedes:
        return number, refuse(Code.TURN_RUNNING)
    return number, None


def _check_place(
    family: Family | None, call: calls.BeginCall, limits: Limits
) -> Decision | None:
    parent = find_parent(call.program)
    if parent is None:
        return None
    holder = family.programs.get(parent) if family else None
    if family is None or holder is None:
        return refuse(Code.PROGRAM_UNKNOWN, "the parent program is unknown")
    if holder.state is ProgramState.ENDED:
        return refuse(Code.PROGRAM_ENDED, "the parent program has ended")
    if call.program.count("/") > limits.depth:
        return refuse(Code.PROGRAM_LIMIT, f"deeper than {limits.depth}")
    if len(family.list_children(parent)) >= limits.fan_out:
        return refuse(Code.PROGRAM_LIMIT, f"over {limits.fan_out} sub-agents")
    if len(family.programs) >= limits.family:
        return refuse(Code.PROGRAM_LIMIT, f"over {limits.family} programs")
    return None


def _check_budget(
    family: Family | None, call: calls.BeginCall, at: float
) -> Decision | None:
    budget = family.budget if family else call.budget
    spent = family.spent.add(call.reserve) if family else call.reserve
    late = family is not None and at - family.created_at >= budget.time_s
    if late or not budget.admits(spent):
        end = None
        if family is not None:
            root = call.key.root
            end = operations.EndedProgram(call.key, root, EndReason.BUDGET_SPENT)
        return Decision(calls.Refused(Code.BUDGET_SPENT.value.number), end)
    if family is not None and not budget.admits(spent.add(family.compute_reserved())):
        return refuse(Code.BUDGET_RESERVED)
    return None


def _begin(
    family: Family | None,
    program: Program | None,
    call: calls.BeginCall,
    number: int,
    at: float,
) -> Decision:
    former = program.find_running_turn() if program and number else None
    operation = operations.BeganCall(
        key=call.key,
        program=call.program,
        request=call.request,
        number=number,
        digest=call.digest,
        reserved=call.reserve,
        owner=call.owner,
        budget=call.budget,
        replaces=former.request if former else None,
    )
    return Decision(_grant(family, program, call, number, at), operation)


def create_tag(operation: operations.BeganCall | calls.BeginCall) -> ProgramTag:
    """Create the tag of a program's life; no other life ever has it."""
    return ProgramTag(f"p-{operation.request}")


def _grant(
    family: Family | None,
    program: Program | None,
    call: calls.BeginCall,
    number: int,
    at: float,
) -> calls.CallGranted:
    tag = program.tag if program else create_tag(call)
    turns = program.turns if program else []
    held = call.held if call.held_tag == tag and call.held <= len(turns) else 0
    budget = family.budget if family else call.budget
    left = budget.time_s - (at - family.created_at if family else 0.0)
    sent = [] if call.tool else [turn.content for turn in turns[held:]]
    return calls.CallGranted(number, tag, held, sent, left)


def decide_finish(family: Family | None, call: calls.FinishTurn) -> Decision:
    """Decide whether a finished turn is added to the history."""
    program = family.programs.get(call.program) if family else None
    if program is None:
        return refuse(Code.CALL_REVOKED)
    if call.request in program.running:
        operation = operations.FinishedTurn(
            call.key,
            call.program,
            call.request,
            call.content,
            call.spend,
            call.endpoint,
        )
        return Decision(calls.Accepted(), operation)
    if program.turns and program.turns[-1].request == call.request:
        return Decision(calls.Accepted())
    return refuse(Code.CALL_REVOKED)


def decide_end_call(family: Family | None, call: calls.EndCall) -> Decision:
    """Decide whether a call is still there to be ended."""
    program = family.programs.get(call.program) if family else None
    if program is None or call.request not in program.running:
        return Decision(calls.Accepted())
    operation = operations.EndedCall(
        call.key, call.program, call.request, call.spend, call.endpoint, call.gone
    )
    return Decision(calls.Accepted(), operation)


def decide_end_program(family: Family | None, call: calls.EndProgram) -> Decision:
    """Decide whether a program is there to be ended."""
    program = family.programs.get(call.program) if family else None
    if program is None:
        return refuse(Code.PROGRAM_UNKNOWN)
    if program.state is ProgramState.ENDED:
        return Decision(calls.Accepted())
    operation = operations.EndedProgram(call.key, call.program, call.reason)
    return Decision(calls.Accepted(), operation)


def decide_read(family: Family | None, call: calls.ReadProgram, at: float) -> Decision:
    """Show where a program stands."""
    program = family.programs.get(call.program) if family else None
    if family is None or program is None:
        return refuse(Code.PROGRAM_UNKNOWN)
    shown = calls.ProgramShown(
        program=program.program,
        state=program.state.value,
        reason=program.reason.value if program.reason else "",
        turn=len(program.turns),
        running=list(program.running),
        children=family.list_children(program.program),
        budget=family.budget,
        spent=family.spent,
        reserved=family.compute_reserved(),
        age_s=at - family.created_at,
        turns=[turn.content for turn in program.turns],
    )
    return Decision(shown)


def find_due_operation(
    family: Family, at: float, limits: Limits
) -> operations.AnyOperation | None:
    """Return the end or removal that time has made due, or None."""
    ended = True
    latest = 0.0
    for program in family.programs.values():
        latest = max(latest, program.active_at)
        if program.state is ProgramState.ENDED:
            continue
        ended = False
        if at - family.created_at >= family.budget.time_s:
            reason = EndReason.BUDGET_SPENT
            return operations.EndedProgram(family.key, family.key.root, reason)
        if program.gone_at is not None and at - program.gone_at >= limits.grace_s:
            reason = EndReason.CALLER_GONE
            return operations.EndedProgram(family.key, program.program, reason)
    if ended and at - latest >= limits.retention_s:
        return operations.ForgotFamily(family.key)
    running = any(program.running for program in family.programs.values())
    if not ended and not running and at - latest >= limits.lease_s:
        reason = EndReason.LAPSED
        return operations.EndedProgram(family.key, family.key.root, reason)
    return None


def apply_began(
    family: Family, operation: operations.BeganCall, at: float
) -> Effect | None:
    """Add a call under way, and its program where it is new."""
    program = family.programs.get(operation.program)
    if program is None:
        tag = create_tag(operation)
        program = Program(operation.program, tag, at)
        family.programs[operation.program] = program
    effect: Effect | None = None
    former = (
        program.running.pop(operation.replaces, None) if operation.replaces else None
    )
    if former is not None:
        family.spent = family.spent.add(former.reserved)
        effect = Revoked(former.request, former.owner)
        _remember(program, former.request)
    program.running[operation.request] = RunningCall(
        operation.request,
        operation.number,
        operation.digest,
        operation.reserved,
        operation.owner,
    )
    program.active_at = at
    program.gone_at = None
    return effect


def apply_finished(
    family: Family, operation: operations.FinishedTurn, at: float
) -> None:
    """Append a turn to the history."""
    program = family.programs.get(operation.program)
    call = program.running.pop(operation.request, None) if program else None
    if program is None or call is None:
        return
    stored = StoredTurn(call.request, call.digest, operation.content)
    program.turns.append(stored)
    program.history_bytes += len(operation.content)
    _remember(program, call.request)
    _settle(family, program, operation.spend, operation.endpoint, at)


def apply_ended_call(
    family: Family, operation: operations.EndedCall, at: float
) -> Effect | None:
    """Remove a call under way and charge what it spent."""
    program = family.programs.get(operation.program)
    call = program.running.pop(operation.request, None) if program else None
    if program is None or call is None:
        return None
    _remember(program, call.request)
    spend = call.reserved if operation.lapsed else operation.spend
    _settle(family, program, spend, operation.endpoint, at)
    if operation.gone or operation.lapsed:
        program.gone_at = at
    return Revoked(call.request, call.owner) if operation.lapsed else None


def _remember(program: Program, request: RequestId) -> None:
    program.recent.append(request)
    del program.recent[:-RECENT_REQUESTS]


def _settle(
    family: Family, program: Program, spend: Spend, endpoint: EndpointId, at: float
) -> None:
    family.spent = family.spent.add(spend)
    program.active_at = at
    if endpoint and endpoint not in program.endpoints:
        program.endpoints.append(endpoint)


def apply_ended_program(
    family: Family, operation: operations.EndedProgram, at: float
) -> list[Effect]:
    """End a program with its sub-agents; running calls are charged whole."""
    effects: list[Effect] = []
    for program in family.list_subtree(operation.program):
        if program.state is ProgramState.ENDED:
            continue
        program.state = ProgramState.ENDED
        program.reason = operation.reason
        program.active_at = at
        for call in program.running.values():
            family.spent = family.spent.add(call.reserved)
            effects.append(Revoked(call.request, call.owner))
            _remember(program, call.request)
        program.running.clear()
        effects.append(ProgramGone(program.tag, tuple(program.endpoints)))
    return effects
