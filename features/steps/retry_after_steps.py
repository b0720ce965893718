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
    "{seeds:d} seeds are simulated with spread retry times, and with the same for all"
)
def step_simulate(context, seeds):
    context.with_spread = context.customer.measure(range(seeds), spread=True)
    context.without_spread = context.customer.measure(range(seeds), spread=False)


@then("less than {percent:d} in 100 are lost with spread retry times")
def step_lost(context, percent):
    assert context.with_spread < percent / 100, context.with_spread


@then("more than twice as many are lost with the same for all")
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
    retry_s = context.retry_after_times.choose(
        CUSTOMER, context.limit, context.instances, now
    )
    return round(retry_s * 1000)


@then("refused callers get retry times of 100, 600, 1100 and 1200 ms")
def step_times(context):
    times_ms = [choose_ms(context, 10.0) for _ in range(4)]
    assert times_ms == [100, 600, 1100, 1200], times_ms


@then("a caller that is refused {seconds:d} s later gets {expected:d} ms")
def step_later(context, seconds, expected):
    assert choose_ms(context, 10.0 + seconds) == expected
