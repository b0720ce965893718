from behave import given, then, when

from burdockwall.process.limits.events import Limit
from features.subjects.limits import LimitNetwork
from features.subjects.limits_faults import FaultSubject
from features.subjects.limits_window import (
    ALLOWANCE,
    UNITS_PER_REQUEST,
    CappedNetwork,
    MessageFaultRun,
    WindowFaultRun,
    WindowSubject,
)

CRASH_DOWN_S = 1.0
RUNS = {
    "drawn faults": (WindowFaultRun, LimitNetwork),
    "message faults": (MessageFaultRun, CappedNetwork),
}


@given(
    "limits counted over 5 s on {count:d} instances for a customer with rate {rate:d} "
    "and burst {burst:d}"
)
def step_limits(context, count, rate, burst):
    context.subject = WindowSubject(count, rate, burst)


@when("requests come at {times:d} times the rate in groups of {group:d} for {s:d} s")
def step_load(context, times, group, s):
    context.seconds = s
    context.load = times, group
    context.subject.load_groups(times, group, s)


@when("meanwhile the limits' owner crashes each {interval_s:d} s")
def step_crash(context, interval_s):
    for after_s in range(interval_s, context.seconds, interval_s):
        context.subject.crash_owner(float(after_s), CRASH_DOWN_S)


@then("no window of 5 s has more than {most:d} requests")
def step_window(context, most):
    context.subject.idle(context.seconds + 1)
    fullest = context.subject.find_fullest_window()
    assert 0 < fullest <= most, fullest


@given("an allowance over 5 s with a tenth and 20 requests of excess")
def step_allowance(context):
    context.allowance = ALLOWANCE


def enlarge(context, rate, burst, instances):
    limit = Limit(rate * UNITS_PER_REQUEST, burst * UNITS_PER_REQUEST)
    enlarged = context.allowance.enlarge(limit, instances)
    return enlarged.burst // UNITS_PER_REQUEST


@then(
    "the burst of rate {rate:d} and burst {burst:d} over {instances:d} instances "
    "becomes {expected:d}"
)
@then(
    "the burst of rate {rate:d} and burst {burst:d} over {instances:d} instances "
    "stays {expected:d}"
)
def step_burst(context, rate, burst, instances, expected):
    assert enlarge(context, rate, burst, instances) == expected


@then(
    "the burst of rate {rate:d} and burst {burst:d} over no known instances "
    "stays {expected:d}"
)
def step_burst_unknown(context, rate, burst, expected):
    assert enlarge(context, rate, burst, 0) == expected


@when(
    "limits counted over a window run through {faults} for {count:d} seeds from "
    "{first:d}"
)
def step_faults(context, faults, count, first):
    context.subject = FaultSubject(*RUNS[faults])
    context.subject.run_seeds(first, count)
