import msgspec
from behave import given, then, when
from msgspec.structs import replace

from burdockwall.fakes.files import FakeFiles
from burdockwall.machine import Message, Receive
from burdockwall.process.storage.calls import TurnOutcome
from burdockwall.process.storage.messages import AskIndex, BeginTurn, StreamPlace
from burdockwall.process.storage.quorum import Verdict
from burdockwall.process.storage.records import RecordKey, RecordKind
from burdockwall.process.storage.view import StoreMember, StoreView
from burdockwall.types import (
    CallId,
    CustomerId,
    Incarnation,
    ProgramId,
    ServiceName,
    SoftwareVersion,
    TurnId,
)
from features.subjects.chain_sources import STORES, ChainSources
from features.subjects.storage import (
    CUSTOMER,
    StorageNetwork,
    is_admitted,
    name_store,
    read_chain,
)
from features.subjects.storage_faults import UNSAFE, FaultSubject
from features.subjects.stream_place_faults import PlaceFaults

COUNTS = {"three": 3, "four": 4}
STREAM_S = 6.0


@given("a ledger on {count:d} stores in {groups:d} groups")
def step_groups(context, count, groups):
    context.storage = StorageNetwork(stores=count, groups=groups)
    context.storage.run(0.5)


@given("a ledger on {count} stores")
def step_stores(context, count):
    context.storage = StorageNetwork(stores=COUNTS[count])
    context.storage.run(0.5)


def run_turn(context, turn, program, previous, asked, answered):
    storage = context.storage
    start = storage.describe(turn, program, previous)
    assert is_admitted(storage.begin(start))
    outcome = TurnOutcome(1, True, asked.encode(), answered.encode())
    assert storage.end(start, outcome)


@when(
    'turn "{turn}" starts program "{program}", asks "{asked}" and answers "{answered}"'
)
def step_turn(context, turn, program, asked, answered):
    run_turn(context, turn, program, None, asked, answered)


@when(
    'turn "{turn}" continues "{previous}" of program "{program}", asks "{asked}" and '
    'answers "{answered}"'
)
def step_next_turn(context, turn, program, previous, asked, answered):
    run_turn(context, turn, program, previous, asked, answered)


@when(
    'only stores 1 and 2 store turn "{turn}" of program "{program}", which asks '
    '"{asked}" and answers "{answered}"'
)
def step_turn_at_two(context, turn, program, asked, answered):
    network = context.storage.network
    network.isolate(name_store(3))
    run_turn(context, turn, program, None, asked, answered)
    network.heal()


@then(
    'turn "{turn}" after "{previous}" of program "{program}" gets the chain "{chain}"'
)
def step_chain(context, turn, program, previous, chain):
    start = context.storage.describe(turn, program, previous)
    decided = context.storage.begin(start)
    assert is_admitted(decided), decided
    assert read_chain(decided) == chain, read_chain(decided)


@then(
    'within {limit_s:f} s turn "{turn}" after "{previous}" of program "{program}" gets '
    'the chain "{chain}"'
)
def step_chain_soon(context, turn, program, previous, chain, limit_s):
    start = context.storage.describe(turn, program, previous)
    decided = context.storage.begin(start, limit_s)
    assert is_admitted(decided), decided
    assert read_chain(decided) == chain, read_chain(decided)


def check_unknown(context, start):
    decided = context.storage.begin(start)
    assert decided is not None and decided.verdict is Verdict.TURN_UNKNOWN, decided


@then('turn "{turn}" after "{previous}" of program "{program}" is refused as unknown')
def step_unknown(context, turn, program, previous):
    check_unknown(context, context.storage.describe(turn, program, previous))


@then('turn "{turn}" after "{previous}" is refused as unknown to another customer')
def step_foreign(context, turn, previous):
    start = context.storage.describe(
        turn, "p", previous, customer=CustomerId("another")
    )
    check_unknown(context, start)


@then('turn "{turn}" after "{previous}" of program "{program}" gets no verdict')
def step_no_verdict(context, turn, program, previous):
    start = context.storage.describe(turn, program, previous)
    assert context.storage.begin(start) is None


@when('turn "{turn}" of program "{program}" uses {tokens:d} tokens')
def step_use(context, turn, program, tokens):
    start = context.storage.describe(turn, program, tokens=tokens + 10)
    assert is_admitted(context.storage.begin(start))
    assert context.storage.end(start, TurnOutcome(tokens, True))


def begin_within(context, turn, program, tokens, budget):
    start = context.storage.describe(turn, program, None, tokens, budget)
    return context.storage.begin(start)


@when(
    'turn "{turn}" of program "{program}" begins with {tokens:d} of {budget:d} tokens'
)
def step_begin_within(context, turn, program, tokens, budget):
    assert is_admitted(begin_within(context, turn, program, tokens, budget))


