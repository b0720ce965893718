from behave import given, then, when

from features.subjects.endpoint_limits import count_fullest_window, run_load

WINDOW_S = 4.0


@given('the first tool server names a limit of "{limit}"')
@when('the first tool server names a limit of "{limit}"')
def step_limit(context, limit):
    context.site.tools[0].rate_limit = limit


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


@then("every answer of the load is {status:d}")
def step_answers(context, status):
    others = [item for item in context.load.statuses if item != status]
    assert not others, others
