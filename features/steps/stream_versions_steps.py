import anyio
import msgspec
from behave import given, then, when

from burdockwall.process.endpoints import EndpointFollower
from burdockwall.process.scheduling.resumption import decide_resume_place
from burdockwall.process.storage.messages import StreamPlace
from burdockwall.types import ServiceName, SoftwareVersion
from features.subjects.platform import PlatformSite
from features.subjects.stream_versions import (
    RecordingClient,
    StreamCaller,
    create_binding,
    create_endpoint,
    create_engines,
    hide_from_instance,
    remove_version,
    send_list,
    start_follower,
    take_up_during_release,
    take_up_of_joined,
    take_up_streams,
    take_up_under_refusals,
    wait_out_streams,
)


def start_site(context, engines):
    context.site = PlatformSite(engines)
    context.add_cleanup(context.site.close)
    context.site.start()
    context.caller = StreamCaller(context.site)


@given('a site whose engines are of versions "{versions}"')
def step_versions(context, versions):
    start_site(context, create_engines(versions))


@given(
    'a site whose engines are of version "{first}", and one of version "{later}" that '
    "joins later"
)
def step_joining_version(context, first, later):
    engines = create_engines(f"{first} {first} {later}")
    context.site = PlatformSite(engines)
    context.site.server_list.servers.remove(engines[-1])
    context.add_cleanup(context.site.close)
    context.site.start()
    context.caller = StreamCaller(context.site)


@given('a site with two engines of "{first}" and two of "{second}"')
def step_services(context, first, second):
    engines = create_engines("v1 v1", first) + create_engines("v1 v1", second)
    start_site(context, engines)


@when(
    '{count:d} streams break off at an engine of version "{version}" and are taken up '
    "elsewhere"
)
def step_break(context, count, version):
    context.taken_up = take_up_streams(context.caller, count, version)


@when("{count:d} streams of the split route break off and are taken up elsewhere")
def step_break_split(context, count):
    context.taken_up = take_up_streams(context.caller, count, None, "/split/1")


@then("every stream that went on did so at the version that began it")
def step_same_version(context):
    pairs = [
        (each.begun.engine.software, each.resumed.engine.software)
        for each in context.taken_up
        if each.resumed.engine is not None
    ]
    assert all(began == went_on for began, went_on in pairs), pairs


@then("every stream that went on did so at the service that began it")
def step_same_service(context):
    pairs = [
        (each.begun.engine.service, each.resumed.engine.service)
        for each in context.taken_up
        if each.resumed.engine is not None
    ]
    assert all(began == went_on for began, went_on in pairs), pairs


@then("every stream went on with its next event")
def step_went_on(context):
    for each in context.taken_up:
        assert each.resumed.status == 200, each
        assert each.resumed.events == [2, 3], each


@given("callers whose requests belong to no program")
def step_no_program(context):
    context.caller = StreamCaller(context.site, has_program=False)


@when(
    'a stream breaks off at version "{version}", and instance 1 is killed before it is '
    "taken up"
)
def step_kill_instance(context, version):
    def kill():
        context.site.kill_entry(1)

    context.taken_up = take_up_streams(context.caller, 1, version, prepare=kill)


@when(
    'a stream breaks off at version "{version}", and every store starts again before '
    "it is taken up"
)
def step_restart_stores(context, version):
    context.taken_up = take_up_streams(
        context.caller, 1, version, prepare=context.site.restart_stores_and_wait
    )


@when("a stream is taken up without naming the request that began it")
def step_unnamed(context):
    context.taken_up = take_up_streams(context.caller, 1, None, names_beginning=False)


@then("every taker is refused with {status:d}, code {code:d} and a time to come back")
def step_refused(context, status, code):
    for each in context.taken_up:
        assert each.resumed.status == status, each
        assert msgspec.json.decode(each.resumed.body)["code"] == code, each
        assert float(each.resumed.retry_after) > 0, each


@then('no engine of version "{version}" was sent a taker\'s request')
def step_not_sent(context, version):
    for engine in context.site.engines:
        if engine.software != version:
            continue
        for request in engine.received_requests:
            assert "resumes" not in request.headers, request


@when(
    'instance 2 gets {missed}, and a stream that begins at "{version}" meanwhile is '
    "taken up there without naming its beginning"
)
def step_missed_list(context, missed, version):
    hide_from_instance(context.site, 2, missed)
    context.taken_up = [take_up_of_joined(context.caller, version)]


# All entry instances start anew.


@given("each service has had its versions for longer than a stream lasts")
def step_long_lasting(context):
    wait_out_streams(context.site)


def take_up_after(context, version, prepare, names_beginning):
    context.taken_up = take_up_streams(
        context.caller, 1, version, prepare=prepare, names_beginning=names_beginning
    )


@when(
    'a stream breaks off at version "{version}", which leaves, and is taken up '
    "without naming the request that began it"
)
def step_version_gone(context, version):
    def remove():
        remove_version(context.site, version)

    take_up_after(context, version, remove, False)


@when(
    'a stream breaks off at version "{version}", which leaves, all entry instances '
    "are killed, and it is taken up without naming the request that began it"
)
def step_gone_and_killed(context, version):
    def fail():
        remove_version(context.site, version)
        context.site.restart_entries()

    take_up_after(context, version, fail, False)


@when(
    'a stream breaks off at version "{version}", and all entry instances are killed '
    "before it is taken up"
)
def step_all_killed(context, version):
    take_up_after(context, version, context.site.restart_entries, True)