@then(
    'turn "{turn}" of program "{program}" with {tokens:d} of {budget:d} tokens begins'
)
def step_begins_within(context, turn, program, tokens, budget):
    assert is_admitted(begin_within(context, turn, program, tokens, budget))


@then(
    'turn "{turn}" of program "{program}" with {tokens:d} of {budget:d} tokens is '
    "refused as over the budget"
)
def step_over_budget(context, turn, program, tokens, budget):
    decided = begin_within(context, turn, program, tokens, budget)
    assert decided is not None and decided.verdict is Verdict.BUDGET_SPENT, decided
    start = context.storage.describe(turn, program, None, tokens, budget)
    assert context.storage.end(start, TurnOutcome(0, False))


@when('turn "{turn}" of program "{program}" ends without a token')
def step_end_unused(context, turn, program):
    start = context.storage.describe(turn, program)
    assert context.storage.end(start, TurnOutcome(0, False))


@when("store {number:d} is cut off")
def step_cut(context, number):
    context.storage.network.isolate(name_store(number))


@when("store {number:d} is back")
def step_back(context, number):
    context.storage.network.heal()


@when("store {number:d} loses its disk and starts again")
def step_wipe(context, number):
    context.storage.wipe(name_store(number))


@when(
    "late indexes of stores {first:d} and {second:d} for its former incarnation arrive"
)
def step_late_indexes(context, first, second):
    storage = context.storage
    asker = name_store(1)
    copier = storage.stores[asker].copier
    former = Incarnation(copier.ledger.incarnation - 1)
    for number in (first, second):
        ledger = storage.stores[name_store(number)].ledger
        ask = Receive(asker, AskIndex(ledger.incarnation, 0))
        answers = ledger.handle(ask, storage.network.now + 1.0)
        index = replace(answers[-1].message, keys=[], asker=former)
        storage.network.apply(asker, copier, Receive(name_store(number), index))


@then('store {number:d} holds turn "{turn}"')
def step_holds(context, number, turn):
    key = RecordKey(RecordKind.SETTLED, CUSTOMER, TurnId(turn))
    assert context.storage.stores[name_store(number)].ledger.holds(key)


@when("each store loses its disk, {gap_s:f} s apart")
def step_wipe_all(context, gap_s):
    for name in list(context.storage.stores):
        context.storage.wipe(name)
        context.storage.run(gap_s)


@then("store {number:d} is complete within {limit_s:f} s")
def step_complete(context, number, limit_s):
    name = name_store(number)

    def is_complete():
        return context.storage.stores[name].ledger.state.complete

    assert context.storage.run_until(is_complete, limit_s)


@when("store {number:d} is emptied")
def step_empty(context, number):
    context.emptied = name_store(number)
    context.storage.empty(context.emptied)


@then("the store is empty within {limit_s:d} s")
def step_emptied(context, limit_s):
    assert context.storage.run_until_empty(context.emptied, limit_s)


@when("store {number:d} is gone")
def step_gone(context, number):
    context.storage.network.crash(name_store(number))


@given("stores without {protection}")
def step_unsafe(context, protection):
    context.network_class = UNSAFE[protection]


@when("stores run through drawn faults for {count:d} seeds from {first:d}")
def step_faults(context, count, first):
    context.subject = FaultSubject()
    context.subject.run_seeds(first, count)


@when(
    "stores run through drawn faults for {count:d} seeds from {first:d}, until one "
    "breaks"
)
def step_unsafe_faults(context, count, first):
    context.subject = FaultSubject(context.network_class)
    context.subject.run_seeds(first, count, stop_at_violation=True)


@then("no turn was lost, no chain was wrong and no budget was exceeded")
def step_hold(context):
    subject = context.subject
    print(f"{subject.runs} runs, {subject.stored} turns stored")
    assert subject.runs and subject.stored
    assert not subject.violations, subject.violations


@then("some turn was lost or some budget was exceeded")
def step_broken(context):
    print(f"violations: {context.subject.violations}")
    assert context.subject.violations, f"none in {context.subject.runs} runs"


# The places of streams.


def begin_stream(context, turn, version, attempt):
    start = context.storage.describe(turn, "p")
    place = StreamPlace(ServiceName("s"), SoftwareVersion(version), attempt)
    assert is_admitted(context.storage.begin(replace(start, place=place)))


@when('turn "{turn}" begins with its stream at "{version}"')
def step_begin_stream(context, turn, version):
    begin_stream(context, turn, version, 0)


@when('turn "{turn}" moves its stream to "{version}"')
def step_move_stream(context, turn, version):
    begin_stream(context, turn, version, 1)


def find_place(context, turn, begun_by, customer=CUSTOMER):
    start = context.storage.describe(turn, "p", customer=customer)
    decided = context.storage.begin(
        replace(start, resumes=TurnId(begun_by), stream_s=STREAM_S)
    )
    assert is_admitted(decided), decided
    return decided.place


