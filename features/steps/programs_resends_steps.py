from behave import given, then, when

from features.subjects.programs_resends import ResendingShard


@given("a shard of a primary and one backup, {delay:g} s apart")
def step_shard(context, delay):
    context.subject = ResendingShard(delay)


@when("it is written each {interval:g} s and the third write is lost on its way")
def step_lose(context, interval):
    context.subject.write(interval, 1)


@when("it is written each {interval:g} s and the third write is lost {count:d} times")
def step_lose_again(context, interval, count):
    context.subject.write(interval, count)


@when("it is written each {interval:g} s and no write is lost")
def step_write(context, interval):
    context.subject.write(interval, 0)


@then("that write is committed within {limit:g} s")
def step_check_wait(context, limit):
    waited = context.subject.measure_wait()
    assert waited <= limit, waited


@then("every write after it is committed too")
def step_check_rest(context):
    subject = context.subject
    assert subject.committed_at.keys() == subject.proposed_at.keys()


@then("no write was sent twice")
def step_check_sent(context):
    sent = context.subject.sent
    assert sent and set(sent.values()) == {1}, sent
