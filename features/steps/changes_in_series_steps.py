from behave import given, then, when

from features.subjects.changes_in_series import ChangesInSeries, Trouble

INTERVALS_S = (0.3, 0.5, 0.7, 1.0)


def run_fleets(context, trouble):
    context.subjects = [
        ChangesInSeries(seed, interval_s, trouble)
        for seed in range(1, context.seeds + 1)
        for interval_s in INTERVALS_S
    ]
    for subject in context.subjects:
        subject.run_series()


@given(
    "{seeds:d} seeded fleets whose configuration changes each 0.3, 0.5, 0.7 and 1.0 s"
)
def step_fleets(context, seeds):
    context.seeds = seeds


@when("the messages to two instances are lost for up to 1.2 s, again and again")
def step_lose(context):
    run_fleets(context, Trouble.LOST)


@when(
    "the messages to all instances overtake each other for up to 1.2 s, again and again"
)
def step_overtake(context):
    run_fleets(context, Trouble.OVERTAKEN)


@when("the snapshots to two instances are lost, again and again")
def step_lose_snapshots(context):
    run_fleets(context, Trouble.LOST_SNAPSHOT)


@then("each instance in touch for 3.0 s has each version 2.0 s after its acceptance")
def step_in_force(context):
    late = {
        (subject.seed, subject.interval_s): (subject.faults, subject.late[:1])
        for subject in context.subjects
        if subject.late or subject.faults
    }
    assert not late, late


@given("a fleet whose configuration changes each {interval_s:f} s")
def step_fleet(context, interval_s):
    context.subject = ChangesInSeries(1, interval_s, Trouble.LOST)
    context.subject.run_changes(6.0)


@when("the messages to one instance are lost for {seconds:f} s")
def step_lose_to_one(context, seconds):
    subject = context.subject
    subject.cut(subject.entries[:1])
    subject.run(seconds)
    subject.network.heal()
    subject.run(4.0)


@then("the leader has named just that instance as behind, and then as caught up")
def step_named(context):
    subject = context.subject
    named = [lag.instance for change in subject.lags for lag in change.behind]
    caught_up = [name for change in subject.lags for name in change.caught_up]
    assert set(named) == set(subject.entries[:1]), named
    assert caught_up[-1:] == subject.entries[:1], caught_up
