from behave import given, then, when

from features.subjects.limits_faults import FaultRun, FaultSubject, RestartRun
from features.subjects.limits_unsafe import UNSAFE

RUNS = {"drawn faults": FaultRun, "restarts before bursts": RestartRun}


@given("limits without {protection}")
def step_limits_without(context, protection):
    context.network_class = UNSAFE[protection]


@when("limits run through {faults} for {count:d} seeds from {first:d}")
def step_limits_faults(context, faults, count, first):
    context.subject = FaultSubject(RUNS[faults])
    context.subject.run_seeds(first, count)


@when(
    "limits run through {faults} for {count:d} seeds from {first:d}, until one breaks"
)
def step_limits_unsafe(context, faults, count, first):
    context.subject = FaultSubject(RUNS[faults], context.network_class)
    context.subject.run_seeds(first, count, stop_at_violation=True)


@then("no window of any limits run had a request in excess")
def step_limits_hold(context):
    subject = context.subject
    print(f"{subject.runs} runs, {subject.admitted / 1000:.0f} requests admitted")
    assert subject.runs and subject.admitted
    assert not subject.violations, subject.violations


@then("some window of a limits run had a request in excess")
def step_limits_broken(context):
    print(f"violations: {context.subject.violations}")
    assert context.subject.violations, f"none in {context.subject.runs} runs"
