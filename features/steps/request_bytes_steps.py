from behave import given, then, when

from features.subjects.request_bytes import RequestBytesSite


@given("a site whose addresses get bytes of all kinds")
def step_site(context):
    context.site = RequestBytesSite()
    context.add_cleanup(context.site.close)
    context.site.start()


@when("{count:d} requests are sent to each kind of address in turn, from seed {seed:d}")
def step_send(context, count, seed):
    context.tally = context.site.send_all(count, seed)


@then("each was answered, but not with 500, or its connection was closed")
def step_answered(context):
    tally = context.tally
    assert not tally.faults, (tally.faults[:6], dict(tally.outcomes))


@then("no instance has ended, and callers are served")
def step_served(context):
    site = context.site
    assert not site.ended and site.failure is None, (site.ended, site.failure)
    assert site.ask("/tool/1", 1) == 200
