from behave import given, then, when

from burdockwall.machine import Receive, Send, Tick
from burdockwall.process.limits.events import Admit, Reason, Refused
from burdockwall.process.limits.holder import LimitHolder
from burdockwall.process.limits.leader import build_leader_shards
from burdockwall.process.limits.messages import LimitDemand, LimitGrants, LimitVerdict
from burdockwall.process.limits.units import UNITS_PER_REQUEST, create_parameters
from burdockwall.settings import Settings
from burdockwall.types import CallId, CustomerId, Incarnation, InstanceId, Term
from burdockwall.version.shards import ShardsInstalled

CUSTOMER = CustomerId("c")
OWNER = InstanceId("core")
TICK_S = 0.05


@given(
    "an instance that waits {wait_s:f} s for its rate, and {silence_s:f} s for a "
    "silent owner"
)
def step_holder(context, wait_s, silence_s):
    context.settings = Settings(limit_wait_s=wait_s, limit_silence_s=silence_s)


def wait(context, answer, limit_s):
    """Let a request wait, and return when and why it was refused, or None."""
    holder = LimitHolder(
        InstanceId("front"), Incarnation(1), create_parameters(context.settings)
    )
    holder.handle(ShardsInstalled(build_leader_shards(OWNER, Term(1))), 0.0)
    wait_s = context.settings.limit_wait_s
    call = Admit(CallId(1), CUSTOMER, UNITS_PER_REQUEST, wait_s)
    actions, now = holder.handle(call, 0.0), 0.0
    while now < limit_s:
        for action in list(actions):
            if isinstance(action, Refused):
                return now, action.reason
            if isinstance(action, Send) and isinstance(action.message, LimitDemand):
                actions += (
                    holder.handle(Receive(OWNER, answer(action.message)), now)
                    if answer
                    else []
                )
        now += TICK_S
        actions = holder.handle(Tick(), now)
    return None


def answer_with_wait(demand):
    verdict = LimitVerdict(CUSTOMER, UNITS_PER_REQUEST, 500, Reason.RATE.value)
    return LimitGrants(Incarnation(1), demand.sequence, Incarnation(1), [], [verdict])


@when("a request waits for an owner that does not answer")
def step_silent(context):
    context.refused = wait(context, None, 2.0)


@then("it is refused within {limit_s:f} s, since the owner is unreachable")
def step_refused(context, limit_s):
    at, reason = context.refused
    assert at <= limit_s and reason is Reason.OWNER_UNREACHABLE, context.refused


@when("a request waits for an owner that answers that units will be available")
def step_answered(context):
    context.refused = wait(context, answer_with_wait, 0.5)


@then("it still waits after {seconds:f} s")
def step_waits(context, seconds):
    assert context.refused is None, context.refused
