import time

import msgspec
from behave import given, then, when

from burdockwall.machine import Receive, Tick
from burdockwall.process.scheduling.endpoint_health import EndpointHealth
from burdockwall.process.scheduling.health_reports import EndpointMark, MarkEndpoints
from burdockwall.request.attempt_health import AttemptHealth
from burdockwall.types import EndpointId, Incarnation, Term
from features.subjects.endpoint_health import (
    FAULTS,
    LEADER,
    ROUTE,
    BadServerSite,
    HealthSite,
    serve_well,
)

ENDPOINT = EndpointId("e")


@given(
    "{instances:d} instances that send {rate:d} requests a second each to {count:d} "
    "endpoints"
)
def step_instances(context, instances, rate, count):
    context.size = (instances, rate, count)


@when("one endpoint {fault} for {seconds:d} s, with seeds {first:d} to {last:d}")
def step_one_endpoint(context, fault, seconds, first, last):
    run_fault(context, fault, seconds, first, last)


@when("{fault} for {seconds:d} s, with seeds {first:d} to {last:d}")
def step_fault(context, fault, seconds, first, last):
    run_fault(context, fault.removeprefix("one endpoint "), seconds, first, last)


def run_fault(context, fault, seconds, first, last):
    context.sites = [HealthSite(*context.size, seed) for seed in range(first, last + 1)]
    for site in context.sites:
        site.run(seconds, FAULTS[fault])


@when("everything serves well for {seconds:d} s more")
def step_well(context, seconds):
    for site in context.sites:
        site.run(seconds, serve_well)


@then("it is ejected within {limit:d} s")
def step_ejected_within(context, limit):
    times = [site.seen.ejected_at for site in context.sites]
    assert all(at is not None and at <= limit for at in times), times


@then("from then on it gets at most {part:f} of an even share")
def step_share(context, part):
    shares = [site.compute_share(site.seen.ejected_at) for site in context.sites]
    print("shares", shares, [site.seen.ejected_at for site in context.sites])
    assert all(share <= part for share in shares), shares


@then("no endpoint is ejected")
def step_none_ejected(context):
    times = [site.seen.ejected_at for site in context.sites]
    assert times == [None] * len(times), times


@then("{count:d} endpoints at most are ejected or return at any moment")
def step_at_most(context, count):
    most = [max(site.seen.marked) for site in context.sites]
    assert max(most) <= count, most


@then("at least one is ejected")
def step_some_ejected(context):
    assert all(site.seen.ejected_at is not None for site in context.sites)


@then("its weight grows from 0 to 1 without a step of over {step:f}")
def step_ramp(context, step):
    for site in context.sites:
        weights = site.seen.weights
        assert min(weights) == 0.0 and weights[-1] == 1.0
        growth = max(b - a for a, b in zip(weights, weights[1:], strict=False))
        assert growth <= step, growth


@when("it starts anew, and everything serves well for {seconds:d} s more")
def step_restart(context, seconds):
    for site in context.sites:
        assert site.detector.count_ejected(site.now)
        site.listed[0] = msgspec.structs.replace(site.listed[0], started_ms=1)
        site.run(seconds, serve_well)


@then("it is no longer ejected, and returns by the ramp")
def step_returned(context):
    for site in context.sites:
        assert not site.detector.count_ejected(site.now)
        assert 0.0 < site.seen.weights[-1] < 1.0, site.seen.weights[-1]


@then("at the end it is not ejected")
def step_not_ejected_at_end(context):
    for site in context.sites:
        assert not site.detector.count_ejected(site.now)


@given("an instance that was told that an endpoint returns in {returns_s:d} s")
def step_told(context, returns_s):
    context.health = EndpointHealth(Incarnation(1), lambda: 0.0, lambda leader: True)
    marks = [EndpointMark(ENDPOINT, float(returns_s))]
    message = MarkEndpoints(Term(1), Incarnation(1), marks)
    context.health.handle(Receive(LEADER, message), 0.0)


@then("its weight is {weight:f} after {now:f} s")
def step_weight(context, weight, now):
    found = context.health.get_weight(ENDPOINT, now)
    assert abs(found - weight) < 0.01, found


@given(
    "an instance whose request failed at {failed:g} s and that heard from an endpoint "
    "at {heard:g} s"
)
def step_failed_at(context, failed, heard):
    context.heard = heard
    context.health = EndpointHealth(
        Incarnation(1), lambda: context.heard, lambda leader: True
    )
    context.health.install_leader(LEADER)
    context.health.record_failed(ENDPOINT, failed)


@then("its report at {now:g} s has {count:d} failures")
def step_report(context, now, count):
    (send,) = context.health.handle(Tick(), now)
    assert sum(sample.failed for sample in send.message.samples) == count


@then(
    "its report at {now:g} s has {count:d} failure if it heard from an endpoint at "
    "{heard:g} s"
)
def step_report_heard(context, now, count, heard):
    context.heard = heard
    step_report(context, now, count)


@given("an attempt of a request at an endpoint")
def step_attempt(context):
    context.now = 0.0
    context.health = EndpointHealth(Incarnation(1), lambda: 9.0, lambda leader: True)
    context.attempt = AttemptHealth(
        context.health, lambda: context.now, ENDPOINT, ROUTE
    )


@when("its time is over after {silence_s:f} s of silence")
def step_time_over(context, silence_s):
    context.now = silence_s
    context.attempt.record_end(True)


@then("the endpoint has failed {count:d} time")
@then("the endpoint has failed {count:d} times")
def step_failed(context, count):
    context.health.install_leader(LEADER)
    (send,) = context.health.handle(Tick(), context.now)
    assert sum(sample.failed for sample in send.message.samples) == count


@given("a site with three tool servers, of which one refuses each second request")
def step_bad_server(context):
    context.site = BadServerSite()
    context.add_cleanup(context.site.site.close)
    context.site.site.start()


@when("callers send {rate:d} tool calls a second for {seconds:d} s")
def step_calls(context, rate, seconds):
    context.site.send_calls(rate, seconds)
    context.ended_at = time.monotonic()


@then("in the last {seconds:d} s the bad server gets at most {part:f} of an even share")
def step_bad_share(context, seconds, part):
    context.since = context.ended_at - seconds
    share = context.site.compute_share(context.since)
    print("share", share)
    assert share <= part, share


@then("every call of these is answered")
def step_answered(context):
    statuses = [status for at, status in context.site.statuses if at >= context.since]
    assert statuses and set(statuses) == {200}, statuses
