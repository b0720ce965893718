"""Decide and apply changes to program trees.

A program tree is the record of a root program and its sub-agents: the order of
their turns, their histories and their shared budget. The `decide_*` functions read
a record and return the answer and the operation to write, if any. The `apply_*`
functions change the record. An operation is applied only once every replica has
it, so all replicas hold the same record. A sub-agent's id is its parent's id, a
slash and a name. `shard_time` is the shard's time in seconds, as
`ShardReplica.read_time` returns it.
"""

from enum import Enum

import msgspec

from burdockwall.errors import Code
from burdockwall.process.programs import calls, operations
from burdockwall.process.programs.budget import Budget, Spend
from burdockwall.process.programs.operations import EndReason, ProgramTreeKey
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
    """Whether a program still accepts calls."""

    ACTIVE = "active"
    ENDED = "ended"


class Limits(msgspec.Struct, frozen=True):
    """Limits of records: counts, bytes of history, and times in seconds.

    A program tree ends after `lease_s` without a call. A program ends `grace_s` after
    its caller disconnected or the owner of its call stopped renewing it. Ended trees
    and unrepeatable requests are removed after `retention_s` and
    `outcome_retention_s`. The owner of a running call must renew it within
    `call_lease_s`.
    """

    depth: int = 8
    fan_out: int = 32
    programs_per_tree: int = 256
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
    """A call in progress; its number is that of the turn, or 0 for a tool call."""

    request: RequestId
    number: int
    digest: bytes
    reserved: Spend
    owner: InstanceId


class StoredTurn(msgspec.Struct, frozen=True, array_like=True):
    """A finished turn: its request, the digest of its body and its content."""

    request: RequestId
    digest: bytes
    content: bytes


class Program(msgspec.Struct, array_like=True):
    """One program of a program tree."""

    program: ProgramId
    tag: ProgramTag
    last_active_at: float
    state: ProgramState = ProgramState.ACTIVE
    reason: EndReason | None = None
    turns: list[StoredTurn] = []
    history_bytes: int = 0
    running: dict[RequestId, RunningCall] = {}
    endpoints: list[EndpointId] = []
    caller_left_at: float | None = None
    # The latest requests whose call has ended: a late duplicate of one must not
    # begin a call.
    ended_requests: list[RequestId] = []

    def find_running_turn(self) -> RunningCall | None:
        """Return the turn in progress, or None."""
        for call in self.running.values():
            if call.number:
                return call
        return None


class ProgramTree(msgspec.Struct, array_like=True):
    """A root program with its sub-agents and their shared budget."""

    key: ProgramTreeKey
    budget: Budget
    created_at: float
    sequence: int = 0
    spent: Spend = Spend()
    programs: dict[ProgramId, Program] = {}

    def compute_reserved(self) -> Spend:
        """Return the sum of the reservations of all calls in progress."""
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


class Revoked(msgspec.Struct, frozen=True):
    """Reports that a running call was ended by someone other than its owner."""

    request: RequestId
    owner: InstanceId


class ProgramEnded(msgspec.Struct, frozen=True):
    """Reports that a program has ended, and which endpoints may cache its history."""

    tag: ProgramTag
    endpoints: tuple[EndpointId, ...]


Effect = Revoked | ProgramEnded


class Decision(msgspec.Struct, frozen=True):
    """The operation to write, if any, and the answer to send once it is written."""

    answer: calls.AnyAnswer
    operation: operations.AnyOperation | None = None


def find_root(program: ProgramId) -> ProgramId:
    """Return the root program of a program's tree."""
    return ProgramId(program.partition("/")[0])


def find_parent(program: ProgramId) -> ProgramId | None:
    """Return the parent of a sub-agent, or None for a root program."""
    parent, _, _ = program.rpartition("/")
    return ProgramId(parent) if parent else None


def create_tree_key(customer: CustomerId, program: ProgramId) -> ProgramTreeKey:
    """Create the key of the program tree that contains a program."""
    return ProgramTreeKey(customer, find_root(program))


