from behave import then, when

from features.subjects.resumed_requests import LaterAttempt


@when("a request is resumed whose first attempt is running and then ends as not sent")
def step_resume(context):
    context.subject = LaterAttempt()
    context.subject.run(resumes=True)


@when("a caller tries again whose first attempt is running and then ends as not sent")
def step_try_again(context):
    context.subject = LaterAttempt()
    context.subject.run(resumes=False)


@then("it is not sent")
def step_not_sent(context):
    assert not context.subject.sent


@then("it is sent")
def step_sent(context):
    assert context.subject.sent
