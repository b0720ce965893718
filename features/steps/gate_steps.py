import itertools

import anyio
from behave import given, then

from burdockwall.errors import Code, RequestRefused
from burdockwall.process.limits.excess import ToleratedExcess
from burdockwall.process.limits.fallback import InstanceCount
from burdockwall.process.limits.gate import RateGate
from burdockwall.process.limits.kinds import Kind, ProgramMark, RateRequest
from features.subjects.fallback_shares import CUSTOMER, EXCESS, create_limit

INSTANCES = 9


@given("a gate whose owner {answer} for a customer of {rate:d} requests a second")
def step_gate(context, answer, rate):
    async def ask_owner(customer, request):
        if answer == "does not answer":
            raise RequestRefused(Code.LIMIT_UNREACHABLE)

    def read_clock():
        return 1.0

    count = InstanceCount(lambda: INSTANCES, read_clock)
    context.gate = RateGate(ask_owner, EXCESS, count, read_clock)
    if rate:
        context.gate.install({CUSTOMER: create_limit(rate, rate)})


@then('a request is admitted by "{admission}"')
def step_admitted(context, admission):
    assert anyio.run(context.gate.admit, CUSTOMER).value == admission


@given("a gate whose owner is silent {count:d} times for a customer of a small rate")
def step_silent_gate(context, count):
    context.asked = itertools.count(1)

    async def ask_owner(customer, request):
        if next(context.asked) <= count:
            raise RequestRefused(Code.LIMIT_UNREACHABLE)

    instances = InstanceCount(lambda: INSTANCES, lambda: 1.0)
    # No excess is tolerated, so nothing is admitted without the owner.
    excess = ToleratedExcess(5.0, 0.0, 0.0)
    context.gate = RateGate(ask_owner, excess, instances, lambda: 1.0)
    context.gate.install({CUSTOMER: create_limit(2, 2)})


@then("a request of a program under way waits for it, and a start is refused")
def step_waits(context):
    request = RateRequest(Kind.START, ProgramMark(1), 2.0)
    try:
        anyio.run(context.gate.admit, CUSTOMER, request)
        raise AssertionError("the start was admitted")
    except RequestRefused as error:
        assert error.code is Code.LIMIT_UNREACHABLE
    request = RateRequest(Kind.IN_FLIGHT, ProgramMark(1), 2.0)
    assert anyio.run(context.gate.admit, CUSTOMER, request).value == "owner"
