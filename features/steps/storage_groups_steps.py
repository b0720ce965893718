from behave import given, then, when
from msgspec.structs import replace

from burdockwall.process.storage.calls import AskBegin, TurnOutcome
from burdockwall.process.storage.messages import StreamPlace
from burdockwall.process.storage.records import RecordKey, RecordKind
from burdockwall.process.storage.writers import choose_writers
from burdockwall.types import (
    CallId,
    ProgramId,
    ServiceName,
    SoftwareVersion,
    TurnId,
)
from features.steps.storage_steps import step_chain
from features.subjects.storage import CUSTOMER, FRONT, is_admitted
from features.subjects.storage_faults import FaultSubject, GroupedStorage
from features.subjects.storage_groups import (
    UNSAFE_GROUPS,
    CountedEnds,
    FiveStores,
    PlannedFleet,
)

ORDINALS = {"first": 0, "third": 2}


@then("{count:d} stores hold records of turns")
def step_holders(context, count):
    context.storage.run(2.0)
    holders = [
        name
        for name, parts in context.storage.stores.items()
        if parts.ledger.stored_bytes
    ]
    assert len(holders) == count, holders


@then('each of {count:d} other programs gets the chain "{chain}" after "{turn}"')
def step_each_program(context, count, chain, turn):
    for number in range(count):
        step_chain(context, f"next-{number}", f"other-{number}", turn, chain)


@then("to begin a turn with a place and a stream to take up takes {count:d} messages")
def step_place_messages(context, count):
    storage = context.storage
    place = StreamPlace(ServiceName("s"), SoftwareVersion("v1"))
    start = replace(storage.describe("z", "p"), place=place, resumes=TurnId("a"))
    actions = storage.callers[FRONT].handle(AskBegin(CallId(0), start), 0.0)
    assert len(actions) == count, actions


def find_group(context, program):
    view = context.storage.view
    return view.select_group(view.find_group(CUSTOMER, ProgramId(program)))


@when('the stores of the group of program "{program}" are cut off')
def step_cut_group(context, program):
    for name in find_group(context, program).instances:
        context.storage.network.isolate(name)


@then(
    'turn "{turn}" after "{previous}" of a program of the other group gets no verdict'
)
def step_no_verdict(context, turn, previous):
    own = find_group(context, "p")
    program = next(
        name
        for name in map(str, range(100))
        if find_group(context, name).instances != own.instances
    )
    start = context.storage.describe(turn, program, previous)
    assert context.storage.begin(start) is None


@when('the first store of the group of program "{program}" is emptied')
def step_empty(context, program):
    context.emptied = find_group(context, program).instances[0]
    context.storage.empty(context.emptied)


@given(
    "{stores:d} stores in {domains:d} failure domains of a fleet that tolerates "
    "{losses:d} losses"
)
def step_fleet(context, stores, domains, losses):
    context.fleet = PlannedFleet(stores, domains, losses)


@given(
    "{stores:d} stores that come {gap_s:f} s apart to a fleet that tolerates 2 losses"
)
def step_coming(context, stores, gap_s):
    context.fleet = PlannedFleet(stores, 5, 2, gap_s)


@then(
    "the first view has {groups:d} groups of {stores:d} stores, each in {domains:d} "
    "failure domains"
)
@then(
    "the first view has {groups:d} group of {stores:d} stores, each in {domains:d} "
    "failure domains"
)
def step_first_view(context, groups, stores, domains):
    fleet = context.fleet
    assert fleet.view.number == 1 and fleet.view.groups == groups, fleet.view
    for group in range(groups):
        assert len(fleet.view.select_group(group).members) == stores
        assert fleet.count_domains(group) == domains


@then("the last store of a group may be emptied only if {least:d} of it remain")
def step_remaining(context, least):
    first = context.fleet.view.select_group(0).instances[0]
    assert context.fleet.count_remaining(first) == least


@then("without any one failure domain a quorum of each group is left")
def step_domain_lost(context):
    fleet = context.fleet
    for group in range(fleet.view.groups):
        view = fleet.view.select_group(group)
        for domain in range(fleet.domains):
            left = fleet.count_outside(view, domain)
            assert left >= max(view.write_quorum, view.read_quorum), (domain, view)


