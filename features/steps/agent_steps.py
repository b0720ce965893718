from behave import given, then, when

from burdockwall.machine import Receive, Send, Tick
from burdockwall.process.membership.agent import Agent
from burdockwall.process.membership.messages import (
    InstanceDetails,
    NotLeader,
    Report,
)
from burdockwall.types import (
    Address,
    FailureDomain,
    Incarnation,
    InstanceId,
    Role,
)

CONTROL = InstanceId("control-1")


@given("an instance that reports to a control instance")
def step_agent(context):
    details = InstanceDetails(
        InstanceId("entry-1"),
        Incarnation(1),
        Role.ENTRY,
        "r",
        FailureDomain("a"),
        Address("127.0.0.1:1"),
        Address("127.0.0.1:2"),
    )
    context.agent = Agent(details, [CONTROL])
    context.now = 10.0
    assert count_reports(context.agent.handle(Tick(), context.now)) == 1


def count_reports(actions):
    return sum(
        isinstance(action, Send) and isinstance(action.message, Report)
        for action in actions
    )


@when("the control instance answers that it knows no leader")
def step_not_leader(context):
    context.agent.handle(Receive(CONTROL, NotLeader(None)), context.now)


@then("the instance reports again within {limit_s:f} s")
def step_again(context, limit_s):
    until = context.now + limit_s
    reports = 0
    while context.now < until:
        context.now += 0.1
        reports += count_reports(context.agent.handle(Tick(), context.now))
    assert reports == 1, reports
