"""Begin, finish and end the calls of programs on behalf of requests."""

import uuid
from collections.abc import Callable

import msgspec

from burdockwall.errors import Code, RequestRefused
from burdockwall.process.programs import calls
from burdockwall.process.programs.budget import Budget, Spend
from burdockwall.process.programs.client import (
    RecordClient,
    find_shard,
    raise_refusal,
)
from burdockwall.process.programs.history import (
    HistoryCache,
    TurnContent,
    build_prompt,
    decode_turn,
    encode_turn,
)
from burdockwall.process.programs.operations import EndReason, ProgramTreeKey
from burdockwall.process.programs.program_tree import create_tree_key
from burdockwall.process.programs.unrepeatable import NoAnswerError
from burdockwall.request.completion import ChatMessage
from burdockwall.types import (
    CustomerId,
    EndpointId,
    ProgramId,
    ProgramTag,
    RequestId,
)

UNAVAILABLE_RETRY_S = 1.0


class TurnSpec(msgspec.Struct, frozen=True):
    """The turn that a caller asks for."""

    customer: CustomerId
    program: ProgramId
    number: int | None
    digest: bytes
    messages: list[ChatMessage]
    reserve: Spend
    budget: Budget
    supersedes: bool = False


class Turn(msgspec.Struct, frozen=True):
    """A granted turn, or a tool call with number 0.

    A turn without a key belongs to no program.
    """

    customer: CustomerId
    program: ProgramId
    number: int
    request: RequestId
    tag: ProgramTag
    messages: list[ChatMessage]
    prompt: list[ChatMessage]
    history: list[bytes]
    reserve: Spend
    key: ProgramTreeKey | None = None


class RepeatedTurn(msgspec.Struct, frozen=True):
    """The stored answer to a turn that has finished."""

    customer: CustomerId
    program: ProgramId
    number: int
    answer: str


