from behave import given, then, when

from burdockwall.process.limits.events import Admitted, Limit, Reason, Refused
from features.subjects.limits import UNITS_PER_REQUEST
from features.subjects.limits_cases import CUSTOMER, CaseSubject


@given(
    "limits on {count:d} instances for a customer with rate {rate:d}"
    " and burst {burst:d}"
)
def step_limits(context, count, rate, burst):
    context.subject = CaseSubject(count, rate, burst)


@when("the limits are idle for {seconds:d} s")
def step_limits_idle(context, seconds):
    context.subject.idle(seconds)


@when("{count:d} limited requests come at once, spread over all instances")
def step_limits_burst(context, count):
    subject = context.subject
    for number in range(count):
        subject.ask_at(0.0, 1 + number % len(subject.limits.names))


@when("{count:d} limited requests come at once at instance {number:d}")
def step_limits_burst_at(context, count, number):
    for _ in range(count):
        context.subject.ask_at(0.0, number)


@when(
    "instance {number:d} asks for {rate:d} limited requests a second for {seconds:d} s"
)
def step_limits_load(context, number, rate, seconds):
    context.subject.load_instance(number, rate, seconds)
    context.subject.idle(seconds)


@when(
    "meanwhile instance {number:d} asks for {rate:d} limited requests a second"
    " for {seconds:d} s"
)
def step_limits_meanwhile(context, number, rate, seconds):
    subject = context.subject
    other, other_rate = subject.load
    subject.load_instance(other, other_rate, seconds)
    subject.load_instance(number, rate, seconds)
    subject.idle(seconds)


@when(
    "meanwhile instance {number:d} asks for one limited request of cost {cost:d}"
    " each 2 s for {seconds:d} s"
)
def step_limits_large(context, number, cost, seconds):
    subject = context.subject
    other, other_rate = subject.load
    subject.load_instance(other, other_rate, seconds)
    subject.load_instance(number, 0.5, seconds, cost)
    subject.idle(seconds)


@when("instance {number:d} asks for a limited request of cost {cost:d}")
def step_limits_cost(context, number, cost):
    context.subject.ask_at(0.0, number, cost)
    context.subject.idle(1)


@when(
    "instance {number:d} is cut off from the limits' owner for {seconds:d} s"
    " under the same load"
)
def step_limits_cut(context, number, seconds):
    subject = context.subject
    subject.network.isolate(subject.name(number))
    subject.since = subject.network.now
    subject.load_instance(number, subject.load[1], seconds)
    subject.idle(seconds)


@when("the limits' owner crashes under the same load for {seconds:d} s")
def step_limits_crash(context, seconds):
    subject = context.subject
    number, rate = subject.load
    subject.since = subject.network.now
    subject.load_instance(number, rate, seconds)
    context.name = subject.name(number)
    subject.limits.crash(subject.find_owner())
    subject.idle(seconds)


@when("the limits change to rate {rate:d} and burst {burst:d}")
def step_limits_change(context, rate, burst):
    limit = Limit(rate * UNITS_PER_REQUEST, burst * UNITS_PER_REQUEST)
    context.subject.limits.change_limit(CUSTOMER, limit)


@then("the limits have admitted from {least:d} to {most:d} requests")
def step_limits_admitted(context, least, most):
    admitted = context.subject.limits.admitted[CUSTOMER] / UNITS_PER_REQUEST
    assert least <= admitted <= most, admitted


@then("each limits refusal came within {seconds:g} s and has a time to retry after")
def step_limits_refusals(context, seconds):
    limits = context.subject.limits
    refused = [item for item in limits.verdicts if isinstance(item[2], Refused)]
    assert refused
    for at, _, action in refused:
        assert at - limits.called_at[action.call] <= seconds
        assert action.retry_after_s > 0


@then("no window of the limits had a request in excess")
def step_limits_exact(context):
    assert context.subject.limits.worst >= 0, context.subject.limits.worst


@then("the limits of instance {number:d} have refused none of its requests")
def step_limits_none(context, number):
    assert not context.subject.count_reasons(number)
    assert context.subject.list_verdicts(number, Admitted)


@then("the limits of instance {number:d} have refused at most {most:d} of its requests")
def step_limits_few(context, number, most):
    subject = context.subject
    assert subject.list_verdicts(number, Admitted)
    assert len(subject.list_verdicts(number, Refused)) <= most


@then(
    "the limits of instance {number:d} have admitted at least {least:d} of its requests"
)
def step_limits_some(context, number, least):
    admitted = len(context.subject.list_verdicts(number, Admitted))
    assert admitted >= least, admitted


@then(
    "the limits of instance {number:d} have admitted at most {most:d} requests"
    " while cut off"
)
def step_limits_held(context, number, most):
    context.number = number
    admitted = len(context.subject.list_verdicts(number, Admitted))
    assert admitted <= most, admitted


@then("its limits refusals have the reason that the owner is unreachable")
def step_limits_unreachable(context):
    reasons = context.subject.count_reasons(context.number)
    assert set(reasons) == {Reason.OWNER_UNREACHABLE}, reasons


@then("the limits admit again within {seconds:d} s of the crash")
def step_limits_again(context, seconds):
    subject = context.subject
    admitted = [
        at
        for at, instance, action in subject.limits.verdicts
        if instance == context.name and isinstance(action, Admitted)
    ]
    after = [at for at in admitted if at > subject.since + 1.0]
    assert after and after[0] <= subject.since + seconds, after[:1]


@then('the limits refuse it with reason "{reason}"')
def step_limits_reason(context, reason):
    assert context.subject.limits.reasons == {Reason[reason]: 1}
