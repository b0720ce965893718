import time

from behave import given, then, when

from features.subjects import cold_network
from features.subjects.cold_endpoints import (
    BOUND,
    COLD_S,
    ColdSite,
    list_reached,
    read_listed,
)
from features.subjects.cold_network import ColdNetwork, run_faults
from features.subjects.endpoint_limits import run_load


@given("a site whose first tool server is cold after each start")
def step_site(context):
    context.site = ColdSite()
    context.add_cleanup(context.site.close)
    context.site.start()


@given("the tools' service has a rule for cold endpoints")
def step_rule(context):
    context.site.apply_rule()


@when(
    "{rate:d} requests a second come for {seconds:d} s and the first tool server "
    "restarts after {after:d} s"
)
def step_restart(context, rate, seconds, after):
    site, context.asked = context.site, []
    tool = site.tools[0]

    def restart(elapsed_s):
        context.asked.append((time.monotonic(), site.count_asked()))
        if elapsed_s >= after and not tool.crash_times:
            site.call_in_loop(tool.crash)

    context.load = run_load(site, rate, seconds, restart)


@then("in no second the cold tool server gets more requests than it bears")
def step_bound(context):
    fullest = context.site.count_fullest_second()
    assert fullest <= BOUND, fullest


@then("the cold tool server gets at least {least:d} requests")
def step_least(context, least):
    sent = len(context.site.list_cold_arrivals())
    assert sent >= least, sent


@then("within {factor:g} of its cold time the tool server gets its usual load again")
def step_load_again(context, factor):
    start_s = factor * COLD_S
    sent = context.site.count_between(start_s, start_s + 1)
    # Half of the load's requests, less what chance gives to the other server.
    assert sent >= 20, sent


@then("requests on warm endpoints asked for no permit")
def step_no_permits(context):
    tool = context.site.tools[0]
    warm_at = tool.cold_until + 0.2 * COLD_S
    before = [count for at, count in context.asked if at < tool.crash_times[0]]
    after = [count for at, count in context.asked if at >= warm_at]
    assert before[-1] == 0, before[-1]
    assert after[0] == after[-1], (after[0], after[-1])


# On virtual time.


@when(
    "an endpoint shared by {instances:d} instances restarts cold in "
    "{count:d} drawn seeds"
)
def step_faults(context, instances, count):
    context.outcomes = [run_faults(seed, instances) for seed in range(count)]


@then("no run had more requests in a second than the cold endpoint bears")
def step_no_excess(context):
    broken = [item for item in context.outcomes if item.fullest > cold_network.BOUND]
    assert not broken, broken


@given("{instances:d} instances whose endpoint becomes cold without a restart")
def step_network(context, instances):
    context.network = ColdNetwork(1, instances)


@when("the evacuation of its domain ends right afterwards")
def step_ends(context):
    context.network.end_evacuation_after(5)
    context.network.load(40, 14)


@then("no second had more requests than the cold endpoint bears")
def step_network_bound(context):
    endpoint = context.network.endpoint
    assert endpoint.cold_arrivals
    assert endpoint.count_fullest_second() <= cold_network.BOUND


@then("its usual load is back within 1.2 of its cold time")
def step_network_load(context):
    endpoint = context.network.endpoint
    start_s = endpoint.starts[-1] + 1.2 * cold_network.RULE.start_s
    sent = sum(start_s <= at < start_s + 1 for at in endpoint.arrivals)
    assert sent >= 39, sent


@then("a list entry with the cold time {text} makes its endpoint {reading}")
def step_reading(context, text, reading):
    assert read_listed(text) is (reading == "cold")


@then("a route for {route} and a customer for {customer} reach domains {reached}")
def step_regions(context, route, customer, reached):
    assert list_reached(route, customer) == reached


@given("{instances:d} instances with requests and an idle connection at their endpoint")
def step_idle(context, instances):
    context.network = ColdNetwork(1, instances)
    context.idle_since = context.network.network.now
    # Ten times as many requests under way as instances.
    context.network.load(20 * instances, 1)


@when("the endpoint restarts and each instance finds its connection closed 5 s later")
def step_found_closed(context):
    context.network.restart()
    context.network.find_closed_after(5, context.idle_since)
    context.network.load(40, 5)


@when("the endpoint restarts and connections opened since are found closed 5 s later")
def step_found_closed_since(context):
    context.network.restart()
    context.network.load(40, 4)
    context.network.find_closed_after(1, context.network.network.now)
    context.network.load(40, 1.5)


@then("requests need permits before {factor:g} of its cold time and not after it")
def step_needed(context, factor):
    network = context.network
    assert network.count_needing() == len(network.entries)
    warm_at = network.endpoint.starts[-1] + factor * cold_network.RULE.start_s
    network.load(40, warm_at - network.network.now)
    assert network.count_needing() == 0, network.count_needing()


@then("every instance counts the endpoint as cold then")
def step_counts_cold(context):
    network = context.network
    assert network.count_needing() == len(network.entries)
    warm_at = network.endpoint.starts[-1] + 1.05 * cold_network.RULE.start_s
    network.load(40, warm_at - network.network.now)
    assert network.count_needing() == len(network.entries)
