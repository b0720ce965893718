from behave import then, when

from features.subjects.fleet import run_seed
from features.subjects.fleet_unprotected import find_fault

# Seeds that are known to show faults come first; the others are searched in order if
# these show none.
UNPROTECTED_SEEDS = [454, 733, *range(1, 801)]


@when("fleets run under faults with {count:d} seeds from {first:d}")
def step_run_fleets(context, count, first):
    context.fleet_faults = []
    for seed in range(first, first + count):
        context.fleet_faults += run_seed(seed).faults


@when('fleets run without the protection "{protection}"')
def step_run_unprotected(context, protection):
    subject = find_fault(protection, UNPROTECTED_SEEDS)
    context.fleet_faults = subject.faults if subject is not None else []


@then("no fleet run shows a fault")
def step_no_fault(context):
    assert not context.fleet_faults, context.fleet_faults[:5]


@then("a fleet run shows a fault")
def step_fault(context):
    assert context.fleet_faults
    print(context.fleet_faults[0])
