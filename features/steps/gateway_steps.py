import os
import random
import time
from collections import Counter

from behave import given, then, when

from burdockwall.errors import Code, RequestRefused
from burdockwall.platform.codec import PlatformCodec
from burdockwall.process.endpoints import (
    EndpointPublisher,
    ListedEndpoint,
    ListFollower,
    PublishEndpoints,
)
from burdockwall.process.limits.excess import ExcessBudget, ToleratedExcess
from burdockwall.process.scheduling.balance import Balancer
from burdockwall.process.scheduling.hedge_delay import HedgeDelay
from burdockwall.process.sink import LINES_LIMIT, LineSink
from burdockwall.types import (
    Address,
    CustomerId,
    EndpointId,
    FailureDomain,
    Incarnation,
    InstanceId,
    RouteName,
    ServiceName,
    Term,
)
from burdockwall.version.deployment import (
    Deployment,
    DeploymentView,
    HostRoute,
    RequestKind,
    ServiceShare,
    choose_service,
)
from features.subjects.fallback_shares import create_limit, find_fullest_window
from features.subjects.gateway import BalancedRequests, FakeExchange

CUSTOMER = CustomerId("one")
ROUTE = RouteName("lookup")


@given('the routes "{first}" and "{second}" of host "{host}"')
def step_routes(context, first, second, host):
    routes = tuple(
        HostRoute(
            name=RouteName(prefix),
            host=host,
            prefix=prefix,
            kind=RequestKind.SAFE,
            timeout_s=1.0,
            rank=0,
            shares=(ServiceShare(ServiceName("s"), 1),),
            max_attempts=1,
            retains_turns=False,
            retention_s=60.0,
            open=True,
        )
        for prefix in (first, second)
    )
    context.view = DeploymentView(Deployment(1, routes, {}, ()))


@then('"{host}" and "{path}" lead to "{route}"')
def step_route(context, host, path, route):
    match = context.view.find_route(host, path)
    assert (match.name if match else "none") == route


@given('shares of {first:d} for "{old}" and {second:d} for "{new}"')
def step_shares(context, first, old, second, new):
    context.shares = (
        ServiceShare(ServiceName(old), first),
        ServiceShare(ServiceName(new), second),
    )


@then('of {count:d} requests {low:d} to {high:d} in 100 go to "{service}"')
def step_split(context, count, low, high, service):
    chosen = [choose_service(context.shares, f"r{n}") for n in range(count)]
    again = [choose_service(context.shares, f"r{n}") for n in range(count)]
    assert chosen == again
    share = 100 * chosen.count(service) / count
    assert low <= share <= high, share


@given(
    "{instances:d} instances and a tolerated excess of {requests:d} requests and a "
    "tenth in {window_s:d} s"
)
def step_excess(context, instances, requests, window_s):
    context.excess = ToleratedExcess(window_s, 0.1, requests)
    context.budgets = [ExcessBudget(context.excess) for _ in range(instances)]


@when(
    "each is asked {rate:d} times a second for {seconds:d} s "
    "to admit a request in excess"
)
def step_ask_excess(context, rate, seconds):
    limit = create_limit(10, 10)
    generator = random.Random(7)
    starts = [generator.uniform(0, 5) for _ in context.budgets]
    context.granted = []
    for step in range(rate * seconds):
        now = step / rate
        for start, budget in zip(starts, context.budgets, strict=True):
            instances = len(context.budgets)
            if now >= start and budget.take(CUSTOMER, limit, instances, now):
                context.granted.append(now)


@then(
    "no window of {window_s:d} s has more excess than is tolerated for {rate:d} a "
    "second and burst {burst:d}"
)
def step_windows(context, window_s, rate, burst):
    excess = context.excess
    tolerated = excess.requests + excess.share * (rate * window_s + burst)
    worst = find_fullest_window(context.granted, window_s)
    assert 0 < worst <= tolerated, worst


@given("{count:d} endpoints with {slots:d} slots")
def step_endpoints(context, count, slots):
    context.balanced = BalancedRequests(count, slots)


@then("a program is sent to one endpoint by every instance")
def step_affinity(context):
    chosen = {
        context.balanced.choose(Balancer(FailureDomain("a"), random.Random(n)))
        for n in range(9)
    }
    assert len(chosen) == 1
    context.chosen = chosen.pop()


@when("that endpoint has {more:d} more requests than the others")
def step_busy(context, more):
    for _ in range(more):
        context.balanced.balancer.record_start(context.chosen)


@then("the program is sent to another one")
def step_other(context):
    assert context.balanced.choose(context.balanced.balancer) != context.chosen


@when("the first endpoint fails {count:d} times")
def step_fail(context, count):
    for _ in range(count):
        context.balanced.balancer.record_failure(
            context.balanced.endpoints[0].name, 0.0
        )


