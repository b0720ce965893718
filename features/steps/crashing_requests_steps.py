import anyio
from behave import given, then, when

from burdockwall.fakes.servers import FakeServer
from features.subjects.crash_days import (
    CutOffInstance,
    play_crashes,
    play_days,
    play_with_fault,
)
from features.subjects.crash_network import CrashNetwork
from features.subjects.crash_suspicion import (
    OTHER_SOURCE,
    VARIANT,
    Suspicion,
    judge_two_at_once,
)
from features.subjects.crashing_requests import (
    AT_ONCE_S,
    Callers,
    create_tools,
    find_third_crash,
    list_arrivals,
)
from features.subjects.earlier_peer import EarlierPeer, read_mixed_batch
from features.subjects.platform import PlatformSite

MOST_LATE_SENDS = 3


# On a site.


@given('a site with five tool servers that crash on "{text}"')
def step_site(context, text):
    context.site = PlatformSite(tools=create_tools(text.encode()))
    context.add_cleanup(context.site.close)
    context.site.start()


@given("a site with an engine that breaks each stream off")
def step_breaking_site(context):
    engine = FakeServer("engine-1", "engines", cut_after_events=1)
    context.site = PlatformSite([engine])
    context.add_cleanup(context.site.close)
    context.site.start()


def send_repeatedly(context, body, path, interval, seconds, **details):
    context.body = body.encode()
    context.callers = Callers(context.site, path=path, **details)
    anyio.run(context.callers.send_repeatedly, context.body, interval, seconds)


@when('the body "{body}" comes each {interval:g} s at both instances for {seconds:d} s')
def step_comes(context, body, interval, seconds):
    send_repeatedly(context, body, "/tool/1", interval, seconds)


@when(
    'the body "{body}" comes at "{path}" each {interval:g} s at both instances for '
    "{seconds:d} s"
)
def step_comes_at(context, body, path, interval, seconds):
    send_repeatedly(context, body, path, interval, seconds)


@when(
    'the body "{body}" comes as a turn each {interval:g} s at both instances for '
    "{seconds:d} s"
)
def step_comes_as_turn(context, body, interval, seconds):
    send_repeatedly(context, body, "/chat/1", interval, seconds, is_turn=True)


@then(
    "{seconds:d} s after the third crash at most {most:d} more such requests were sent"
)
def step_bound(context, seconds, most):
    tools = context.site.tools
    begins_at = find_third_crash(tools) + seconds
    arrivals = [at for at in list_arrivals(tools, context.body) if at > begins_at]
    assert len(arrivals) <= most, (len(arrivals), [len(t.crash_times) for t in tools])


@then("at most {most:d} servers crashed in all")
def step_crashes(context, most):
    crashes = sum(len(tool.crash_times) for tool in context.site.tools)
    assert crashes <= most, crashes


@then(
    "the last {count:d} answers are {status:d} with code {code:d} at once and without "
    "a time to come back"
)
def step_refused(context, count, status, code):
    last = sorted(context.callers.sent, key=lambda item: item.at)[-count:]
    assert len(last) == count
    for answer in last:
        assert (answer.status, answer.code) == (status, code), answer
        assert answer.retry_after is None, answer
        assert answer.took_s < AT_ONCE_S, answer


@then("no answer has code {code:d}")
def step_none_refused(context, code):
    assert context.callers.sent
    refused = [item for item in context.callers.sent if item.code == code]
    assert not refused, refused


@then('a request with the body "{body}" is served at both instances')
def step_served(context, body):
    callers = Callers(context.site)
    anyio.run(callers.send_repeatedly, body.encode(), 0.1, 0.2)
    assert [item.status for item in callers.sent] == [200, 200], callers.sent


@then(
    'a request of customer "{key}" with the body "{body}" is not refused with code '
    "{code:d}"
)
def step_other_customer(context, key, body, code):
    callers = Callers(context.site, key=key)
    anyio.run(callers.send_repeatedly, body.encode(), 0.1, 0.1)
    assert [item.code for item in callers.sent] != [code], callers.sent


# On virtual time.


@then(
    "with {deadly:d} such requests, {instances:d} instances and {endpoints:d} endpoints"
    " at most {most:d} late sends come in each of {seeds:d} seeds"
)
def step_days(context, deadly, instances, endpoints, most, seeds):
    results = play_days(seeds, instances, endpoints, deadly)
    late = [item for item in results if item.late_sends > most]
    assert not late, late


@then(
    "with {deadly:d} such requests, {instances:d} instances and {endpoints:d} endpoints"
    " at most {most:d} others are refused in each of {seeds:d} seeds"
)
def step_others(context, deadly, instances, endpoints, most, seeds):
    results = play_days(seeds, instances, endpoints, deadly)
    refused = [item for item in results if item.refused_others > most]
    assert not refused, refused