@when(
    'a stream breaks off at version "{version}", and all stores and entry instances '
    "are killed before it is taken up"
)
def step_stores_and_entries(context, version):
    def fail():
        # The probes of the stores must not break off, or no engine would be left.
        for engine in context.site.engines:
            engine.cut_after_events = None
        context.site.restart_stores_and_wait()
        context.site.restart_entries()

    take_up_after(context, version, fail, True)


@when(
    "a stream of the split route breaks off and is taken up without naming the request "
    "that began it"
)
def step_split_unnamed(context):
    context.taken_up = take_up_streams(
        context.caller, 1, None, "/split/1", names_beginning=False
    )


# The decision.


def parse_version(text):
    return SoftwareVersion("" if text == "empty" else text)


@given('a route to the services "{services}" whose shares give a stream to "{likely}"')
def step_shares_of_stream(context, services, likely):
    context.allowed = frozenset(ServiceName(name) for name in services.split())
    context.likely = ServiceName(likely)


@when('the stores know the place "{recorded}" and "a" has long had "{sole}"')
def step_decide(context, recorded, sole):
    place = None
    if recorded != "nothing":
        service, version = recorded.split()
        place = StreamPlace(ServiceName(service), parse_version(version))
    sole_version = None if sole == "several" else parse_version(sole)
    context.place = decide_resume_place(
        place, context.allowed, context.likely, sole_version
    )


@then('the stream goes on at "{expected}"')
def step_place(context, expected):
    place = context.place
    if place is None:
        assert expected == "nowhere"
        return
    assert f"{place.service} {place.software or 'empty'}" == expected, place


@given(
    'a follower whose list shows "{first}" from {start_s:d} s and "{second}" from '
    "{since_s:d} s"
)
def step_follower_versions(context, first, start_s, second, since_s):
    context.follower = EndpointFollower()
    for counter, now in enumerate(range(start_s, 21), 1):
        versions = first if now < since_s else second
        send_list(context.follower, counter, versions, float(now))


@given(
    'a leader of term {term:d} whose list shows "{first}" from 0 s and "{second}" from '
    "{since_s:d} s"
)
def step_leader_versions(context, term, first, second, since_s):
    context.versions = {0: first, since_s: second}
    context.terms = {0: term}


@when("another instance leads term {term:d} from {since_s:d} s")
def step_other_leader(context, term, since_s):
    context.terms[since_s] = term


@when("an instance starts at {start_s:d} s")
def step_starts(context, start_s):
    context.follower = start_follower(context.versions, start_s, context.terms)


@when("the follower gets list {counter:d} with {versions} at {now_s:d} s")
def step_gets_list(context, counter, versions, now_s):
    send_list(context.follower, counter, versions, float(now_s))


@then('at {now_s:d} s the only version since {since_s:d} s is "{version}"')
def step_sole(context, now_s, since_s, version):
    found = context.follower.find_sole_version(ServiceName("a"), since_s, now_s)
    assert found == version, found


@then("at {now_s:d} s there is no only version since {since_s:d} s")
def step_no_sole(context, now_s, since_s):
    found = context.follower.find_sole_version(ServiceName("a"), since_s, now_s)
    assert found is None, found


@given('a request of a resumable route for which version "{version}" was predicted')
def step_predicted(context, version):
    context.binding = create_binding()
    place = context.binding.predict(create_endpoint(version))
    assert place == StreamPlace(ServiceName("a"), SoftwareVersion(version))


@when('its binding records the versions "{versions}" before each attempt')
def step_record(context, versions):
    context.client = RecordingClient()

    async def record():
        for version in versions.split():
            endpoint = create_endpoint(version)
            await context.binding.record(context.client, None, endpoint)

    anyio.run(record)


@then('the stores were told "{first}" and then "{second}"')
def step_told(context, first, second):
    told = [f"{place.software} {place.attempt}" for place in context.client.places]
    assert told == [first, second], told


# Streams that are taken up under trouble.


@when("{count:d} streams break off, of engines that refuse each third request")
def step_under_refusals(context, count):
    context.shares, context.taken_up = take_up_under_refusals(context.caller, count)


@then(
    "the share of streams taken up is at least {part:f} of the share of new ones that "
    "begin"
)
def step_shares(context, part):
    shares = context.shares
    assert shares.broken >= 12, shares
    assert shares.resumed_share >= part * shares.new_share, shares


@when('a stream breaks off before each step of a release to "{version}"')
def step_release(context, version):
    context.taken_up = take_up_during_release(context.caller, version)


@then('streams went on until the last engine of "{version}" had gone, and none after')
def step_until_gone(context, version):
    *before, last = context.taken_up
    assert len(before) >= 2
    assert all(each.resumed.status == 200 for each in before), before
    assert all(each.begun.engine.software == version for each in context.taken_up)
    assert last.resumed.status == 503, last


@when(
    'a stream breaks off at version "{version}", and instance 2 is cut off from two '
    "stores"
)
def step_cut(context, version):
    def cut():
        context.site.cut_off_entry(2, (1, 2))

    context.taken_up = take_up_streams(context.caller, 1, version, prepare=cut)


@then("every taker is refused with {status:d} and a time to come back")
def step_refused_any(context, status):
    for each in context.taken_up:
        assert each.resumed.status == status, each
        assert float(each.resumed.retry_after) > 0, each
