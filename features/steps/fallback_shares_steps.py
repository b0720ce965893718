from unittest.mock import patch

from behave import given, then, when

from burdockwall.process.limits.fallback import InstanceCount, LimitSplit
from features.subjects.fallback_shares import (
    EXCESS,
    SPLIT,
    CutOffInstances,
    SilentOwner,
    create_limit,
    find_fullest_window,
)

WINDOW_S = EXCESS.window_s
# Start times of the overload: long before the cut, and around its time.
OVERLOAD_AT_S = (0.0, 5.2, 9.0, 9.5, 10.0, 10.15, 10.5)


@given(
    "{instances:d} instances, and a customer of {rate:d} requests a second and "
    "burst {burst:d}"
)
def step_customer(context, instances, rate, burst):
    context.instances = instances
    context.rate = rate
    context.limit = create_limit(rate, burst)


@when(
    "all admit what they can, and {cut:d} of them are cut off from the owner for "
    "{seconds:d} s"
)
def step_cut(context, cut, seconds):
    context.cuts = [
        CutOffInstances(
            context.limit, context.instances, cut, float(seconds), overload_at
        )
        for overload_at in OVERLOAD_AT_S
    ]
    context.admitted = [instances.simulate() for instances in context.cuts]


@then("no window of 5 s has more than rate and burst with the tolerated excess")
def step_window(context):
    allowed = context.rate * WINDOW_S + context.rate
    fullest = max(find_fullest_window(times, WINDOW_S) for times in context.admitted)
    most = allowed * (1 + EXCESS.share) + EXCESS.requests
    assert fullest <= most, (fullest, most)


@then("at least {percent:d} in 100 of the rate are admitted while {cut:d} are cut off")
def step_used(context, percent, cut):
    first = context.cuts[0]
    since, until = first.cut_at + 2.0, first.cut_at + first.duration_s
    admitted = sum(since <= at < until for at in context.admitted[0])
    share = admitted / (context.rate * (until - since))
    assert share >= percent / 100, share


@when(
    "{rate:d} requests a second come to instances at random while the owner is silent"
)
def step_arrive(context, rate):
    context.load = SilentOwner(context.limit, context.instances, rate)


@then("{percent:d} in 100 are admitted within {limit_s:f} s, over {seeds:d} seeds")
def step_admitted(context, percent, limit_s, seeds):
    context.seeds, context.limit_s = seeds, limit_s
    share = context.load.measure(range(seeds), limit_s)
    assert share >= percent / 100, share


@then("without fallback shares less than {percent:d} in 100 are admitted")
def step_without(context, percent):
    with patch.object(LimitSplit, "get_total_share", lambda *limit: 0.0):
        share = context.load.measure(range(context.seeds), context.limit_s)
    assert share < percent / 100, share


@then("no instance has a fallback share, and the owner grants the whole rate")
def step_no_share(context):
    limit, instances = context.limit, context.instances
    assert not SPLIT.get_total_share(limit, instances)
    assert SPLIT.reduce(limit, instances, instances) == limit


@given("a count of instances that falls from {before:d} to {after:d}")
def step_count(context, before, after):
    context.now = 0.0
    context.listed = before
    context.count = InstanceCount(lambda: context.listed, lambda: context.now)
    assert context.count.read() == before
    context.listed = after


@then("{before:d} are counted for {early:d} s, and {after:d} after {late:d} s")
def step_counted(context, before, early, after, late):
    for second in range(1, early + 1):
        context.now = float(second)
        assert context.count.read() == before
    context.now = float(late)
    assert context.count.read() == after
