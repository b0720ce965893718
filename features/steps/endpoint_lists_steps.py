from behave import given, then, when

from features.subjects.endpoint_lists import EndpointLists

SEED = 1
FAULTS = 30


@given("leaders that publish 20 and 2000 endpoints to 12 instances")
def step_leaders(context):
    context.subjects = [EndpointLists(SEED, count) for count in (20, 2000)]


@when("nothing changes for {seconds:d} s")
def step_wait(context, seconds):
    context.rates = [
        subject.measure_bytes_per_s(seconds, None) for subject in context.subjects
    ]


@when("one endpoint changes each {interval_s:g} s for {seconds:d} s")
def step_change(context, interval_s, seconds):
    context.rates = [
        subject.measure_bytes_per_s(seconds, interval_s) for subject in context.subjects
    ]


@then("what an instance is sent each second does not depend on the number of endpoints")
def step_compare(context):
    fewer, more = context.rates
    assert more <= 1.1 * fewer, context.rates


@given("{seeds:d} seeded leaders of instances of which some read no changes")
def step_seeds(context, seeds):
    context.subjects = [EndpointLists(seed, 40, True) for seed in range(seeds)]


@when("endpoints change, messages are lost, instances restart and leaders are replaced")
def step_fail(context):
    for subject in context.subjects:
        subject.run_faults(FAULTS)


@then("{seconds:d} s after the last fault every instance has the leader's list")
def step_equal(context, seconds):
    for subject in context.subjects:
        subject.run(seconds)
    different = [subject.list_different() for subject in context.subjects]
    assert not any(different), different
