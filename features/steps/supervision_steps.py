from behave import given, then, when

from burdockwall.process.control.files import StorageError
from burdockwall.process.ending import list_causes
from burdockwall.process.supervisor import AddressUnavailable
from features.subjects.supervision import (
    FailingInstallation,
    FailingJobs,
    SupervisedServer,
    SupervisedTask,
    create_storage_error,
)


@given("a supervised task that raises at its first {count:d} starts")
def step_task(context, count):
    context.subject = SupervisedTask(count, ValueError("a task that raises"))


@given("a supervised task that raises a StorageError")
def step_storage(context):
    context.subject = SupervisedTask(9, create_storage_error())


@given("a supervised task that raises a StorageError within a task group")
def step_storage_group(context):
    context.subject = SupervisedTask(9, create_storage_error(), grouped=True)


@given("a supervised server whose address is taken")
def step_taken(context):
    context.subject = SupervisedServer(fails_first=False)


@given("a supervised server that fails once, and whose address is then taken for 0.3 s")
def step_taken_later(context):
    context.subject = SupervisedServer(fails_first=True)


@given("3 jobs of a part, of which the second raises")
def step_jobs(context):
    context.subject = FailingJobs()


@given("an instance where putting a version in force raises {count:d} times")
def step_installation(context, count):
    context.subject = FailingInstallation(count)


@when("it is run for {seconds:g} s")
@when("the part runs for {seconds:g} s")
def step_run(context, seconds):
    context.subject.run(seconds)


@when("3 steps are attempted, of which the second raises")
def step_attempt(context):
    context.subject = FailingJobs()
    context.subject.attempt()


@when("the version is delivered and it runs for {seconds:g} s")
def step_deliver(context, seconds):
    subject = context.subject
    subject.deliver()
    subject.installation.install(subject.replica)
    assert subject.installation.is_behind(subject.replica)
    subject.run(seconds)


@when("the version is delivered to the replica only, and it runs for {seconds:g} s")
def step_deliver_only(context, seconds):
    context.subject.deliver()
    context.subject.run(seconds)


@then("it was started {count:d} times, and the pauses grew")
def step_pauses(context, count):
    pauses = context.subject.list_pauses()
    assert len(pauses) == count - 1, pauses
    assert pauses == sorted(pauses), pauses


@then("it was started {count:d} times")
def step_starts(context, count):
    assert len(context.subject.starts) == count, context.subject.starts


@then("the failures count {count:d} errors")
def step_failures(context, count):
    assert context.subject.failures.count == count, context.subject.failures.count


def came_out(context, kind):
    error = context.subject.error
    assert error is not None
    assert any(isinstance(cause, kind) for cause in list_causes(error)), error


@then("the StorageError came out of it")
def step_storage_out(context):
    came_out(context, StorageError)


@then("AddressUnavailable came out of it")
def step_address_out(context):
    came_out(context, AddressUnavailable)


@then("it was cancelled in its work")
def step_cancelled(context):
    assert context.subject.cancelled and context.subject.error is None


@then("it answers")
def step_answers(context):
    assert context.subject.answers, context.subject.error


@then('the jobs "{expected}" have ended')
@then('the steps "{expected}" were made')
def step_ended(context, expected):
    wanted = [int(item) for item in expected.split()]
    assert context.subject.ended == wanted, context.subject.ended


@then("the version is in force")
def step_in_force(context):
    subject = context.subject
    assert subject.in_force == subject.replica.version != 0, subject.in_force
    assert not subject.installation.is_behind(subject.replica)
