from behave import given, then, when

from features.subjects.programs_faults import FaultRuns
from features.subjects.programs_protections import OPTIONS, PROTECTIONS


@given("fault runs of program records from seed {low:d} to {high:d}")
def step_run_seeds(context, low, high):
    context.subject = FaultRuns(low, high)
    context.subject.run()


@then("the fault runs of program records violate no invariant")
def step_check_no_violation(context):
    assert not context.subject.violations, "\n".join(context.subject.violations)


@then(
    "the fault runs of program records include crashes, bookings, unknown outcomes "
    "and refusals"
)
def step_check_included(context):
    runs = context.subject
    assert runs.crashes > runs.count, runs.crashes
    assert runs.booked > runs.count, runs.booked
    assert runs.unknown, "no outcome became unknown"
    assert runs.not_run, "no refusal said 'not run'"


@given('the protection "{name}" of program records is off')
def step_remove_protection(context, name):
    context.protection = PROTECTIONS[name]
    context.options = OPTIONS.get(name, {})


@when("fault runs of program records start from seed {low:d}")
def step_set_first_seed(context, low):
    context.low = low


@then("a check of program records fails within {count:d} seeds")
def step_check_fails(context, count):
    runs = FaultRuns(context.low, context.low + count, **context.options)
    with context.protection():
        runs.run(stop_at_first=True)
    assert runs.violations, "no check failed"
    print(runs.violations[0])
