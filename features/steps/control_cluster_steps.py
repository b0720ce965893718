from behave import given, then, when

from burdockwall.process.control.audit import verify_audit
from burdockwall.process.control.commands import Permission
from burdockwall.types import CustomerId, OperatorId
from features.subjects.control_site import ControlSite
from features.subjects.control_state import print_customers


@given("a control site of {count:d} instances")
def step_site(context, count):
    context.subject = ControlSite(count)


@when("a control operator submits through a follower and issues a key")
def step_submit(context):
    context.subject.actions.append(context.subject.submit_and_issue)


@when("the leading control instance is stopped and a key is issued again")
def step_stop_leader(context):
    context.subject.actions.append(context.subject.issue_without_leader)


@when("a control key is withdrawn")
def step_withdraw(context):
    context.subject.actions.append(context.subject.withdraw)


@then("the control withdrawal names {count:d} instances that confirmed it")
def step_check_withdrawal(context, count):
    subject = context.subject
    subject.run()
    assert not subject.errors, subject.errors
    assert len(subject.in_force.confirmed) == count, subject.in_force


@when("two control instances are stopped and a key is issued")
def step_minority(context):
    context.subject.actions.append(context.subject.issue_in_minority)


@when("all control instances are stopped and started")
def step_restart(context):
    context.subject.actions.append(context.subject.restart_all)


@then("the control site holds version {version:d} on {count:d} instances")
def step_check_version(context, version, count):
    # The first operator's definition is a version of its own.
    subject = context.subject
    subject.actions.append(lambda: subject.check_version(version, count))


@then("the control site's audit trail verifies")
def step_check_audit(context):
    subject = context.subject

    async def check():
        page = await subject.call(subject.create_client().read_audit)
        assert len(page.records) >= 3 and verify_audit(page.records)

    subject.actions.append(check)
    subject.run()


@then("the control operator's error says that the change was not made or is unknown")
def step_check_minority(context):
    context.subject.run()
    codes = [error.code.value.number for error in context.subject.errors]
    assert len(codes) == 1 and codes[0] in (2013, 2014), codes


@when('control operator "{name}" is defined for keys and tries to submit and to export')
def step_define(context, name):
    subject = context.subject

    async def act():
        await subject.submit_and_issue()
        define = subject.create_client().define_operator
        token = await subject.call(define, OperatorId(name), (Permission.KEYS,))
        client = subject.create_client(name, token)
        await subject.call(client.issue_key, CustomerId("a"))
        assert not subject.errors
        await subject.call(client.submit, print_customers("a"))
        await subject.call(client.export_state)
        wrong = subject.create_client(name, "wrong")
        await subject.call(wrong.issue_key, CustomerId("a"))

    subject.actions.append(act)


@then('the control refusals are "{codes}" and a wrong token is refused with {number:d}')
def step_check_refusals(context, codes, number):
    subject = context.subject
    expected = [*(int(code) for code in codes.split()), number]

    async def check():
        assert [item.code.value.number for item in subject.errors] == expected
        subject.errors.clear()

    subject.actions.append(check)


@then("the control state exported from it is imported into another site")
def step_check_export(context):
    subject = context.subject

    async def export():
        client = subject.create_client()
        subject.image = await subject.call(client.export_state)
        subject.before = await subject.call(client.read_configuration)

    subject.actions.append(export)
    subject.run()
    other = ControlSite(1)

    async def import_and_check():
        client = other.create_client()
        await other.call(client.import_state, subject.image)
        page = await other.call(client.read_configuration)
        assert page.text == subject.before.text
        assert page.version > subject.before.version
        assert not other.errors, other.errors

    other.actions.append(import_and_check)
    other.run()
    other.close()
