"""Compare the decisions on a program with a simple model, step by step."""

from hypothesis import seed, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from burdockwall.errors import Code, find_code
from burdockwall.process.programs import calls
from burdockwall.process.programs.budget import Budget, Spend
from burdockwall.process.programs.operations import EndReason
from burdockwall.process.programs.program_tree import Limits, create_tree_key
from burdockwall.process.programs.state import ShardState
from burdockwall.types import CustomerId, EndpointId, InstanceId, ProgramId, RequestId

PROGRAM = ProgramId("p")
KEY = create_tree_key(CustomerId("association"), PROGRAM)
OWNER = InstanceId("a0")
TOKENS = 30
RESERVE = 10
# The seed is explicit because Hypothesis otherwise derives it from the source text
# of the class, so that an edit to a comment would change the generated histories.
SEED = int(
    "1026add5a90b40309c243ddc0dd688d44e15e76434c223d3"
    "1be7dffc8ba9d51c5523a0cc7bca569ad3f14e7a290b8537",
    16,
)


@seed(SEED)
class ProgramMachine(RuleBasedStateMachine):
    """The state under test, and a model of a program as plain lists."""

    def __init__(self):
        super().__init__()
        self.state = ShardState(Limits())
        self.sequence = 0
        self.history = []
        self.running = None
        self.spent = 0
        self.ended = False
        self.request_count = 0
        self.abandoned = set()

    def call(self, call):
        decision = self.state.decide(call, 0.0, False)
        if decision.operation is not None:
            self.sequence += 1
            # A duplicated operation changes nothing.
            for _ in range(2):
                self.state.apply(decision.operation, self.sequence, 0.0)
        return decision.answer

    def begin(self, request, number, body):
        return self.call(
            calls.BeginCall(
                KEY,
                PROGRAM,
                RequestId(request),
                number,
                body,
                Spend(RESERVE, 1, 0.0),
                OWNER,
                Budget(tokens=TOKENS),
            )
        )

    def expect(self, number, body):
        next_number = len(self.history) + 1
        if number > next_number:
            return Code.TURN_GAP
        if number < next_number:
            same = self.history[number - 1][0] == body
            return "repeated" if same else Code.TURN_STALE
        if self.running:
            return Code.TURN_RUNNING
        if self.ended:
            return Code.PROGRAM_ENDED
        if self.spent + RESERVE > TOKENS:
            return Code.BUDGET_SPENT
        return "granted"

    @rule(
        offset=st.sampled_from([0, 0, 0, -1, 1, -2]),
        body=st.sampled_from([b"x", b"y"]),
    )
    def begin_turn(self, offset, body):
        number = max(1, len(self.history) + 1 + offset)
        expected = self.expect(number, body)
        self.request_count += 1
        request = f"r{self.request_count}"
        answer = self.begin(request, number, body)
        if isinstance(answer, calls.CallGranted):
            assert expected == "granted", expected
            assert answer.turns == [content for _, content in self.history]
            self.running = (request, body)
        elif isinstance(answer, calls.TurnRepeated):
            assert expected == "repeated", expected
            assert answer.content == self.history[number - 1][1]
        else:
            assert find_code(answer.code) is expected, (answer, expected)
            self.ended = self.ended or (
                expected is Code.BUDGET_SPENT and bool(self.state.trees)
            )

    @rule(tokens=st.integers(0, RESERVE))
    def finish_turn(self, tokens):
        if self.running is None:
            return
        request, body = self.running
        content = f"{request} content".encode()
        spend = Spend(tokens, 1, 0.0)
        finish = calls.FinishTurn(
            KEY, PROGRAM, RequestId(request), content, spend, EndpointId("e")
        )
        for _ in range(2):
            assert isinstance(self.call(finish), calls.Accepted)
        self.history.append((body, content))
        self.spent += tokens
        self.running = None

    @rule(tokens=st.integers(0, RESERVE))
    def abandon_turn(self, tokens):
        if self.running is None:
            return
        request, _ = self.running
        end = calls.EndCall(KEY, PROGRAM, RequestId(request), Spend(tokens, 1, 0.0))
        for _ in range(2):
            assert isinstance(self.call(end), calls.Accepted)
        self.abandoned.add(request)
        self.spent += tokens
        self.running = None

    @rule()
    def repeat_late_begin(self):
        for request in sorted(self.abandoned)[-3:]:
            number = len(self.history) + 1
            answer = self.begin(request, number, b"x")
            assert isinstance(answer, calls.Refused), answer

    @rule()
    def cancel(self):
        answer = self.call(calls.EndProgram(KEY, PROGRAM, EndReason.CANCELLED))
        if not self.state.trees:
            assert answer.code == Code.PROGRAM_UNKNOWN.value.number
            return
        if not self.ended and self.running:
            self.spent += RESERVE
        self.ended, self.running = True, None

    @invariant()
    def check_state(self):
        tree = self.state.trees.get(KEY)
        if tree is None:
            assert not self.history
            return
        program = tree.programs[PROGRAM]
        stored = [turn.content for turn in program.turns]
        assert stored == [content for _, content in self.history]
        assert tree.spent.tokens == self.spent
        reserved = tree.compute_reserved().tokens
        assert tree.spent.tokens + reserved <= TOKENS
        running = [self.running[0]] if self.running else []
        assert list(program.running) == running == list(self.state.running)


def run_model(examples, steps):
    run_state_machine_as_test(
        ProgramMachine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=examples,
            stateful_step_count=steps,
        ),
    )