@then("no request is sent to the first endpoint for {seconds:f} s")
def step_avoided(context, seconds):
    chosen = context.balanced.count_chosen(seconds)
    assert context.balanced.endpoints[0].name not in chosen, chosen


@then("requests are sent to the first endpoint after {seconds:f} s")
def step_tried_again(context, seconds):
    chosen = context.balanced.count_chosen(seconds)
    assert isinstance(chosen, Counter)
    assert context.balanced.endpoints[0].name in chosen, chosen


@then('a request with "{header}" "{value}" is refused as malformed')
def step_malformed(context, header, value):
    check_malformed(header, value)


@then('a request with "{header}" "" is refused as malformed')
def step_malformed_empty(context, header):
    check_malformed(header, "")


def check_malformed(header, value):
    headers = {"x-request-id": "1", "x-program-id": "p", "x-token-usage": "5,5"}
    headers[header] = value
    try:
        PlatformCodec().read_request(FakeExchange(headers))
    except RequestRefused as error:
        assert error.code is Code.BAD_REQUEST
    else:
        raise AssertionError("the request was accepted")


@given("a pipe whose reader has stalled")
def step_pipe(context):
    reader, writer = os.pipe()
    context.add_cleanup(os.close, reader)
    context.add_cleanup(os.close, writer)
    context.sink = LineSink(writer, time.monotonic)


@when("{count:d} lines are logged")
def step_log(context, count):
    started = time.monotonic()
    for number in range(count):
        context.sink.put(f"line {number} {'x' * 200}", ordinary=number % 2 == 0)
        if number % 100 == 0:
            context.sink.drain()
    context.seconds = time.monotonic() - started


@then("logging took less than {limit_s:d} s and lines were dropped")
def step_left_out(context, limit_s):
    assert context.seconds < limit_s, context.seconds
    assert context.sink.dropped > 0


@then("lines of refused requests are the last to be dropped")
def step_order(context):
    queued = [line for line in context.sink._lines if line.startswith(b"line ")]
    refused = [line for line in queued if int(line.split()[1]) % 2]
    assert len(refused) > LINES_LIMIT // 2, len(refused)


LISTED = [
    ListedEndpoint(
        EndpointId("e"), ServiceName("s"), Address("h:1"), FailureDomain("a"), 1
    )
]


def publish(context, names, now):
    followers = [
        ListFollower(InstanceId(name), Incarnation(number)) for name, number in names
    ]
    event = PublishEndpoints(Term(1), LISTED, followers)
    return [send.to for send in context.publisher.handle(event, now)]


@given("a publisher that has sent its list to {count:d} instances")
def step_publisher(context, count):
    context.publisher = EndpointPublisher()
    context.names = [(f"i{number}", 1) for number in range(count)]
    assert len(publish(context, context.names, 1.0)) == count


@when("a third instance joins and the second restarts 0.1 s later")
def step_join(context):
    context.receivers = publish(context, [("i0", 1), ("i1", 2), ("i2", 1)], 1.1)


@then("the list is sent to these two only")
def step_just_two(context):
    assert context.receivers == ["i1", "i2"], context.receivers


@given("answers of one route that take {low_ms:d} to {high_ms:d} ms")
def step_answer_times(context, low_ms, high_ms):
    generator = random.Random(3)
    context.hedge_delay = HedgeDelay()
    for _ in range(200):
        context.hedge_delay.record(ROUTE, generator.uniform(low_ms, high_ms) / 1000)


@then("a request is sent to another endpoint after {low_ms:d} to {high_ms:d} ms")
def step_hedge_delay(context, low_ms, high_ms):
    assert low_ms <= context.hedge_delay.compute_delay_s(ROUTE) * 1000 <= high_ms


@when("answers take {seconds:d} s from now on, and each is timed out")
def step_slower(context, seconds):
    for _ in range(20):
        context.hedge_delay.record(
            ROUTE, min(seconds, context.hedge_delay.compute_delay_s(ROUTE))
        )


@then("another route has no hedge delay")
def step_other_route(context):
    assert context.hedge_delay.compute_delay_s(RouteName("another")) is None


@given(
    "{count:d} endpoints with {slots:d} slots, of which the third has an open "
    "connection"
)
def step_connected(context, count, slots):
    context.balanced = BalancedRequests(count, slots)
    context.third = context.balanced.endpoints[2]
    context.balanced.balancer.is_connected = lambda address: (
        address == context.third.address
    )


@then("every request without a program is sent to the third endpoint")
def step_all_third(context):
    assert set(context.balanced.count_chosen(1.0)) == {context.third.name}


@when("the third endpoint has {count:d} more requests than the others")
def step_third_busy(context, count):
    for _ in range(count):
        context.balanced.balancer.record_start(context.third.name)


@then("no request without a program is sent to the third endpoint")
def step_none_third(context):
    assert context.third.name not in context.balanced.count_chosen(1.0)
