from behave import given, then, when

from features.subjects.cold_endpoints import BOUND, COLD_S, ColdSite
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
    tool = context.site.tools[0]

    def restart(elapsed_s):
        if elapsed_s >= after and not tool.crash_times:
            context.site.call_in_loop(tool.crash)

    context.load = run_load(context.site, rate, seconds, restart)


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
    asked = sum(entry.endpoint_limits.asked_count for entry in context.site.entries)
    cold = len(context.site.list_cold_arrivals())
    refused = sum(e.endpoint_limits.refused_count for e in context.site.entries)
    assert asked <= cold + refused + 5, (asked, cold, refused)
