import socket
from unittest.mock import patch

import anyio
import grpclib.client
from behave import given, then, when

from burdockwall.connection.peers import PeerLink
from burdockwall.connection.wire import PROTOCOL
from burdockwall.fakes import ports
from burdockwall.fakes.ports import find_address
from burdockwall.process.membership.messages import Ping
from burdockwall.types import Address, Incarnation, InstanceId
from features.subjects.peers import (
    ARRIVAL_LIMIT_S,
    AnswersSubject,
    OvertakingSubject,
    PeersSubject,
    RestartSubject,
    SlowLinkSubject,
    WaitingSubject,
)


@given("two instances that exchange messages over a path")
def step_peers(context):
    context.subject = PeersSubject()


@when("their open connection goes silent and messages continue to be sent")
def step_silence(context):
    context.subject.run(context.subject.silence)


@when("the listening instance restarts and messages continue to be sent")
def step_restart(context):
    context.subject.run(context.subject.restart)


@then("a message arrives over a new connection within the silence bound")
def step_arrives(context):
    subject = context.subject
    assert subject.replacements >= 1
    assert subject.seconds < ARRIVAL_LIMIT_S, subject.seconds


def reserve_neighbours(count, reserved):
    """Reserve the first of some neighbouring ports, or return None if one is taken."""
    first = int(find_address().rpartition(":")[2])
    neighbours = range(first + 1, first + 1 + count)
    others = [socket.socket(socket.AF_UNIX) for _ in neighbours]
    try:
        for other, port in zip(others, neighbours, strict=True):
            other.bind(f"\0burdockwall-port-{port}")
    except OSError:
        for other in others:
            other.close()
        return None
    for other in others[reserved:]:
        other.close()
    return neighbours, others[:reserved]


@given("{count:d} ports of which another process has reserved {reserved:d}")
def step_ports(context, count, reserved):
    found = None
    while found is None:
        found = reserve_neighbours(count, reserved)
    context.ports, context.others = found


@then("the chosen address has the fourth port")
def step_fourth(context):
    with patch.object(ports, "PORTS", context.ports):
        assert find_address() == f"127.0.0.1:{context.ports[-1]}"
    for other in context.others:
        other.close()


@given(
    "a link to a machine that answers no connection, with a silence bound of "
    "{silence_s:d} s"
)
def step_link(context, silence_s):
    context.tried = 0
    address = Address("127.0.0.1:1")
    context.link = PeerLink(
        InstanceId("a"),
        Incarnation(1),
        address,
        float(silence_s),
        None,
        lambda messages: None,
    )


@when("a message waits for {seconds:f} s")
def step_wait(context, seconds):
    async def connect(channel):
        context.tried += 1
        await anyio.sleep_forever()

    async def wait():
        context.link.enqueue(Ping(1))
        with anyio.move_on_after(seconds):
            await context.link.run()

    with patch.object(grpclib.client.Channel, "__connect__", connect):
        anyio.run(wait)


@when("a message waits for {seconds:f} s, and the peer is heard after {heard_s:f} s")
def step_wait_heard(context, seconds, heard_s):
    tried_at = []

    async def connect(channel):
        tried_at.append(anyio.current_time())
        await anyio.sleep_forever()

    async def hear():
        await anyio.sleep(heard_s)
        context.heard_at = anyio.current_time()
        context.link.record_heard(Incarnation(1))

    async def wait():
        context.link.enqueue(Ping(1))
        with anyio.move_on_after(seconds):
            async with anyio.create_task_group() as group:
                group.start_soon(hear)
                await context.link.run()

    with patch.object(grpclib.client.Channel, "__connect__", connect):
        anyio.run(wait)
    context.tried_at = tried_at


@then("a connection was tried within {limit_s:f} s of that")
def step_tried_soon(context, limit_s):
    after = [at - context.heard_at for at in context.tried_at if at > context.heard_at]
    assert after and after[0] <= limit_s, after


@then("at least {least:d} connections were tried")
def step_tried(context, least):
    assert context.tried >= least, context.tried


@given("two instances, of which the sender's build {reads}")
def step_answers(context, reads):
    context.answers = AnswersSubject()
    context.sends_protocol = reads.startswith("reads")


@when("it sends {count:d} questions, one after another")
def step_ask(context, count):
    protocol = PROTOCOL if context.sends_protocol else 0
    with patch("burdockwall.connection.peers.PROTOCOL", protocol):
        anyio.run(context.answers.ask, count)
    context.asked = count


@when(
    "it sends {count:d} questions that are answered after {write_s:g} s, "
    "one after another"
)
def step_ask_late(context, count, write_s):
    anyio.run(context.answers.ask, count, write_s)
    context.asked = count


@then("each is answered, and the answers took {batches:d} batches of their own")
def step_batches(context, batches):
    assert context.answers.answered == list(range(context.asked))
    assert context.answers.batches == batches, context.answers.batches


@when("{count:d} messages of {size:d} bytes wait for an instance that is down")
def step_wait(context, count, size):
    context.waiting = WaitingSubject()
    context.waiting.run(count, size)


@then("at most {size:d} MB of them wait, the latest one among them")
def step_check_bytes(context, size):
    waiting = context.waiting.waiting
    held = sum(len(message.entries[0].payload.data) for message in waiting)
    assert held <= size * 1_000_000, held
    assert waiting[-1].entries[0].index == 100


@then("{count:d} of them wait, the latest one among them")
def step_check_count(context, count):
    waiting = context.waiting.waiting
    assert len(waiting) == count, len(waiting)
    assert waiting[-1].entries[0].index == 5000


@given("a path that carries {mbit_per_s:d} Mbit/s, and a silence bound of 1 s")
def step_slow_path(context, mbit_per_s):
    context.bytes_per_s = mbit_per_s * 1_000_000 / 8
    context.slow_link = SlowLinkSubject(context.bytes_per_s)


@when("{count:d} messages of {size:d} bytes are sent at once")
def step_send_large(context, count, size):
    context.slow_link.run(count, size, 8.0)
    context.sent_count = count


@then("each arrives within 8 s, over one connection")
def step_all_arrive(context):
    link = context.slow_link
    assert link.arrived == list(range(1, context.sent_count + 1)), link.arrived
    assert link.connections == 1, link.connections


@when(
    "a message of {size:d} bytes is on its way to an instance that then asks something"
)
def step_overtake(context, size):
    context.overtaking = OvertakingSubject(context.bytes_per_s)
    context.overtaking.run(size)


@then("that message arrives before the answer")
def step_in_order(context):
    assert context.overtaking.arrived == ["Append", "Pong"], context.overtaking.arrived


@given("an instance whose connection hangs with messages on their way")
def step_hanging(context):
    context.restart = RestartSubject()


@when("it starts again and asks something")
def step_start_again(context):
    context.restart.run()


@then("it is answered within {limit_s:g} s")
def step_answered_soon(context, limit_s):
    assert context.restart.answered_after_s <= limit_s, context.restart.answered_after_s
