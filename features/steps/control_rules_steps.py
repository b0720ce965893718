from behave import then, when

from features.subjects.control_rules import check_rule


@when('a control replica is brought to where the rule "{name}" matters')
def step_check_rule(context, name):
    context.rule_holds = check_rule(name)


@then("the control rule holds")
def step_check(context):
    assert context.rule_holds


@then('the same check fails without the control rule "{name}"')
def step_check_without(context, name):
    assert not check_rule(name, with_rule=False)
