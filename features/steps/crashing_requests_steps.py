import anyio
from behave import given, then, when

from features.subjects.crashing_requests import (
    Callers,
    create_tools,
    find_third_crash,
    list_arrivals,
)
from features.subjects.platform import PlatformSite


@given('a site with five tool servers that crash on "{text}"')
def step_site(context, text):
    context.site = PlatformSite(tools=create_tools(text.encode()))
    context.add_cleanup(context.site.close)
    context.site.start()


@when('the body "{body}" comes each {interval:g} s at both instances for {seconds:d} s')
def step_comes(context, body, interval, seconds):
    context.body = body.encode()
    context.callers = Callers(context.site)
    anyio.run(context.callers.send_repeatedly, context.body, interval, seconds)


@then(
    "{seconds:d} s after the third crash at most {most:d} more such requests were sent"
)
def step_bound(context, seconds, most):
    tools = context.site.tools
    begins_at = find_third_crash(tools) + seconds
    arrivals = [at for at in list_arrivals(tools, context.body) if at > begins_at]
    assert len(arrivals) <= most, (len(arrivals), [len(t.crash_times) for t in tools])