@then("in each of {seeds:d} seeds at most {most:d} late sends come while {fault}")
def step_fault(context, seeds, most, fault):
    results = [play_with_fault(seed, fault) for seed in range(seeds)]
    late = [item for item in results if item.late_sends > most]
    assert not late, late


@given(
    "{count:d} instances that know a request which crashed three endpoints, but for "
    "one cut off"
)
def step_cut_off(context, count):
    context.cut_off = CutOffInstance(count)


@when("the cut ends")
def step_heal(context):
    context.cut_off.day.network.heal()


@when("every instance stops and starts, one each {gap:d} s")
def step_roll(context, gap):
    day = context.cut_off.day
    context.cut_off.wait()
    day.roll(0.0, gap)
    context.cut_off.wait(gap * len(day.entries))


@then("{seconds:d} s later every instance refuses the request")
def step_all_refuse(context, seconds):
    context.cut_off.wait(seconds)
    assert context.cut_off.is_refused_everywhere()


@then(
    "in each of {seeds:d} seeds nobody is refused while {share:g} of the endpoints "
    "crash each {interval:g} s"
)
def step_crashes_without_cause(context, seeds, share, interval):
    results = [play_crashes(seed, share, interval) for seed in range(seeds)]
    refused = [item for item in results if item.refused_others]
    assert not refused, refused


@given("an instance that refuses a request after three crashes")
def step_suspicion(context):
    context.suspicion = Suspicion()


@when("an equal request ends well at another instance")
def step_ends_well(context):
    context.suspicion.end_well()


@then("the request is not refused at any instance")
def step_cleared(context):
    assert not context.suspicion.is_refused_anywhere()


@then("the old crashes, told again, do not count")
def step_told_again(context):
    context.suspicion.tell_again()
    assert not context.suspicion.is_refused_anywhere()


@then("it is refused for {seconds:d} s after the last crash, and then not")
def step_refused_for(context, seconds):
    context.suspicion.wait_since_crash(seconds - 1)
    assert context.suspicion.is_refused()
    context.suspicion.wait_since_crash(seconds + 1)
    assert not context.suspicion.is_refused()


@when("it crashes one more endpoint")
def step_crashes_again(context):
    context.suspicion.crash()
    context.suspicion.wait(0.5)


@then("the suspicion is forgotten after another {seconds:d} s")
def step_forgotten(context, seconds):
    context.suspicion.wait(seconds + 1)
    assert all(len(item.table) == 0 for item in context.suspicion.watches.values())


@when("{count:d} other requests are aboard crashes")
def step_aboard(context, count):
    context.suspicion.crash_aboard(count)


@then("at most {most:d} suspects are known, and the request is still refused")
def step_bounded(context, most):
    assert max(context.suspicion.sizes) <= most
    assert context.suspicion.is_refused()


@then("no message tells of more than {most:d} suspects")
def step_message_size(context, most):
    sizes = [len(item.suspects) for item in context.suspicion.shared]
    assert sizes
    assert max(sizes) <= most, max(sizes)


@then("{count:d} instances that serve requests for {seconds:d} s send no message")
def step_no_message(context, count, seconds):
    network = CrashNetwork(1, count)
    # What instances ask when they start.
    network.network.run_until(1.0)
    started = network.network.sent_messages
    network.load(40, seconds)
    network.network.run_until(seconds + 2)
    assert network.served == 40 * seconds
    assert network.network.sent_messages == started


def crash_with(context, fingerprint, count):
    for _ in range(count):
        context.suspicion.crash(fingerprint)
    context.suspicion.wait(0.5)


@when("another request of the same source crashes {count:d} endpoints")
def step_variant(context, count):
    crash_with(context, VARIANT, count)


@when("another request of another source crashes {count:d} endpoints")
def step_other_source(context, count):
    crash_with(context, OTHER_SOURCE, count)


@then("only the one of the same source is refused")
def step_variant_refused(context):
    assert context.suspicion.is_refused(fingerprint=VARIANT)
    assert not context.suspicion.is_refused(fingerprint=OTHER_SOURCE)


@then("two such requests are told from one that ran at crashes of both")
def step_two_at_once(context):
    assert judge_two_at_once() == {b"source-1first", b"source-1second"}


# Between builds.


@given("a peer that speaks version 0 of the protocol between instances")
def step_earlier_peer(context):
    context.peer = EarlierPeer()


@when("news of suspects and {count:d} pings are sent to it")
def step_send_news(context, count):
    anyio.run(context.peer.receive_mixed, count)


@then("the {count:d} pings arrive over one connection, and nothing else")
def step_only_pings(context, count):
    assert context.peer.arrived == ["Ping"] * count, context.peer.arrived
    assert context.peer.replacements == 0


@then(
    "a batch with a message that this build does not know still brings its other "
    "messages"
)
def step_later_build(context):
    assert read_mixed_batch() == ["Ping", "Pong"]
