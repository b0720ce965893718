from behave import given, then, when

from features.subjects.version_network import LeaderUnderTest, TwoQuestions, run_days


@when(
    "streams break off and are taken up elsewhere on the days of seeds {first:d} to "
    "{last:d}"
)
def step_days(context, first, last):
    context.counts = run_days(range(first, last + 1), confirms=True)


@when(
    "the same is done on the days of seeds {first:d} to {last:d} by the instances' own "
    "lists"
)
def step_unconfirmed_days(context, first, last):
    context.unconfirmed = run_days(range(first, last + 1), confirms=False)


@then("none of them goes on at another version than its own")
def step_none_wrong(context):
    assert context.counts.wrong == 0 < context.counts.right, context.counts


@then("only by their own lists some go on at another version than their own")
def step_some_wrong(context):
    assert context.counts.wrong == 0 < context.unconfirmed.wrong, context.unconfirmed


@then("with the confirmation at least {share:g} times as many go on")
def step_share(context, share):
    counts, unconfirmed = context.counts, context.unconfirmed
    assert counts.right >= share * unconfirmed.right, (counts, unconfirmed)


@given('a leader of term 1 that has listed "{version}" since 0 s')
def step_leader(context, version):
    context.leader = LeaderUnderTest(version)


@when("it is asked at {now_s:g} s, and then {event}")
def step_asked(context, now_s, event):
    context.answer = context.leader.ask(now_s, event)


@then("it answers {answer}")
def step_answer(context, answer):
    assert context.answer == answer, context.answer


@given("an instance that asks the leader for two requests")
def step_two_questions(context):
    context.questions = TwoQuestions()


@when("the leader answers the first of them")
def step_first_answered(context):
    context.questions.answer_first()


@then("the second one still waits, and is asked again after {resend_s:g} s")
def step_second_waits(context, resend_s):
    assert context.questions.answered == [1]
    assert context.questions.list_asked_again(resend_s) == [2]