@when("a store of the {ordinal} group is away for {seconds:g} s")
def step_away(context, ordinal, seconds):
    context.fleet.interrupt_store(ORDINALS[ordinal], seconds)


@when("a store of the {ordinal} group is to be emptied")
def step_empty_member(context, ordinal):
    context.emptied = context.fleet.empty_store(ORDINALS[ordinal])


@then("the {ordinal} group has {count:d} stores")
def step_group_size(context, ordinal, count):
    members = context.fleet.view.select_group(ORDINALS[ordinal]).members
    assert len(members) == count, members


@then("it is no longer in the view, and the {ordinal} group has {count:d} stores")
def step_emptied(context, ordinal, count):
    assert context.fleet.view.find(context.emptied) is None
    step_group_size(context, ordinal, count)


@when("a store of the {ordinal} group is gone and a new store comes")
def step_replace(context, ordinal):
    context.added = context.fleet.replace_store(ORDINALS[ordinal])


@then("the new store is in the {ordinal} group")
def step_new_store(context, ordinal):
    member = context.fleet.view.find(context.added)
    assert member is not None and member.group == ORDINALS[ordinal], member


@then("the view changes one store at a time")
def step_one_at_a_time(context):
    views = context.fleet.views
    for earlier, later in zip(views, views[1:], strict=False):
        assert len(set(earlier.members) ^ set(later.members)) == 1


@when("stores in groups run through drawn faults for {count:d} seeds from {first:d}")
def step_faults(context, count, first):
    context.subject = FaultSubject(GroupedStorage)
    context.subject.run_seeds(first, count)


@given("stores in groups without {protection}")
def step_without(context, protection):
    context.network_class = UNSAFE_GROUPS[protection]


def send_end(context, turn, program, size):
    storage = context.storage
    start = storage.describe(turn, program)
    assert is_admitted(storage.begin(start))
    context.sends = CountedEnds(storage.callers[FRONT])
    context.end = storage.ask_end(start, TurnOutcome(1, True, b"x" * size, b"y"))


@when('turn "{turn}" starts program "{program}" and its end of {size:d} bytes is sent')
def step_send_end(context, turn, program, size):
    send_end(context, turn, program, size)


@then("{count:d} stores were sent the end")
def step_sent_end(context, count):
    assert len(context.sends.counts) == count, context.sends.counts


@then('all {count:d} stores hold turn "{turn}" within {limit_s:d} s')
def step_all_hold(context, count, turn, limit_s):
    key = RecordKey(RecordKind.SETTLED, CUSTOMER, TurnId(turn))
    stores = context.storage.stores.values()

    def do_all_hold():
        return sum(parts.ledger.holds(key) for parts in stores) == count

    assert context.storage.run_until(do_all_hold, limit_s)


@when("every store is cut off, and {seconds:d} s pass")
def step_cut_all(context, seconds):
    for name in context.storage.stores:
        context.storage.network.isolate(name)
    context.storage.run(seconds)


@then("the end was sent again at most {most:d} times to each store")
def step_repeated(context, most):
    assert 1 <= max(context.sends.counts.values()) - 1 <= most, context.sends.counts


@when('{count:d} stores that are sent the end of turn "{turn}" first are cut off')
def step_cut_first(context, count, turn):
    view = context.storage.view
    writers = choose_writers(view, TurnId(turn), view.instances[0])
    context.cut = writers[:count]


@then('turn "{turn}" of program "{program}" is stored within {limit_s:f} s')
def step_stored_soon(context, turn, program, limit_s):
    storage = context.storage
    start = storage.describe(turn, program)
    assert is_admitted(storage.begin(start))
    for name in context.cut:
        storage.network.isolate(name)
    call = storage.ask_end(start, TurnOutcome(1, True, b"x", b"y"))
    assert storage.run_until(lambda: call in storage.decisions.ends, limit_s)


@when("five stores run through drawn faults for {count:d} seeds from {first:d}")
def step_five_faults(context, count, first):
    context.subject = FaultSubject(FiveStores)
    context.subject.run_seeds(first, count)
