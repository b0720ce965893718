from behave import given, then, when

from burdockwall.process.scheduling.jobs import Asset, Reject, Result
from burdockwall.process.scheduling.policy import Window
from burdockwall.process.scheduling.reports import CacheChange, CacheKey
from burdockwall.types import CallId, EndpointId, RouteKind
from features.subjects.routing import (
    MODEL,
    RoutingSubject,
    compare_homes,
    create_domains,
    create_router,
    create_versions,
    place_beside_ejected,
)

HISTORY = "history"


@given("a router of {count:d} endpoints")
def step_router(context, count):
    context.subject = create_router(count)


@given("a router of {count:d} endpoints that never ejects")
def step_never_ejects(context, count):
    context.subject = create_router(count, ejected_share=0.0)


@given("{routers:d} routers of {count:d} endpoints")
def step_routers(context, routers, count):
    context.subject = RoutingSubject(routers, count)


@given(
    "{routers:d} routers of {count:d} endpoints with {window} windows "
    "of {places:d} places"
)
def step_windows(context, routers, count, window, places):
    context.subject = RoutingSubject(
        routers, count, window=Window(window), endpoint_calls=places
    )


@given(
    'a router of {count:d} endpoints of which "{holder}" alone has '
    'version "{version}" of a model'
)
def step_versions(context, count, holder, version):
    context.subject = create_versions(count, holder, version)


@given("a router of {count:d} endpoints in {domains:d} failure domains")
def step_domains(context, count, domains):
    context.subject = create_domains(count, domains)


def run_history(subject, endpoint, tokens):
    prefixes = subject.scheduler.router.prefixes
    prefixes.record(CacheKey(HISTORY), EndpointId(endpoint), tokens, subject.now)


@when('a routed history of {tokens:d} tokens has run at "{endpoint}" and calls again')
def step_again(context, tokens, endpoint):
    run_history(context.subject, endpoint, tokens)
    context.call = context.subject.submit("p", tokens=tokens + 100, key=HISTORY)


@when(
    'a routed history of {tokens:d} tokens has run at "{endpoint}" and calls again '
    "under a load of {load:d} calls there"
)
def step_again_loaded(context, tokens, endpoint, load):
    run_history(context.subject, endpoint, tokens)
    for _ in range(8):
        context.subject.report_load(endpoint, load)
    context.call = context.subject.submit("p", tokens=tokens + 100, key=HISTORY)


@then('the routed call runs at "{endpoint}"')
def step_runs_at(context, endpoint):
    assert context.subject.running[context.call] == endpoint


@then('the routed call runs elsewhere than "{endpoint}"')
def step_runs_elsewhere(context, endpoint):
    assert context.subject.running[context.call] != endpoint


@when("each router is asked for each of {count:d} new histories")
def step_ask_all(context, count):
    context.subject.ask_all(count)


@then("the routers agree on each history")
def step_agree(context):
    split = [chosen for chosen in context.subject.choices if len(chosen) > 1]
    assert not split, split


@when(
    "the homes of {count:d} histories are compared before and after "
    "the loss of one endpoint"
)
def step_compare(context, count):
    context.moved, context.lost = compare_homes(10, count)


@then("only the routed histories of the lost endpoint have moved")
def step_moved(context):
    assert context.moved == context.lost and context.lost


@when('routed endpoint "{endpoint}" fails for {seconds:d} s')
def step_fail(context, endpoint, seconds):
    context.endpoint = EndpointId(endpoint)
    context.subject.faulty[context.endpoint] = "fails"
    context.subject.run_calls(seconds * 10)


@when('routed endpoint "{endpoint}" is 20 times slower for {seconds:d} s')
def step_slow(context, endpoint, seconds):
    context.endpoint = EndpointId(endpoint)
    context.subject.faulty[context.endpoint] = "slow"
    context.subject.run_calls(seconds * 10)


@when('all routed histories are cached at "{endpoint}", which is 20 times slower')
def step_cached_at_slow(context, endpoint):
    subject = context.subject
    subject.run_calls(100)
    subject.faulty[EndpointId(endpoint)] = "slow"
    for _ in range(20):
        run_history(subject, endpoint, 80_000)
        call = subject.submit("p", tokens=80_100, key=HISTORY)
        subject.tick(0.1)
        subject.end_as_endpoint(call)


