from behave import given, then, when

from features.subjects.platform import PlatformSite
from features.subjects.stream_versions import create_engines, take_up_streams


def start_site(context, engines):
    context.site = PlatformSite(engines)
    context.add_cleanup(context.site.close)
    context.site.start()


@given('a site whose engines are of versions "{versions}"')
def step_versions(context, versions):
    start_site(context, create_engines(versions))


@given('a site with two engines of "{first}" and two of "{second}"')
def step_services(context, first, second):
    engines = create_engines("v1 v1", first) + create_engines("v1 v1", second)
    start_site(context, engines)


@when(
    '{count:d} streams break off at an engine of version "{version}" and are taken up '
    "elsewhere"
)
def step_break(context, count, version):
    context.taken_up = take_up_streams(context.site, count, version)


@when("{count:d} streams of the split route break off and are taken up elsewhere")
def step_break_split(context, count):
    context.taken_up = take_up_streams(context.site, count, None, "/split/1")


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
