from behave import given, then, when

from features.subjects.programs_faults import FaultRuns
from features.subjects.programs_protections import OPTIONS, PROTECTIONS


@given("fault runs of program records from seed {low:d} to {high:d}")
def step_run_seeds(context, low, high):
    context.subject = FaultRuns(low, high)
    context.subject.run()


@then("the fault runs of program records count no broken promise")
def step_check_none(context):
    assert not context.subject.broken, "\n".join(context.subject.broken)


@then("the fault runs of program records met crashes, unknown and true outcomes")
def step_check_met(context):
    runs = context.subject
    assert runs.crashes > runs.count, runs.crashes
    assert runs.booked > runs.count, runs.booked
    assert runs.unknown, "no outcome became unknown"
    assert runs.not_run, "no refusal said 'not run'"


@given('the protection "{name}" of program records is off')
def step_take_away(context, name):
    context.protection = PROTECTIONS[name]
    context.options = OPTIONS.get(name, {})


@when("fault runs of program records start from seed {low:d}")
def step_note_start(context, low):
    context.low = low


@then("a check of program records fails within {count:d} seeds")
def step_check_fails(context, count):
    runs = FaultRuns(context.low, context.low + count, **context.options)
    with context.protection():
        runs.run(stop_at_first=True)
    assert runs.broken, "no check failed"
    print(runs.broken[0])