@when("the routed endpoint has recovered for {seconds:d} s")
def step_recover(context, seconds):
    context.subject.faulty.clear()
    context.subject.run_calls(seconds * 10)


@when("every routed endpoint fails for {seconds:d} s")
def step_fail_all(context, seconds):
    subject = context.subject
    for number in range(subject.count):
        subject.faulty[EndpointId(f"e{number}")] = "fails"
    context.most = 0
    for _ in range(seconds * 10):
        subject.run_calls(1)
        context.most = max(context.most, subject.count_ejected())


@then("the router has ejected at most {count:d} endpoints at any time")
def step_most(context, count):
    assert 0 < context.most <= count, context.most


@then("the router has ejected {count:d} endpoint")
def step_ejected(context, count):
    assert context.subject.count_ejected() == count


@then("the router has sent it at most {count:d} calls")
def step_few(context, count):
    sent = context.subject.sent.get(context.endpoint, 0)
    assert sent <= count, sent


@then("the router has sent it more than {count:d} calls")
def step_many(context, count):
    sent = context.subject.sent.get(context.endpoint, 0)
    assert sent > count, sent


@when(
    '"{endpoint}" reports to the router that it stored a prefix, '
    "and the eviction event is lost"
)
def step_stored(context, endpoint):
    context.subject.report_cache(endpoint, (1, CacheChange.STORED, HISTORY))


@then("the router expects the prefix there at first and no longer after {seconds:d} s")
def step_expect_until(context, seconds):
    subject = context.subject
    assert subject.list_copies(HISTORY) == ["e2"]
    subject.now += seconds
    assert subject.list_copies(HISTORY) == []


@when(
    "the router receives that a prefix was stored, evicted, and the first event again"
)
def step_repeated(context):
    stored = (1, CacheChange.STORED, HISTORY)
    evicted = (2, CacheChange.EVICTED, HISTORY)
    context.subject.report_cache("e2", stored)
    context.subject.report_cache("e2", evicted)
    context.subject.report_cache("e2", stored)


@when(
    '"{endpoint}" reports to the router that it stored a prefix '
    "and then cleared its cache"
)
def step_cleared(context, endpoint):
    context.subject.report_cache(endpoint, (7, CacheChange.STORED, HISTORY))
    context.subject.report_cache(endpoint, (1, CacheChange.CLEARED, ""))


@when("a routed history's call fails at an endpoint that held its prefix")
def step_fails_there(context):
    run_history(context.subject, "e2", 8000)
    call = context.subject.submit("p", tokens=8100, key=HISTORY)
    assert context.subject.running[call] == "e2"
    context.subject.finish(call, Result.FAILED, latency_s=1.0)


@then("the router expects no copy of the prefix")
def step_no_copy(context):
    assert context.subject.list_copies(HISTORY) == []


@when(
    'each router receives a report that "{endpoint}" is idle '
    "and has {count:d} calls to place"
)
def step_flood(context, endpoint, count):
    context.subject.flood(endpoint, count)


@then('the routers together have placed at most {count:d} calls on "{endpoint}"')
def step_placed_few(context, count, endpoint):
    placed = context.subject.count_on(endpoint)
    assert 0 < placed <= count, placed


@then('the routers together have placed more than {count:d} calls on "{endpoint}"')
def step_placed_many(context, count, endpoint):
    assert context.subject.count_on(endpoint) > count


@when('{count:d} routed calls want version "{version}"')
def step_want(context, count, version):
    for _ in range(count):
        context.subject.call(Asset(MODEL, "", version))


@when('a routed call wants version "{version}"')
def step_want_one(context, version):
    context.subject.call(Asset(MODEL, "", version))


@then('the router has used only "{endpoint}"')
def step_used(context, endpoint):
    assert context.subject.used == {endpoint}, context.subject.used


@then("the router rejects the call")
def step_rejects(context):
    assert context.subject.rejected == 1


@when("{count:d} routed calls of a plain service run one after the other")
def step_services(context, count):
    for _ in range(count):
        context.subject.call(kind=RouteKind.SERVICE)


@then("the router has used only endpoints of its own failure domain")
def step_near(context):
    assert context.subject.used == {"e0", "e3"}, context.subject.used


@then(
    'with "e1" ejected, a call that may go only there is rejected at once if others are'
    " limited"
)
def step_limited(context):
    assert place_beside_ejected(limited=False) == [None]
    assert place_beside_ejected(limited=True) == [Reject(CallId(1))]
