from behave import given, then, when

from burdockwall.process.membership.patches import (
    PatchInvalid,
    apply_patch,
    create_patch,
)
from features.subjects.document_patches import (
    FIRST,
    SECOND,
    GivingInstance,
    PatchedInstance,
    draw_pair,
)


@given("{count:d} drawn pairs of documents of up to {most:d} bytes")
def step_pairs(context, count, most):
    context.pairs = [draw_pair(seed, most) for seed in range(count)]


@when("a patch of each pair is applied to the earlier one")
def step_patch(context):
    context.patches = [create_patch(*pair) for pair in context.pairs]


@then("it yields the later one, and any other document as its base is noticed")
def step_yields(context):
    for (earlier, later), patch in zip(context.pairs, context.patches, strict=True):
        assert apply_patch(patch, earlier) == later
        try:
            data = apply_patch(patch, earlier[::-1])
        except PatchInvalid:
            continue
        assert data == later


@given("an instance that has version 1 of a document")
def step_instance(context):
    context.instance = PatchedInstance()
    assert context.instance.data == FIRST


@when("it is sent version 2 with a patch {damage}")
def step_damage(context, damage):
    context.instance.receive_damaged(damage)


@then(
    "version 1 stays in force, and the instance asks a control instance for version 2"
)
def step_stays(context):
    instance = context.instance
    assert instance.data == FIRST
    assert [item.number for item in instance.asked] == [11], instance.asked
    assert instance.asked[0].held == b""


@then("when it is given version 2, that is in force")
def step_given(context):
    context.instance.receive_second()
    assert context.instance.data == SECOND
    assert context.instance.agent.replica.version == 2


@when("the whole state is replaced by one with an earlier document")
def step_import(context):
    context.instance.import_earlier()


@then("the instance has the earlier document")
def step_earlier(context):
    document = context.instance.agent.replica.documents["deployment"]
    assert (document.number, document.data) == (3, SECOND)


@given("a control instance that has had {versions:d} versions of a document")
def step_control(context, versions):
    context.control = GivingInstance(versions)


@when(
    "it is asked for the latest by instances that hold the first, the last but one, "
    "another and none"
)
def step_ask(context):
    versions = context.control.versions
    context.held = [versions[0].data, versions[-2].data, b"another" * 99, b""]
    context.given = [context.control.give(held) for held in context.held]


@then("each can make the latest of what it is sent")
def step_make(context):
    latest = context.control.versions[-1].data
    for held, given_document in zip(context.held, context.given, strict=True):
        assert context.control.make(held, given_document) == latest


@then("the one that holds the last but one is sent less than a tenth of the others")
def step_less(context):
    sizes = [sum(len(patch.data) for patch in item.patches) for item in context.given]
    assert sizes[1] * 10 < min(sizes[0], sizes[2], sizes[3]), sizes