@then('turn "{turn}" that takes up the stream of "{begun_by}" finds it at "{version}"')
def step_find_place(context, turn, begun_by, version):
    place = find_place(context, turn, begun_by)
    assert place is not None and place.software == version, place


@given("a fourth store that is no member yet")
def step_fourth_store(context):
    storage = context.storage
    storage.start_store(name_store(4), FakeFiles(storage.random), first=False)


@when("{seconds:d} s have passed")
def step_pass(context, seconds):
    context.storage.run(seconds)


@when("store {new:d} takes the place of store {old:d}")
def step_replace_store(context, new, old):
    storage = context.storage
    number = storage.view.number + 1
    members = tuple(
        member for member in storage.view.members if member.instance != name_store(old)
    )
    joined = StoreMember(name_store(new), number)
    storage.install_view(StoreView(number, (*members, joined)))
    # Until the new store has copied what the others hold.
    storage.run(2.0)


@then('turn "{turn}" of another customer finds no stream of "{begun_by}"')
def step_find_foreign(context, turn, begun_by):
    assert find_place(context, turn, begun_by, CustomerId("another")) is None


@then('turn "{turn}" finds no stream of "{begun_by}" after {seconds:d} s')
def step_find_expired(context, turn, begun_by, seconds):
    context.storage.run(seconds)
    assert find_place(context, turn, begun_by) is None


@then("no store holds a place")
def step_no_places(context):
    for parts in context.storage.stores.values():
        assert len(parts.ledger.stream_places) == 0


# Mixed builds.


class EarlierBeginTurn(Message, frozen=True, tag="BeginTurn"):
    """The reservation as builds without places define it."""

    call: CallId
    incarnation: Incarnation
    customer: CustomerId
    program: ProgramId
    turn: TurnId
    tokens: int
    retention_ms: int
    previous: TurnId | None = None
    sends_chain: bool = False


@given("a reservation with a place and a stream to take up")
def step_reservation(context):
    context.reservation = BeginTurn(
        CallId(1),
        Incarnation(2),
        CUSTOMER,
        ProgramId("p"),
        TurnId("b"),
        10,
        60_000,
        place=StreamPlace(ServiceName("s"), SoftwareVersion("v1")),
        resumes=TurnId("a"),
        prompt_bytes=100,
    )


@then("an earlier build reads it without them")
def step_read_earlier(context):
    data = msgspec.msgpack.encode(context.reservation)
    read = msgspec.msgpack.decode(data, type=EarlierBeginTurn)
    assert (read.turn, read.sends_chain) == (TurnId("b"), False), read


@then("a reservation of an earlier build is read as one without them")
def step_read_later(context):
    values = msgspec.structs.asdict(context.reservation)
    del values["place"], values["resumes"], values["prompt_bytes"]
    data = msgspec.msgpack.encode(EarlierBeginTurn(**values))
    read = msgspec.msgpack.decode(data, type=BeginTurn)
    expected = replace(context.reservation, place=None, resumes=None, prompt_bytes=0)
    assert read == expected, read


@when("{seeds:d} seeds begin streams, and stores fail before they are taken up")
def step_place_faults(context, seeds):
    context.place_counts = [PlaceFaults(seed).run() for seed in range(1, seeds + 1)]


@then("no place is wrong, and at least {share:f} of the places are found")
def step_places_found(context, share):
    counts = context.place_counts
    wrong = [seed for seed, each in enumerate(counts, 1) if each.wrong]
    assert wrong == [], wrong
    found = sum(each.found for each in counts)
    every = found + sum(each.unknown + each.unanswered for each in counts)
    assert found >= share * every, (found, every)


@then('the stores know {known} answered turn of program "{program}"')
def step_answered(context, known, program):
    decided = context.storage.begin(context.storage.describe("asks", program))
    assert is_admitted(decided) and decided.answered is (known == "an")


@when('turn "{turn}" of program "{program}" breaks off after {tokens:d} tokens')
def step_break_off(context, turn, program, tokens):
    start = context.storage.describe(turn, program)
    assert is_admitted(context.storage.begin(start))
    assert context.storage.end(start, TurnOutcome(tokens, False))


@given("a turn that begins at three stores, the nearest of which is silent")
def step_silent_nearest(context):
    context.sources = ChainSources()


@when("the other two have answered that they have its chain")
def step_others_answer(context):
    context.begun = [context.sources.answer(store) for store in STORES[1:]]


@then("the turn has not begun")
def step_not_begun(context):
    assert not any(context.begun)


@when("the chain is overdue")
def step_overdue(context):
    context.asked = context.sources.wait()


@then("one of the two is asked for the chain, once")
def step_one_asked(context):
    assert len(context.asked) == 1 and context.asked[0] in STORES[1:], context.asked


@then("the turn begins with its answer")
def step_begins(context):
    assert context.sources.answer(context.asked[0], with_chain=True)
