"""Keep the record of each program: its order, history and budget."""

from dataclasses import dataclass, field

from burdockwall.errors import Code, RequestRefused
from burdockwall.request.completion import ChatMessage
from burdockwall.types import CustomerId, ProgramId


@dataclass(slots=True)
class ProgramRecord:
    """Hold one program of one customer."""

    customer: CustomerId
    program: ProgramId
    turn: int = 0
    running: bool = False
    history: list[ChatMessage] = field(default_factory=list)
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class Turn:
    """Grant one turn of a program: its number and the whole prompt."""

    customer: CustomerId
    program: ProgramId
    number: int
    prompt: list[ChatMessage]


class ProgramTable:
    """Hold the programs of this instance by customer and id."""

    def __init__(self) -> None:
        self._records: dict[tuple[CustomerId, ProgramId], ProgramRecord] = {}

    def begin_turn(
        self,
        customer: CustomerId,
        program: ProgramId,
        number: int | None,
        messages: list[ChatMessage],
    ) -> Turn:
        """Begin the next turn of a program, or raise RequestRefused."""
        key = (customer, program)
        record = self._records.setdefault(key, ProgramRecord(customer, program))
        due = record.turn + 1
        if record.running:
            raise RequestRefused(Code.TURN_RUNNING, retry_after_s=1.0)
        if number is not None and number < due:
            raise RequestRefused(Code.TURN_STALE, f"turn {number}, but {due} is next")
        if number is not None and number > due:
            raise RequestRefused(Code.TURN_GAP, f"turn {number}, but {due} is next")
        record.running = True
        return Turn(customer, program, due, [*record.history, *messages])

    def finish_turn(self, turn: Turn, answer: str, tokens: int) -> None:
        """Add a finished turn to its program's history."""
        record = self._records[(turn.customer, turn.program)]
        record.turn = turn.number
        record.history = [*turn.prompt, ChatMessage("assistant", answer)]
        record.tokens += tokens
        record.running = False

    def abandon_turn(self, turn: Turn) -> None:
        """Give up a turn; the program stays where it was."""
        self._records[(turn.customer, turn.program)].running = False

    def find(self, customer: CustomerId, program: ProgramId) -> ProgramRecord:
        """Return a customer's program, or raise RequestRefused."""
        record = self._records.get((customer, program))
        if record is None:
            raise RequestRefused(Code.PROGRAM_UNKNOWN)
        return record