def refuse(code: Code, detail: str = "") -> Decision:
    """Decide to refuse with a code."""
    return Decision(calls.Refused(code.value.number, detail))


def decide_begin(
    tree: ProgramTree | None, call: calls.BeginCall, shard_time: float, limits: Limits
) -> Decision:
    """Decide whether a call may begin."""
    program = tree.programs.get(call.program) if tree else None
    if program is not None and call.request in program.running:
        assert tree is not None
        answer = _grant(
            tree, program, call, program.running[call.request].number, shard_time
        )
        return Decision(answer)
    if program is not None and call.request in program.ended_requests:
        return _answer_repeated(program, call.request)
    number, refusal = _check_turn_number(program, call)
    if refusal is not None:
        return refusal
    if program is None:
        refusal = _check_tree_limits(tree, call, limits)
    elif program.state is ProgramState.ENDED:
        reason = program.reason.value if program.reason else ""
        refusal = refuse(Code.PROGRAM_ENDED, f"the program has ended: {reason}")
    elif (
        len(program.turns) >= limits.turns
        or program.history_bytes >= limits.history_bytes
    ):
        refusal = refuse(Code.PROGRAM_LIMIT, "the history has reached its limit")
    if refusal is None:
        refusal = _check_budget(tree, call, shard_time)
    if refusal is not None:
        return refusal
    return _begin(tree, program, call, number, shard_time)


def _answer_repeated(program: Program, request: RequestId) -> Decision:
    for turn in reversed(program.turns):
        if turn.request == request:
            return Decision(calls.TurnRepeated(turn.content))
    return refuse(Code.CALL_REVOKED)


def _check_turn_number(
    program: Program | None, call: calls.BeginCall
) -> tuple[int, Decision | None]:
    if call.tool:
        return 0, None
    next_number = len(program.turns) + 1 if program else 1
    number = call.number or next_number
    detail = f"turn {number}, but {next_number} is next"
    if number > next_number:
        return number, refuse(Code.TURN_GAP, detail)
    if number < next_number:
        assert program is not None
        stored = program.turns[number - 1]
        if stored.digest != call.digest:
            return number, refuse(Code.TURN_STALE, detail)
        return number, Decision(calls.TurnRepeated(stored.content))
    if program and program.find_running_turn() and not call.supersedes:
        return number, refuse(Code.TURN_RUNNING)
    return number, None


def _check_tree_limits(
    tree: ProgramTree | None, call: calls.BeginCall, limits: Limits
) -> Decision | None:
    parent = find_parent(call.program)
    if parent is None:
        return None
    parent_program = tree.programs.get(parent) if tree else None
    if tree is None or parent_program is None:
        return refuse(Code.PROGRAM_UNKNOWN, "the parent program is unknown")
    if parent_program.state is ProgramState.ENDED:
        return refuse(Code.PROGRAM_ENDED, "the parent program has ended")
    if call.program.count("/") > limits.depth:
        return refuse(Code.PROGRAM_LIMIT, f"deeper than {limits.depth}")
    if len(tree.list_children(parent)) >= limits.fan_out:
        return refuse(Code.PROGRAM_LIMIT, f"over {limits.fan_out} sub-agents")
    if len(tree.programs) >= limits.programs_per_tree:
        return refuse(Code.PROGRAM_LIMIT, f"over {limits.programs_per_tree} programs")
    return None


def _check_budget(
    tree: ProgramTree | None, call: calls.BeginCall, shard_time: float
) -> Decision | None:
    budget = tree.budget if tree else call.budget
    spent = tree.spent.add(call.reserve) if tree else call.reserve
    out_of_time = tree is not None and shard_time - tree.created_at >= budget.time_s
    if out_of_time or not budget.admits(spent):
        end = None
        if tree is not None:
            root = call.key.root
            end = operations.EndedProgram(call.key, root, EndReason.BUDGET_SPENT)
        return Decision(calls.Refused(Code.BUDGET_SPENT.value.number), end)
    if tree is not None and not budget.admits(spent.add(tree.compute_reserved())):
        return refuse(Code.BUDGET_RESERVED)
    return None


