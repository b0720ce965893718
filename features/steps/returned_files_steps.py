from behave import given, then, when

from features.subjects.returned_files import (
    EarlierFolder,
    JournalHistory,
    RemovedSegment,
    ReturnedControlFiles,
)

POSITIONS = {"its first needed file": 0, "a file between two others": 1}


@when("{seeds:d} seeds write, remove and lose power in the files of a store")
def step_histories(context, seeds):
    context.violations = []
    for seed in range(seeds):
        history = JournalHistory(seed)
        history.run()
        context.violations += [f"seed {seed}: {each}" for each in history.violations]


@then("all confirmed records are found, no removed one, and all files count as whole")
def step_no_violations(context):
    assert not context.violations, context.violations[:5]


@when("a store loses {lost}")
def step_lose(context, lost):
    context.recovery = RemovedSegment(POSITIONS[lost]).recovery


@then("its files do not count as whole")
def step_not_whole(context):
    assert not context.recovery.whole


@given("a folder of an earlier build, with removals that may come back")
def step_earlier(context):
    context.folder = EarlierFolder()


@then("the store counts as whole at its next two starts, with a power loss between")
def step_whole_twice(context):
    whole = context.folder.recover_twice()
    assert whole == [True, True], whole


@when("{seeds:d} control journals with such a file are opened on a full disk")
def step_control(context, seeds):
    context.journals = [ReturnedControlFiles(seed) for seed in range(seeds)]


@when("power is lost in the next write of each")
def step_control_power(context):
    context.errors = []
    for seed, each in enumerate(context.journals):
        try:
            each.open()
        except Exception as error:
            context.errors.append(f"seed {seed}: {error!r}")


@then("each can be opened again")
def step_control_opened(context):
    assert not context.errors, (len(context.errors), context.errors[:3])
