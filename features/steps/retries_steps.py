from behave import given, then, when

from burdockwall.process.limits.retries import compute_backoff_s
from burdockwall.types import CustomerId, PoolName
from features.subjects.retries import RetrySubject


@given("a retry budget with share {share:g} and reserve {reserve:d}")
def step_retry_budget(context, share, reserve):
    context.subject = RetrySubject(share, reserve)


@when("{count:d} requests fail within one window and each wants {retries:d} retries")
def step_retry_fail(context, count, retries):
    context.subject.fail_requests(count, retries)


@when("one customer spends its whole retry budget")
def step_retry_spend(context):
    context.subject.spend()


@when("the retry window passes {count:d} times")
def step_retry_pass(context, count):
    context.subject.now += count * context.subject.policy.window_s


@then("the retry budget has allowed at most {most:d} retries and at least {least:d}")
def step_retry_check(context, most, least):
    assert least <= context.subject.allowed <= most, context.subject.allowed


@then("another customer and another pool still have a retry")
def step_retry_others(context):
    assert not context.subject.take()
    assert context.subject.take(customer=CustomerId("other"))
    assert context.subject.take(pool=PoolName("other"))


@then("that customer has a retry again")
def step_retry_again(context):
    assert context.subject.take()


@then("{count:d} backoffs of attempt {attempt:d} spread from 0 to {limit:g} s")
def step_retry_spread(context, count, attempt, limit):
    subject = context.subject
    waits = [
        compute_backoff_s(attempt, subject.policy, subject.random) for _ in range(count)
    ]
    assert min(waits) < 0.05 * limit
    assert 0.95 * limit < max(waits) <= limit
    assert 0.45 * limit < sum(waits) / count < 0.55 * limit


@then("a backoff with a Retry-After of {seconds:d} s is never shorter than it")
def step_retry_after(context, seconds):
    subject = context.subject
    for attempt in range(1, 20):
        wait = compute_backoff_s(attempt, subject.policy, subject.random, seconds)
        assert seconds <= wait <= seconds + subject.policy.backoff_limit_s
