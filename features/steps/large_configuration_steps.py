from behave import given, then, when

from features.subjects.large_configuration import LargeConfiguration

SEED = 1


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
