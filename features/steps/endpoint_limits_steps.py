from behave import given, then, when

from burdockwall.errors import Code
from features.subjects.endpoint_limits import (
    count_fullest_window,
    handle_late_grant,
    read_rate,
    run_load,
)
from features.subjects.own_endpoint_limits import LimitedEngines
from features.subjects.permit_network import CONTACT_S, PermitNetwork, run_faults

# On the platform.


@given('the first tool server names a limit of "{limit}"')
@when('the first tool server names a limit of "{limit}"')
def step_limit(context, limit):
    context.site.tools[0].rate_limit = limit


@when('the first tool server names a limit of ""')
def step_no_limit(context):
    context.site.tools[0].rate_limit = ""


@given('every tool server names a limit of "{limit}"')
def step_all_limited(context, limit):
    for tool in context.site.tools:
        tool.rate_limit = limit


@when("{rate:d} requests a second come at both instances for {seconds:d} s")
def step_load(context, rate, seconds):
    context.load = run_load(context.site, rate, seconds)


@then("after {start:d} s the first tool server gets at most {most:d} requests in 4 s")
def step_window(context, start, most):
    fullest = count_fullest_window(context.site.tools[0], context.load, start)
    assert fullest <= most, fullest


@then("the first tool server was sent at least {least:d} requests")
def step_least(context, least):
    sent = len(context.site.tools[0].received_requests)
    assert sent >= least, sent


@then("the first tool server was sent at least {least:d} requests of the load")
def step_least_of_load(context, least):
    began_at = context.load.started_at
    received = context.site.tools[0].received_requests
    sent = sum(item.received_at >= began_at for item in received)
    assert sent >= least, sent


@then("every answer of the load is {status:d}")
def step_answers(context, status):
    others = [item for item in context.load.answers if item.status != status]
    assert not others, others


@then(
    "the answers of the load are 200, or 503 with code {code:d} and a time to come back"
)
def step_refusals(context, code):
    assert code == Code.ENDPOINTS_LIMITED.value.number
    for answer in context.load.answers:
        if answer.status != 200:
            assert answer.status == 503, answer
            assert answer.code == code, answer
            assert float(answer.retry_after) > 0, answer


@then("at least {least:d} answers of the last {seconds:d} s are 200")
def step_served(context, least, seconds):
    answers = context.load.answers
    ended_at = max(answer.at for answer in answers)
    served = sum(
        answer.status == 200 and answer.at > ended_at - seconds for answer in answers
    )
    assert served >= least, served


@then('an answer with the limits "{values}" names the rate "{rate}"')
def step_reads(context, values, rate):
    sent = [] if values == "none" else values.split(",")
    expected = None if rate == "none" else float(rate)
    assert read_rate(sent) == expected, read_rate(sent)


# On virtual time.


@given("{instances:d} instances that share an endpoint")
def step_network(context, instances):
    context.permits = PermitNetwork(1, instances)


@given("{instances:d} instances that share {count:d} endpoints")
def step_network_of_endpoints(context, instances, count):
    context.permits = PermitNetwork(1, instances, count)


@given("the endpoint names a limit of {rate:d} a second")
@when("the endpoint names a limit of {rate:d} a second")
@given("every endpoint names a limit of {rate:d} a second")
def step_names(context, rate):
    for endpoint in context.permits.endpoints:
        context.permits.set_limit(endpoint, float(rate))


@when("the endpoint names no limit")
def step_names_none(context):
    context.permits.set_limit(context.permits.endpoints[0], None)


@when("{rate:d} requests a second come for {seconds:d} s")
def step_requests(context, rate, seconds):
    context.refused_before = context.permits.refused
    context.permits.load(rate, seconds)


@when("all instances stop and start, one each {gap:g} s")
def step_roll(context, gap):
    context.permits.roll(1, gap)


@when("the leader changes at {first:d} s, {second:d} s and {third:d} s")
def step_leaders(context, first, second, third):
    for at in (first, second, third):
        context.permits.network.schedule(at, context.permits.change_leader)


@when("no control instance runs any more")
def step_no_control(context):
    for instance in context.permits.control:
        context.permits.network.crash(instance)


@then("from 3 s on no 4 s have more requests than the limit allows")
def step_bound(context):
    endpoint = context.permits.endpoints[0]
    begins_at = endpoint.named_at + CONTACT_S
    now = context.permits.network.now
    excess = endpoint.find_excess(begins_at, endpoint.rate_per_s, now)
    assert excess <= 0, excess


@then("from 3 s on at least {share:g} of the limit is used")
def step_used(context, share):
    endpoint = context.permits.endpoints[0]
    begins_at = endpoint.named_at + CONTACT_S
    seconds = context.permits.network.now - begins_at
    used = sum(at >= begins_at for at in endpoint.arrivals) / seconds
    assert used >= share * endpoint.rate_per_s, used


@then("at most {most:d} messages were sent for each request")
def step_messages(context, most):
    sent = context.permits.network.sent_messages
    assert sent <= most * context.permits.asked, (sent, context.permits.asked)


@then("the last 5 s had no refusal")
def step_no_refusal(context):
    refused = context.permits.refused - context.refused_before
    assert refused == 0, refused


@then("the last 4 s had at least {least:d} requests at the endpoint")
def step_last_requests(context, least):
    network = context.permits.network
    arrivals = context.permits.endpoints[0].arrivals
    sent = sum(at >= network.now - 4 for at in arrivals)
    assert sent >= least, sent


@given("a holder that has asked for a permit of a limited endpoint")
def step_holder(context):
    pass


@when("the grant is handled {seconds:g} s after it was asked for")
def step_late_grant(context, seconds):
    context.decisions = handle_late_grant(seconds)


@then("the request is not permitted")
def step_not_permitted(context):
    assert [item.permitted for item in context.decisions] == [False]


@when("the limits run through {count:d} drawn seeds from {first:d}")
def step_faults(context, count, first):
    context.outcomes = [run_faults(seed) for seed in range(first, first + count)]


@then("no run had more requests at an endpoint than its limit allows")
def step_no_excess(context):
    broken = [item for item in context.outcomes if item.excess > 0]
    assert not broken, broken


# On the own interface.


@when("{count:d} questions come at {rate:d} a second to {engines}, {limits}")
def step_questions(context, count, rate, engines, limits):
    rates = {
        "of which one takes 2 a second": ("2", ""),
        "of which both take 1 a second": ("1", "1"),
    }[limits]
    assert engines == "two engines"
    context.subject = LimitedEngines(rates)
    context.subject.ask(count, rate)


@then("after {start:d} s the limited engine gets at most {most:d} requests in 4 s")
def step_engine_window(context, start, most):
    fullest = context.subject.count_fullest_window(start)
    assert fullest <= most, fullest


@then("the limited engine was asked at least {least:d} times")
def step_engine_least(context, least):
    assert len(context.subject.times) >= least, context.subject.times


@then("every question is answered")
def step_all_answered(context):
    others = [item for item in context.subject.answers if item.status != 200]
    assert not others, others


@then("each question is answered, or refused with code {code:d} within 1 s")
def step_refused_at_once(context, code):
    for answer in context.subject.answers:
        if answer.status != 200:
            assert (answer.status, answer.code) == (503, code), answer
            assert answer.seconds < 1, answer


@then("at least {least:d} questions are answered")
def step_some_answered(context, least):
    answered = sum(item.status == 200 for item in context.subject.answers)
    assert answered >= least, answered
