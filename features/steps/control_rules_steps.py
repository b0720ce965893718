from behave import given, then, when

from burdockwall.process.control.opening import create_voter_policy
from burdockwall.settings import Settings
from burdockwall.types import Address
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


@given("a fleet of {count:d} seeds that tolerates {losses:d} losses")
def step_seeds(context, count, losses):
    seeds = [Address(f"10.0.0.{number}:80") for number in range(count)]
    context.settings = Settings(seeds=seeds, tolerated_losses=losses)


@then("it has at most {voters:d} voters")
def step_max_voters(context, voters):
    assert create_voter_policy(context.settings).max_voters == voters
