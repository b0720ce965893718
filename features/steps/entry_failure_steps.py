import re

from behave import given, then, when

from burdockwall.request.completion import join_answer
from features.subjects.entry_failures import (
    GRACE_S,
    SILENCE_S,
    STALL_S,
    EntryFailureSubject,
    create_failure_plan,
    create_version_plan,
)

# The answer waits SILENCE_S once, until the silence is noticed, and itself takes a
# fraction of that time.
ANSWER_LIMIT_S = 2 * SILENCE_S
# The answer waits STALL_S once.
STALL_LIMIT_S = 2 * STALL_S


@given("an entry site with {count:d} engines")
def step_site(context, count):
    context.subject = EntryFailureSubject(create_failure_plan(count))


@given('an entry site with engines of the versions "{versions}"')
def step_version_site(context, versions):
    context.subject = EntryFailureSubject(create_version_plan(versions.split()))


@given(
    "an entry site with {count:d} engines of which engine {serving:d} serves the model"
)
def step_asset_site(context, count, serving):
    plan = create_failure_plan(count)
    plan.assets = {
        number: ("inspector",) if number == serving else ("cellar",)
        for number in range(1, count + 1)
    }
    context.subject = EntryFailureSubject(plan)


@when("a caller asks for the model that no engine serves")
def step_ask_unserved(context):
    run(context, context.subject.ask_refused)


@then("the entry caller is refused with code {code:d} as not run")
def step_refused(context, code):
    assert context.subject.outcomes == [f"503 {code} not run"]


@then("only engine {serving:d} has run them")
def step_only(context, serving):
    for number, engine in enumerate(context.subject.plan.engines, 1):
        assert bool(engine.request_counts) == (number == serving), number


def run(context, method, *arguments):
    async def act(site, client, path):
        await method(site, client, path, *arguments)

    context.subject.run(act)


@when("an engine is killed in the middle of each of {count:d} answers")
def step_kill(context, count):
    run(context, context.subject.kill_engines, count)


@when(
    "an engine that starts from the beginning is interrupted in the middle of an answer"
)
def step_start_over(context):
    run(context, context.subject.start_over)


@then("the entry answer ends with code {code:d} and no token is duplicated")
def step_ends(context, code):
    (result,) = context.subject.results
    events, _, error = result.received.partition(b"event: error\n")
    assert f'"code":{code}'.encode() in error, result
    assert result.compute_expected().startswith(join_answer(events)), result


@when('the engine starts again as version "{version}" in the middle of an answer')
def step_replace(context, version):
    run(context, context.subject.replace_engine, version)


def list_fingerprints(received):
    return set(re.findall(rb'"system_fingerprint":"(.*?)"', received))


@then("every answer holds events of one version")
def step_one_version(context):
    for result in context.subject.results:
        assert len(list_fingerprints(result.received)) == 1, result


@then("interrupted answers end with code {code:d} and hold events of one version")
def step_interrupted(context, code):
    step_one_version(context)
    interrupted = [
        result
        for result in context.subject.results
        if not result.received.endswith(b"data: [DONE]\n\n")
    ]
    assert interrupted
    for result in interrupted:
        _, _, error = result.received.partition(b"event: error\n")
        assert f'"code":{code}'.encode() in error, result


@when("the open connections go silent in the middle of an answer")
def step_silence(context):
    run(context, context.subject.silence_streams)


STALLS = {"a byte": b":", "a comment block": b": still here\n\n"}


@when("the engine stalls in the middle of an answer, but sends {what} now and then")
def step_stall(context, what):
    run(context, context.subject.stall_engine, STALLS[what])


@then("the answer came within the stall bound")
def step_stall_bound(context):
    assert STALL_S < context.subject.seconds < STALL_LIMIT_S, context.subject.seconds


@when("the engine sends each token after {token_s:f} s, and comments meanwhile")
def step_slow(context, token_s):
    run(context, context.subject.slow_engine, token_s)


@when(
    "{count:d} callers ask one after the other, and a copy of each answer arrives late"
)
def step_repeat(context, count):
    run(context, context.subject.repeat_answers, count)


@when("a plain service breaks its answer off halfway")
def step_cut_service(context):
    run(context, context.subject.cut_service)


@then("the caller of the service has no whole answer")
def step_no_whole_answer(context):
    assert context.subject.outcomes == ["broken off"], context.subject.outcomes


@when("the idle connections go silent before an answer")
def step_silence_idle(context):
    run(context, context.subject.silence_idle)


@when("{count:d} callers ask at the same time at different paces")
def step_ask_concurrently(context, count):
    run(context, context.subject.ask_concurrently, count)


@when("a caller leaves after {events:d} events and rejoins with the last event id")
def step_rejoin(context, events):
    run(context, context.subject.rejoin, events)


@when("a caller leaves after {events:d} events and does not rejoin")
def step_leave(context, events):
    run(context, context.subject.leave, events)


@when("two callers send different bodies for one turn")
def step_race(context):
    run(context, context.subject.race)


@when("the instance drains while {count:d} callers are answered")
def step_drain(context, count):
    run(context, context.subject.drain_under_load, count)


@then("every entry answer is complete, with no token lost or duplicated")
def step_whole(context):
    assert context.subject.results
    for result in context.subject.results:
        assert result.status == 200, result
        assert result.answer == result.compute_expected(), result
        assert result.received.endswith(b"data: [DONE]\n\n"), result
        ids = [
            int(line[4:])
            for line in result.received.splitlines()
            if line.startswith(b"id: ")
        ]
        assert ids == list(range(1, len(ids) + 1)), ids


@then("the answer came within the silence bound")
def step_bound(context):
    assert context.subject.seconds < ANSWER_LIMIT_S, context.subject.seconds


@then("the engine has run the turn once")
def step_runs(context):
    assert context.subject.engine_runs == 1, context.subject.engine_runs


@then("the engine's stream is closed within the abandon grace")
def step_closed(context):
    assert context.subject.open_streams_after_grace == 0, GRACE_S


@then("one entry caller wins and the other is refused as not run")
def step_race_outcome(context):
    outcomes = sorted(context.subject.outcomes)
    assert outcomes == ["200", "409 1204 not run"], outcomes


@then("later callers are refused with code {code:d} or find no listener")
def step_late(context, code):
    outcomes = context.subject.outcomes
    assert outcomes and set(outcomes) <= {str(code), "no listener"}, outcomes
