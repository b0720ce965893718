from behave import given, then, when

from features.subjects.large_configuration import Builds, LargeConfiguration, MixedFleet

SEED = 1
PHASE_S = 0.25


@given("a fleet of {entries:d} entry instances with links of 15 Mbit/s")
def step_fleet(context, entries):
    context.fleet = LargeConfiguration(SEED, entries)


@when(
    "{routes:d} routes are added, and then one route is changed {count:d} times, "
    "each {interval_s:f} s"
)
def step_add(context, routes, count, interval_s):
    context.fleet.add_routes(routes)
    context.fleet.change_routes(count, interval_s)
    context.fleet.settle()


@then("each of these configurations is in force everywhere within {limit_s:g} s")
def step_in_force(context, limit_s):
    slowest_s = context.fleet.list_slowest_s()
    assert max(slowest_s) <= limit_s, slowest_s


@given("fleets of {entries:d} entry instances with 40, 1300 and 12600 routes")
def step_fleets(context, entries):
    context.fleets = [
        LargeConfiguration(SEED, entries, routes) for routes in (40, 1300, 12600)
    ]
    for fleet in context.fleets:
        fleet.settle()


@when("one route is changed {count:d} times, each {interval_s:f} s")
def step_change(context, count, interval_s):
    context.sent = [fleet.measure_relay(count, interval_s) for fleet in context.fleets]


@then("no relay of the larger fleets sends more than twice as much as in the smallest")
def step_compare(context):
    assert max(context.sent) <= 2 * context.sent[0], context.sent


@given(
    "{seeds:d} seeded fleets of {entries:d} entry instances with {routes:d} routes more"
)
def step_seeded_fleets(context, seeds, entries, routes):
    context.fleets = [LargeConfiguration(seed, entries) for seed in range(seeds)]
    for seed, fleet in enumerate(context.fleets):
        fleet.add_routes(routes)
        fleet.settle()
        # The fleets are at different phases of their heartbeats.
        fleet.run(seed * PHASE_S)
        fleet.numbers.clear()


@when("{count:d} relays stand still, and {delay_s:g} s later one route is changed")
def step_freeze_relays(context, count, delay_s):
    for fleet in context.fleets:
        fleet.cut_off(fleet.list_relays()[:count])
        fleet.change_routes(1, delay_s)
        fleet.settle()


@when("{count:d} control instances stand still, and {routes:d} routes are added")
def step_freeze_control(context, count, routes):
    for fleet in context.fleets:
        fleet.cut_off(fleet.control[-count:])
        fleet.add_routes(routes)
        fleet.settle()


@when(
    "a tenth of all messages is lost, and one route is changed {count:d} times, "
    "each {interval_s:g} s"
)
def step_lose(context, count, interval_s):
    for fleet in context.fleets:
        fleet.network.conditions.loss_probability = 0.1
        fleet.change_routes(count, interval_s)
        fleet.settle()


@when("all entry instances start again within {within_s:g} s")
def step_start_again(context, within_s):
    for fleet in context.fleets:
        fleet.start_again(within_s)
        fleet.settle()


@then("every other instance has the change within {limit_s:g} s")
def step_others(context, limit_s):
    late = {seed: fleet.list_late(limit_s) for seed, fleet in enumerate(context.fleets)}
    assert not any(late.values()), late


@given("a fleet of {entries:d} entry instances in which {earlier} read no outlines")
def step_mixed_fleet(context, entries, earlier):
    context.fleet = MixedFleet(SEED, entries, Builds(earlier))
    context.fleets = [context.fleet]


@then("no instance was named as behind meanwhile")
def step_none_behind(context):
    assert not context.fleet.lags, context.fleet.lags
