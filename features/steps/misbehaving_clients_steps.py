import asyncio
import functools
import re

from behave import given, then, when

from features.subjects import crowds
from features.subjects.crowds import BODY_BYTES, SEND_LIMIT_BYTES
from features.subjects.limited_site import Play

CROWDS = {
    r"(\d+) bodies announced as 10 GB": crowds.come_announced,
    r"(\d+) chunked bodies without end": crowds.come_chunked,
    r"(\d+) bodies in chunks of two bytes": crowds.come_in_small_chunks,
    r"(\d+) bodies that lack their last byte": crowds.come_short,
    r"(\d+) whole configurations": crowds.come_with_configurations,
    r"(\d+) unfinished heads": crowds.come_with_heads,
    r"(\d+) idle connections": crowds.come_idle,
    r"(\d+) connections of HTTP/2 without TLS": functools.partial(
        crowds.come_with_streams, streams=20
    ),
}
CALLER_CROWDS = {
    r"(\d+) whole (orders|drafts|chats)": lambda site, count, kind: crowds.come_whole(
        site, kind, int(count)
    ),
    r"(\d+) whole orders and unread answers": lambda site, count: crowds.come_whole(
        site, "orders", int(count), reads=False
    ),
    r"(\d+) series of (\d+) kept turns": lambda site, count, turns: (
        crowds.come_with_kept_turns(site, int(count), int(turns))
    ),
    r"(\d+) connections with (1 MB|64 kB) of requests sent ahead": (
        lambda site, count, size: crowds.come_ahead(
            site, int(count), 1_000_000 if size == "1 MB" else 64_000
        )
    ),
    r"(\d+) endless (answers|streams|chats)": lambda site, count, kind: (
        crowds.come_to_endless_answers(site, int(count), kind, reads=True)
    ),
    r"(\d+) endless (streams) that stay unread": lambda site, count, kind: (
        crowds.come_to_endless_answers(site, int(count), kind, reads=False)
    ),
    r"(\d+) upgrades to (websocket|h2c)": lambda site, count, protocol: (
        crowds.come_with_upgrades(site, protocol, int(count))
    ),
}


async def come(site, port, text):
    for pattern, function in CROWDS.items():
        if found := re.fullmatch(pattern, text):
            return await function(site, port, int(found[1]))
    for pattern, function in CALLER_CROWDS.items():
        if found := re.fullmatch(pattern, text):
            return await function(site, *found.groups())
    raise AssertionError(f"no crowd {text!r}")


def play_crowd(context, port, text):
    async def act(site):
        context.crowd = await come(site, port, text)

    context.play.run(act)
    context.crowd.close()


@given("real processes on small machines")
def step_site(context):
    context.play = Play()


@given("real processes on small machines with 600 descriptors")
def step_few_descriptors(context):
    context.play = Play(few_descriptors=True)


@given("real processes on small machines with an idle limit of {idle:d} seconds")
def step_idle_limit(context, idle):
    context.play = Play(idle_ms=1000 * idle)


@when("a crowd comes with {text}")
def step_crowd(context, text):
    play_crowd(context, "caller", text)


@when("a crowd comes to the {port} port with {text}")
def step_crowd_at_port(context, port, text):
    play_crowd(context, port, text)


@then("every process lives within its machine")
def step_check_excesses(context):
    play = context.play
    assert not play.excesses, f"{play.excesses}\n{play.usage}\n{play.log}"


@then("an ordinary request is answered meanwhile")
def step_check_answered(context):
    assert context.play.answered, context.play.log


@then("each of the crowd was sent away before it had sent all")
def step_check_sent_away(context):
    sent = [member.sent_bytes for member in context.crowd.members]
    assert all(item < SEND_LIMIT_BYTES for item in sent), sent


@when("the largest request is sent to {path}, {form}")
def step_send_largest(context, path, form):
    async def act(site):
        body = b"x" * BODY_BYTES
        context.answer = await site.send_ordinary(path, body, form == "in chunks")

    context.play.run(act)


@then("the largest request was answered")
def step_check_largest(context):
    assert context.answer is not None, context.play.log


@when("a connection that has had an answer stays idle for {idle:d} seconds")
def step_stay_idle(context, idle):
    async def act(site):
        kept = await crowds.keep_connection(site)
        await asyncio.sleep(idle)
        context.statuses = [await kept.ask()]

    context.play.run(act)


@when("a connection that has had an answer stays idle while a head is unfinished")
def step_stay_idle_beside_head(context):
    async def act(site):
        kept = await crowds.keep_connection(site)
        context.statuses = [await crowds.wait_for_head_end(site), await kept.ask()]

    context.play.run(act)


@then("it serves another request")
@then("the unfinished head is closed, and the idle connection serves another request")
def step_check_kept(context):
    assert set(context.statuses) <= {200, None}, context.statuses
    assert context.statuses[-1] == 200, context.statuses
