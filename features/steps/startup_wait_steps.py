from behave import given, then

from burdockwall.process.startup_wait import compute_startup_wait_s
from features.subjects.startup_wait import (
    CALLERS,
    ReturningCallers,
    refuse_at_once,
)


@given(
    "an instance that is ready {ready_s:f} s after its start, and callers with"
    " 2 attempts"
)
def step_instance(context, ready_s):
    context.callers = [ReturningCallers(ready_s, seed) for seed in range(10)]


@then("{lost:d} of 200 callers are lost, and all are if they are refused at once")
def step_lost(context, lost):
    for callers in context.callers:
        assert callers.count_lost() == lost
        assert callers.count_lost(refuse_at_once) == CALLERS


@then(
    "a request of {time_s:f} s waits {wait_s:f} s at an instance that started"
    " {age_s:f} s ago"
)
def step_waits(context, time_s, wait_s, age_s):
    assert abs(compute_startup_wait_s(age_s, time_s) - wait_s) < 1e-9
