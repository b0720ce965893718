from behave import then, when

from features.subjects.control_rules import check_rule


@when('a control replica is led to break the rule "{name}"')
def step_lead(context, name):
    context.held = check_rule(name)


@then("the control rule holds")
def step_check(context):
    assert context.held


@then('without the control rule "{name}" it would not hold')
def step_check_without(context, name):
    assert not check_rule(name, with_rule=False)