def _begin(
    tree: ProgramTree | None,
    program: Program | None,
    call: calls.BeginCall,
    number: int,
    shard_time: float,
) -> Decision:
    superseded = program.find_running_turn() if program and number else None
    operation = operations.BeganCall(
        key=call.key,
        program=call.program,
        request=call.request,
        number=number,
        digest=call.digest,
        reserved=call.reserve,
        owner=call.owner,
        budget=call.budget,
        replaces=superseded.request if superseded else None,
    )
    return Decision(_grant(tree, program, call, number, shard_time), operation)


def create_tag(operation: operations.BeganCall | calls.BeginCall) -> ProgramTag:
    """Create the tag of a program from the request that created it.

    A program id may be used again after its record is removed; the tag may not.
    """
    return ProgramTag(f"p-{operation.request}")


def _grant(
    tree: ProgramTree | None,
    program: Program | None,
    call: calls.BeginCall,
    number: int,
    shard_time: float,
) -> calls.CallGranted:
    tag = program.tag if program else create_tag(call)
    turns = program.turns if program else []
    cached = (
        call.cached_turns
        if call.cached_tag == tag and call.cached_turns <= len(turns)
        else 0
    )
    budget = tree.budget if tree else call.budget
    time_left_s = budget.time_s - (shard_time - tree.created_at if tree else 0.0)
    missing_turns = [] if call.tool else [turn.content for turn in turns[cached:]]
    return calls.CallGranted(number, tag, cached, missing_turns, time_left_s)


def decide_finish(tree: ProgramTree | None, call: calls.FinishTurn) -> Decision:
    """Decide whether to add a finished turn to the history."""
    program = tree.programs.get(call.program) if tree else None
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


def decide_end_call(tree: ProgramTree | None, call: calls.EndCall) -> Decision:
    """Decide whether to end a call; a call that is not running needs no change."""
    program = tree.programs.get(call.program) if tree else None
    if program is None or call.request not in program.running:
        return Decision(calls.Accepted())
    operation = operations.EndedCall(
        call.key,
        call.program,
        call.request,
        call.spend,
        call.endpoint,
        call.caller_left,
    )
    return Decision(calls.Accepted(), operation)


def decide_end_program(tree: ProgramTree | None, call: calls.EndProgram) -> Decision:
    """Decide whether to end a program."""
    program = tree.programs.get(call.program) if tree else None
    if program is None:
        return refuse(Code.PROGRAM_UNKNOWN)
    if program.state is ProgramState.ENDED:
        return Decision(calls.Accepted())
    operation = operations.EndedProgram(call.key, call.program, call.reason)
    return Decision(calls.Accepted(), operation)


def decide_read(
    tree: ProgramTree | None, call: calls.ReadProgram, shard_time: float
) -> Decision:
    """Answer with a program's status and history."""
    program = tree.programs.get(call.program) if tree else None
    if tree is None or program is None:
        return refuse(Code.PROGRAM_UNKNOWN)
    status = calls.ProgramStatus(
        program=program.program,
        state=program.state.value,
        reason=program.reason.value if program.reason else "",
        turn=len(program.turns),
        running=list(program.running),
        children=tree.list_children(program.program),
        budget=tree.budget,
        spent=tree.spent,
        reserved=tree.compute_reserved(),
        age_s=shard_time - tree.created_at,
        turns=[turn.content for turn in program.turns],
    )
    return Decision(status)


def find_due_operation(
    tree: ProgramTree, shard_time: float, limits: Limits
) -> operations.AnyOperation | None:
    """Return an operation that is due at this time, or None.

    It ends programs whose time budget, grace time or lease is over, and removes a
    tree whose retention time is over.
    """
    all_ended = True
    last_active_at = 0.0
    for program in tree.programs.values():
        last_active_at = max(last_active_at, program.last_active_at)
        if program.state is ProgramState.ENDED:
            continue
        all_ended = False
        if shard_time - tree.created_at >= tree.budget.time_s:
            reason = EndReason.BUDGET_SPENT
            return operations.EndedProgram(tree.key, tree.key.root, reason)
        if (
            program.caller_left_at is not None
            and shard_time - program.caller_left_at >= limits.grace_s
        ):
            reason = EndReason.CALLER_LEFT
            return operations.EndedProgram(tree.key, program.program, reason)
    if all_ended and shard_time - last_active_at >= limits.retention_s:
        return operations.RemovedProgramTree(tree.key)
    running = any(program.running for program in tree.programs.values())
    if not all_ended and not running and shard_time - last_active_at >= limits.lease_s:
        reason = EndReason.LEASE_EXPIRED
        return operations.EndedProgram(tree.key, tree.key.root, reason)
    return None


