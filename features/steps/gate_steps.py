import anyio
from behave import given, then

from burdockwall.errors import Code, RequestRefused
from burdockwall.process.limits.fallback import InstanceCount
from burdockwall.process.limits.gate import RateGate
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
