from behave import given, then, when

from features.subjects.fallback_shares import find_fullest_window
from features.subjects.succession import Succession


@given(
    "a customer of {rate:d} requests a second and burst {burst:d} whose owner leads "
    "until {until:d} s"
)
def step_owner(context, rate, burst, until):
    context.succession = Succession(rate, burst, float(until))


@when("another leads from {since:d} s, and all grants are spent as late as they may be")
def step_succeed(context, since):
    assert context.succession.until == since


@then(
    "under overload from {start:d} s on no window of 5 s has more than {most:d} "
    "requests"
)
def step_window(context, start, most):
    spent = context.succession.simulate(float(start))
    assert 0 < find_fullest_window(sorted(spent), 5.0) <= most + 1


@then("the new one grants within {limit_s:f} s")
def step_soon(context, limit_s):
    granted_at = context.succession.first_later_grant_at
    assert granted_at - context.succession.until <= limit_s, granted_at
