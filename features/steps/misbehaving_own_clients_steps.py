from behave import given, then, when

from features.subjects.own_limited_site import OwnPlay, come


@given("a real process {transport} TLS")
def step_process(context, transport):
    context.play = OwnPlay(transport == "with")


@when("a crowd comes to the process with {text}")
def step_crowd(context, text):
    async def act(play):
        context.crowd = await come(play, text)

    context.play.run(act)
    context.crowd.close()


@then("the process lives within its machine")
def step_check_excesses(context):
    play = context.play
    assert not play.excesses, f"{play.excesses}\n{play.usage}\n{play.log}"


@then("an ordinary request to the process is answered meanwhile")
def step_check_answered(context):
    assert context.play.answered, context.play.log
