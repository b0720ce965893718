from behave import given, then, when

from burdockwall.process.limits.retry_after import RetryAfterTimes
from features.subjects.fallback_shares import create_limit
from features.subjects.retry_after import CUSTOMER, OverloadingCustomer


@given(
    "programs of {requests:d} requests whose customer asks for {times:f} times its "
    "rate for {seconds:d} s"
)
def step_programs(context, requests, times, seconds):
    context.customer = OverloadingCustomer(requests, times, float(seconds))


@when(
    "{seeds:d} seeds are played with times of their own, and with the same time for all"
)
def step_play(context, seeds):
    context.with_spread = context.customer.measure(range(seeds), spread=True)
    context.without_spread = context.customer.measure(range(seeds), spread=False)


@then("less than {percent:d} in 100 are lost with times of their own")
def step_lost(context, percent):
    assert context.with_spread < percent / 100, context.with_spread


@then("more than twice as many would be lost with the same time for all")
def step_lost_more(context):
    assert context.without_spread > 2 * context.with_spread, (
        context.without_spread,
        context.with_spread,
    )


@given("a customer of {rate:d} requests a second that {instances:d} instances refuse")
def step_customer(context, rate, instances):
    context.limit, context.instances = create_limit(rate, rate), instances
    context.retry_after_times = RetryAfterTimes()


def choose_ms(context, now):
    chosen = context.retry_after_times.choose(
        CUSTOMER, context.limit, context.instances, now
    )
    return round(chosen * 1000)


@then("refused callers are told to come back after 100, 600, 1100 and 1200 ms")
def step_times(context):
    told = [choose_ms(context, 10.0) for _ in range(4)]
    assert told == [100, 600, 1100, 1200], told


@then("one that is refused {seconds:d} s later is told {expected:d} ms")
def step_later(context, seconds, expected):
    assert choose_ms(context, 10.0 + seconds) == expected
