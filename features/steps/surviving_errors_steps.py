from behave import given, then, when

from features.subjects.surviving_errors import NEW_RATE_PER_S, SurvivingSite

END_LIMIT_S = 5.0


@given("a site whose instances record how they end")
def step_site(context):
    context.site = SurvivingSite()
    context.add_cleanup(context.site.close)
    context.site.start()


@when("{work} raises {times:d} times at each instance that does it")
def step_raise(context, work, times):
    context.site.raise_in(work, times)


@when('"/new/" is added while {work} raises {times:d} times at instance 1')
def step_add(context, work, times):
    context.site.add_route(work, times)


@when("a write of control instance {number:d} fails")
def step_fail_write(context, number):
    context.site.fail_write(number)


@when("store {number:d} can't encode a record")
def step_fail_encoding(context, number):
    context.site.fail_encoding(number)


@when("the ledger of store {number:d} raises at a message")
def step_fail_ledger(context, number):
    context.site.fail_ledger(number)


@then("every instance still runs")
def step_runs(context):
    site = context.site
    assert not site.ended and site.failure is None, (site.ended, site.failure)


@then('"{path}" is answered {status:d} by both entry instances')
def step_both(context, path, status):
    for instance in (1, 2):
        assert context.site.ask(path, instance) == status


@then('"{path}" is answered {status:d} by instance {instance:d} within {limit_s:g} s')
def step_answered(context, path, status, instance, limit_s):
    site = context.site
    assert site.wait_for(lambda: site.ask(path, instance) == status, limit_s)


@then("instance 1 has the rates of that configuration")
def step_rates(context):
    assert NEW_RATE_PER_S in context.site.read_rates(), context.site.read_rates()


@then('"{name}" ends with the code {code:d}')
def step_ends(context, name, code):
    site = context.site
    assert site.wait_for(lambda: name in site.ended, END_LIMIT_S), site.ended
    assert code in site.list_codes(name), site.ended
    others = {key: value for key, value in site.ended.items() if key != name}
    assert not others, others
