from behave import given, then, when

from features.subjects.extra_answers import (
    ExtraAnswers,
    UnnamedAnswers,
    ask_own_interface,
)


@given("an endpoint that writes a refusal with {named} once more")
def step_extra(context, named):
    context.subject = ExtraAnswers(named)


@when("it comes whole before the own answer, in two reads divided at each byte")
def step_split(context):
    context.subject.run_split()


@when("it is cut at each byte, with the own answer right behind it")
def step_cut_extra(context):
    context.subject.run_cut()


@then("every caller got its own answer")
@then("no caller was told that its request has not run")
def step_extra_faults(context):
    faults = context.subject.faults
    assert not faults, f"{len(faults)}: {faults[:3]}"


@given("an endpoint whose answers name no request")
def step_unnamed(context):
    context.subject = UnnamedAnswers()


@when("{count:d} requests are sent to it")
def step_send_unnamed(context, count):
    context.subject.run(count)


@then("each caller got its answer, over a connection of its own")
def step_unnamed_views(context):
    views = context.subject.views
    assert all(view.status == 200 and view.body == b"ok" for view in views), views
    assert context.subject.opened == len(views)


@given("an endpoint of the own interface that names the request of its first answer")
def step_own(context):
    context.unknown = None


@when("it answers the second request with a refusal with {named}")
def step_own_extra(context, named):
    context.unknown = ask_own_interface(named)


@then("the second request's outcome is unknown")
def step_own_unknown(context):
    assert context.unknown is True
