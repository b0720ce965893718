from behave import given, then, when

from burdockwall.process.control.state import decode_state
from features.subjects.inapplicable_commands import (
    BEYOND,
    IMAGES,
    ImportingSite,
    InapplicableCluster,
    InapplicableCommands,
    build_put,
)


@given("a control state with a configuration, a key and a document")
def step_state(context):
    context.subject = InapplicableCommands()


@when("an image with {fault} is imported")
def step_import(context, fault):
    context.subject.import_image(IMAGES[fault])


@when("a document of a number beyond all others is put")
def step_put(context):
    context.subject.apply(build_put(BEYOND))


@when("an image with the largest version and number is imported, then a key withdrawn")
def step_import_largest(context):
    context.subject.outcomes.clear()
    context.subject.import_largest()


@when("{command} raises in the middle")
def step_raise(context, command):
    context.subject.apply_raising(command)


@when("applying a command runs out of memory")
def step_memory(context):
    try:
        context.subject.apply_without_memory()
    except MemoryError as error:
        context.error = error


@then("that error is raised")
def step_raised(context):
    assert isinstance(context.error, MemoryError)


@then("the control command is refused with {code:d}")
def step_refused(context, code):
    outcome = context.subject.outcomes[-1]
    assert outcome.code == code, outcome


@then("the control state has the content of before")
def step_unchanged(context):
    assert context.subject.is_unchanged()
    step_stored(context)


@then("both control commands are accepted")
def step_accepted(context):
    codes = [outcome.code for outcome in context.subject.outcomes]
    assert codes == [0, 0], context.subject.outcomes


@then("the control state can be stored and read again")
def step_stored(context):
    data = context.subject.state.encode()
    assert decode_state(data).encode() == data


@given("{count:d} control replicas that have a leader")
def step_cluster(context, count):
    context.cluster = InapplicableCluster(count)


@when("an import of each faulty image is committed and every replica is restarted")
def step_commit(context):
    context.cluster.commit_images()
    context.cluster.restart_all()


@then("every replica has refused each of them")
def step_all_refused(context):
    codes = context.cluster.list_codes()
    assert codes == [[2012] * len(IMAGES)] * 3, codes


@then("the states of the control replicas are equal")
def step_equal(context):
    states = [node.replica.state for node in context.cluster.nodes.values()]
    assert len({state.encode() for state in states}) == 1


@given("a control instance on loopback")
def step_site(context):
    context.site = ImportingSite()


@when("an image nested almost as deep as it can decode is imported")
def step_import_nested(context):
    context.site.run()


@then("the import is refused with {code:d} and not in the log")
def step_not_logged(context, code):
    assert (context.site.code, context.site.grown) == (code, 0), context.site.code