def apply_began(
    tree: ProgramTree, operation: operations.BeganCall, shard_time: float
) -> Effect | None:
    """Add a running call, and create its program if it is new."""
    program = tree.programs.get(operation.program)
    if program is None:
        tag = create_tag(operation)
        program = Program(operation.program, tag, shard_time)
        tree.programs[operation.program] = program
    effect: Effect | None = None
    superseded = (
        program.running.pop(operation.replaces, None) if operation.replaces else None
    )
    if superseded is not None:
        tree.spent = tree.spent.add(superseded.reserved)
        effect = Revoked(superseded.request, superseded.owner)
        _add_ended_request(program, superseded.request)
    program.running[operation.request] = RunningCall(
        operation.request,
        operation.number,
        operation.digest,
        operation.reserved,
        operation.owner,
    )
    program.last_active_at = shard_time
    program.caller_left_at = None
    return effect


def apply_finished(
    tree: ProgramTree, operation: operations.FinishedTurn, shard_time: float
) -> None:
    """Append a finished turn to the history and charge what it spent."""
    program = tree.programs.get(operation.program)
    call = program.running.pop(operation.request, None) if program else None
    if program is None or call is None:
        return
    stored = StoredTurn(call.request, call.digest, operation.content)
    program.turns.append(stored)
    program.history_bytes += len(operation.content)
    _add_ended_request(program, call.request)
    _charge(tree, program, operation.spend, operation.endpoint, shard_time)


def apply_ended_call(
    tree: ProgramTree, operation: operations.EndedCall, shard_time: float
) -> Effect | None:
    """Remove a running call and charge what it spent.

    A call that ended because its owner stopped renewing it is charged all that it
    reserved, since its actual spend is unknown.
    """
    program = tree.programs.get(operation.program)
    call = program.running.pop(operation.request, None) if program else None
    if program is None or call is None:
        return None
    _add_ended_request(program, call.request)
    spend = call.reserved if operation.lease_expired else operation.spend
    _charge(tree, program, spend, operation.endpoint, shard_time)
    if operation.caller_left or operation.lease_expired:
        program.caller_left_at = shard_time
    return Revoked(call.request, call.owner) if operation.lease_expired else None


def _add_ended_request(program: Program, request: RequestId) -> None:
    program.ended_requests.append(request)
    del program.ended_requests[:-RECENT_REQUESTS]


def _charge(
    tree: ProgramTree,
    program: Program,
    spend: Spend,
    endpoint: EndpointId,
    shard_time: float,
) -> None:
    tree.spent = tree.spent.add(spend)
    program.last_active_at = shard_time
    if endpoint and endpoint not in program.endpoints:
        program.endpoints.append(endpoint)


def apply_ended_program(
    tree: ProgramTree, operation: operations.EndedProgram, shard_time: float
) -> list[Effect]:
    """End a program and its sub-agents; charge running calls all they reserved."""
    effects: list[Effect] = []
    for program in tree.list_subtree(operation.program):
        if program.state is ProgramState.ENDED:
            continue
        program.state = ProgramState.ENDED
        program.reason = operation.reason
        program.last_active_at = shard_time
        for call in program.running.values():
            tree.spent = tree.spent.add(call.reserved)
            effects.append(Revoked(call.request, call.owner))
            _add_ended_request(program, call.request)
        program.running.clear()
        effects.append(ProgramEnded(program.tag, tuple(program.endpoints)))
    return effects
