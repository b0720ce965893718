from behave import given, then, when

from features.subjects.fleet_kill import FleetKillSubject


@given("a fleet of three processes")
def step_start(context):
    context.subject = FleetKillSubject()
    context.subject.start()


@when("{count:d} programs run a turn through one process of the fleet")
def step_first(context, count):
    context.count = count
    context.subject.run_first_turns(count)


@when(
    "that process is killed with {turns:d} further turns and {filings:d} filings"
    " in flight"
)
def step_kill(context, turns, filings):
    context.subject.kill_during_calls(turns, filings)


@then("every program continues through another process with its complete history")
def step_continue(context):
    for number in range(context.count):
        answer = context.subject.repeat_second_turn(number)
        assert answer == context.subject.compute_second_answer(number), number


@then("every filing that was in flight has run at most once, although it is resent")
def step_filings(context):
    subject = context.subject
    subject.resend_filings()
    for name, outcomes in subject.filings.items():
        assert subject.service.run_counts[name] <= 1, (name, outcomes)
    assert sum(subject.service.run_counts.values()), subject.filings


@then("a drain without the operator's token is refused with code {code:d}")
def step_drain(context, code):
    assert context.subject.drain_without_token() == code


@then("the killed process restarts with its disk and serves again")
def step_restart_killed(context):
    context.subject.restart_killed()