class Programs:
    """Begins and ends turns and tool calls in the records of programs."""

    def __init__(self, client: RecordClient, cache_bytes: int) -> None:
        self.client = client
        self.cache = HistoryCache(cache_bytes)

    def create_standalone_turn(self, spec: TurnSpec) -> Turn:
        """Create a turn that belongs to no program and leaves no record."""
        request = RequestId(f"single-{uuid.uuid4().hex}")
        return Turn(
            customer=spec.customer,
            program=ProgramId(request),
            number=1,
            request=request,
            tag=ProgramTag(""),
            messages=spec.messages,
            prompt=spec.messages,
            history=[],
            reserve=spec.reserve,
        )

    async def begin_turn(self, spec: TurnSpec) -> Turn | RepeatedTurn:
        """Begin the next turn of a program, or raise RequestRefused."""
        key = create_tree_key(spec.customer, spec.program)
        request = self._create_request(key)
        tag, cached = self.cache.find(spec.customer, spec.program)
        begin = calls.BeginCall(
            key=key,
            program=spec.program,
            request=request,
            number=spec.number,
            digest=spec.digest,
            reserve=spec.reserve,
            owner=self.client.instance,
            budget=spec.budget,
            supersedes=spec.supersedes,
            cached_turns=len(cached),
            cached_tag=tag,
        )
        answer = await self._ask(key, begin)
        if isinstance(answer, calls.TurnRepeated):
            content = decode_turn(answer.content)
            number = spec.number or 0
            return RepeatedTurn(spec.customer, spec.program, number, content.answer)
        assert isinstance(answer, calls.CallGranted)
        history = [*cached[: answer.cached_turns], *answer.turns]
        return Turn(
            customer=spec.customer,
            program=spec.program,
            number=answer.number,
            request=request,
            tag=answer.tag,
            messages=spec.messages,
            prompt=build_prompt(history, spec.messages),
            history=history,
            reserve=spec.reserve,
            key=key,
        )

    def _create_request(self, key: ProgramTreeKey) -> RequestId:
        # A sweep reads from the id which shard to ask about the request.
        return RequestId(f"{find_shard(key)}.{uuid.uuid4().hex}")

    async def _ask(self, key: ProgramTreeKey, call: calls.AnyCall) -> calls.AnyAnswer:
        try:
            answer = await self.client.ask_record(key, call)
        except NoAnswerError as error:
            raise RequestRefused(
                Code.RECORDS_UNAVAILABLE, retry_after_s=UNAVAILABLE_RETRY_S
            ) from error
        raise_refusal(answer)
        return answer

    def start_renewing(self, turn: Turn, revoke: Callable[[], None]) -> None:
        """Renew a turn until it is stopped.

        `revoke` is called if the turn is ended in its record.
        """
        if turn.key is not None:
            self.client.start_renewing(turn.request, turn.key, revoke)

    def stop_renewing(self, turn: Turn) -> None:
        """Stop renewing a turn."""
        if turn.key is not None:
            self.client.stop_renewing(turn.request)

    async def finish_turn(
        self, turn: Turn, answer: str, tokens: int, endpoint: EndpointId
    ) -> None:
        """Store a finished turn on every replica, or raise RequestRefused."""
        if turn.key is None:
            return
        # A renewal in flight may reach the record after the turn is finished there.
        # Its answer must not revoke the turn, so no callback is set from here on.
        self.client.start_renewing(turn.request, turn.key)
        content = encode_turn(TurnContent(turn.messages, answer, tokens))
        spend = Spend(tokens, 1, turn.reserve.cost)
        finish = calls.FinishTurn(
            turn.key, turn.program, turn.request, content, spend, endpoint
        )
        try:
            stored = await self.client.ask_record(turn.key, finish)
        except NoAnswerError as error:
            raise RequestRefused(Code.TURN_NOT_STORED) from error
        raise_refusal(stored)
        history = [*turn.history, content]
        self.cache.put(turn.customer, turn.program, turn.tag, history)

    async def abandon_turn(
        self, turn: Turn, tokens: int, endpoint: EndpointId, caller_left: bool
    ) -> None:
        """End a turn without an answer.

        `caller_left` is set if the caller disconnected.
        """
        if turn.key is None:
            return
        spend = Spend(
            tokens, 1 if endpoint else 0, turn.reserve.cost if endpoint else 0
        )
        end = calls.EndCall(
            turn.key, turn.program, turn.request, spend, endpoint, caller_left
        )
        try:
            await self.client.ask_record(turn.key, end)
        except NoAnswerError:
            # The call's lease expires, and the shard's primary ends it.
            return

    async def begin_tool(
        self,
        customer: CustomerId,
        program: ProgramId,
        reserve: Spend,
        budget: Budget,
    ) -> Turn:
        """Reserve a tool call in its program's budget, or raise RequestRefused."""
        key = create_tree_key(customer, program)
        request = self._create_request(key)
        begin = calls.BeginCall(
            key=key,
            program=program,
            request=request,
            number=None,
            digest=b"",
            reserve=reserve,
            owner=self.client.instance,
            budget=budget,
            tool=True,
        )
        answer = await self._ask(key, begin)
        assert isinstance(answer, calls.CallGranted)
        tag = answer.tag
        return Turn(customer, program, 0, request, tag, [], [], [], reserve, key)

    async def end_tool(self, tool: Turn) -> None:
        """End a tool call, and charge what was reserved for it."""
        assert tool.key is not None
        end = calls.EndCall(tool.key, tool.program, tool.request, tool.reserve)
        try:
            await self.client.ask_record(tool.key, end)
        except NoAnswerError:
            # The call's lease expires, and the shard's primary ends it.
            return

    async def end_program(
        self, customer: CustomerId, program: ProgramId, reason: EndReason
    ) -> None:
        """End a program with its sub-agents, or raise RequestRefused."""
        key = create_tree_key(customer, program)
        await self._ask(key, calls.EndProgram(key, program, reason))

    async def supersede(self, customer: CustomerId, program: ProgramId) -> None:
        """End a program that a newer request supersedes, if the program exists."""
        try:
            await self.end_program(customer, program, EndReason.SUPERSEDED)
        except RequestRefused as error:
            if error.code is not Code.PROGRAM_UNKNOWN:
                raise

    async def read_program(
        self, customer: CustomerId, program: ProgramId
    ) -> calls.ProgramStatus:
        """Return a program's status and history, or raise RequestRefused."""
        key = create_tree_key(customer, program)
        answer = await self._ask(key, calls.ReadProgram(key, program))
        assert isinstance(answer, calls.ProgramStatus)
        return answer
