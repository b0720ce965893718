from functools import partial

from behave import given, then, when

from burdockwall.machine import Receive
from burdockwall.process.limits.events import Admit, Admitted, Refused
from burdockwall.process.limits.holder import LimitHolder
from burdockwall.process.limits.kinds import Kind, ProgramMark
from burdockwall.process.limits.leader import build_leader_shards
from burdockwall.process.limits.messages import (
    LimitGrant,
    LimitGrants,
    StartVerdict,
)
from burdockwall.process.limits.program_load import (
    RETRY_MAX_S,
    ProgramLoad,
    Supply,
)
from burdockwall.process.storage.client import TurnChain
from burdockwall.request.codec import ForwardedRequest, Resumption, TurnDetails
from burdockwall.request.program_kind import describe_rate_request
from burdockwall.types import (
    CallId,
    Incarnation,
    InstanceId,
    ProgramId,
    RequestId,
    RouteName,
    Term,
    TurnId,
)
from burdockwall.version.deployment import HostRoute, RequestKind
from burdockwall.version.shards import ShardsInstalled
from features.subjects.program_rates import (
    CUSTOMER,
    MEASURED_S,
    OTHER,
    OTHER_RATE,
    UNITS_PER_REQUEST,
    WARM_S,
    ProgramNetwork,
    create_parameters,
)

OWNER = InstanceId("owner")
FAULTS = {
    "a crash of the rate's owner": ProgramNetwork.crash_owner,
    "a silent owner of the rate": ProgramNetwork.silence_owner,
    "a crash of another instance": ProgramNetwork.crash_other,
    "a rate that falls to a half": ProgramNetwork.halve_rate,
}
FAULT_INTERVAL_S = 20
TURN = TurnDetails(ProgramId("p"), None, 10, None)
NEXT_TURN = TurnDetails(ProgramId("p"), None, 10, TurnId("t"))
REQUESTS = {
    "a request without a program": (None, None, None, None),
    "a call of a program": ("p", None, None, None),
    "a turn of a program with an answer": ("p", TURN, None, True),
    "a turn of a program without an answer": ("p", TURN, None, False),
    "a turn that continues a stored one": ("p", NEXT_TURN, None, False),
    "a turn of which earlier builds tell": ("p", TURN, None, None),
    "a turn that takes up a stream": ("p", TURN, Resumption(None, "3"), False),
}


@given("programs of a customer with rate {rate:d} on {count:d} instances")
def step_programs(context, rate, count):
    context.arguments, context.whole = (count, rate), True
    context.setups = []


@given("programs of a customer with rate {rate:d} on {count:d} instances, served alike")
def step_alike(context, rate, count):
    context.arguments, context.whole = (count, rate), False
    context.setups = []


@given("requests without a program at {times:d} times its rate")
def step_alone(context, times):
    pace = times * context.arguments[1]
    context.setups.append(lambda network: network.ask_alone(CUSTOMER, pace))


@given("another customer at half of a rate of {rate:d}")
def step_other(context, rate):
    assert rate == OTHER_RATE
    context.setups.append(lambda network: network.ask_alone(OTHER, rate / 2))


def run_seeds(context, load, seeds, fault=None, is_even=False):
    context.networks = []
    for seed in range(seeds):
        network = ProgramNetwork(seed, *context.arguments, load, context.whole)
        network.is_even = is_even
        for setup in context.setups:
            network.network.schedule(WARM_S, partial(setup, network))
        for at_s in range(FAULT_INTERVAL_S, int(WARM_S + MEASURED_S), FAULT_INTERVAL_S):
            if fault is not None:
                network.network.schedule(float(at_s), partial(FAULTS[fault], network))
        network.run()
        context.networks.append(network)


@when("they begin at {load:g} times the rate for {seeds:d} seeds")
def step_run(context, load, seeds):
    run_seeds(context, load, seeds)


@when("they begin at {load:g} times the rate, evenly, for {seeds:d} seeds")
def step_run_evenly(context, load, seeds):
    run_seeds(context, load, seeds, is_even=True)


@when(
    "they begin at {load:g} times the rate for {seeds:d} seeds, with {fault} each 20 s"
)
def step_run_faults(context, load, seeds, fault):
    run_seeds(context, load, seeds, fault)


def count(context, outcome):
    return sum(network.outcome.counts[outcome] for network in context.networks)


def get_lost_share(context):
    lost = count(context, "lost")
    return lost / (lost + count(context, "whole"))


@then("no program is lost once it has begun")
def step_none_lost(context):
    assert get_lost_share(context) == 0.0, get_lost_share(context)


@then("at most {percent:d} in 100 programs are lost once they have begun")
def step_few_lost(context, percent):
    assert get_lost_share(context) <= percent / 100, get_lost_share(context)


@then("more than {percent:d} in 100 programs are lost once they have begun")
def step_many_lost(context, percent):
    assert get_lost_share(context) > percent / 100, get_lost_share(context)


@then("no program is refused")
def step_none_refused(context):
    assert count(context, "refused") == 0, count(context, "refused")


@then(
    "at least {percent:d} in 100 of the requests that the rate carries are of whole "
    "programs"
)
def step_served(context, percent):
    shares = [network.outcome.served_share for network in context.networks]
    assert sum(shares) / len(shares) >= percent / 100, shares


@then("no window has a request in excess")
def step_window(context):
    worst = min(network.worst for network in context.networks)
    assert worst >= 0.0, worst


@then("at least {percent:d} in 100 of the requests without a program are admitted")
def step_alone_admitted(context, percent):
    waits = context.networks[0].outcome.other_waits[CUSTOMER]
    admitted = [wait_s for wait_s in waits if wait_s is not None]
    assert len(admitted) >= percent / 100 * len(waits), (len(admitted), len(waits))


@then("at least {least:d} programs end whole")
def step_whole(context, least):
    assert count(context, "whole") >= least, count(context, "whole")


def get_other_wait(context):
    waits = context.networks[0].outcome.other_waits[OTHER]
    assert waits and None not in waits
    return sum(waits) / len(waits)


@then("the other customer's mean wait is recorded")
def step_record_wait(context):
    context.calm_wait_s = get_other_wait(context)


@then("the other customer's mean wait is at most {factor:g} times that")
def step_other_wait(context, factor):
    waits = get_other_wait(context), context.calm_wait_s
    assert waits[0] <= factor * waits[1], waits


@given("a rate of 10 a second that carries one more program")
def step_supply(context):
    # What is assumed of a program is 8 requests, one a second.
    context.load, context.supply = ProgramLoad(64), Supply(0.0, 10.0, 0.0)
    for number in range(100, 109):
        context.load.record(ProgramMark(number), 1, 0.0, 0.0)
    context.retries = []


@when("program {number:d} begins")
@when("program {number:d} begins again")
def step_begin(context, number):
    mark = ProgramMark(number)
    context.retries.append(context.load.admit_start(mark, context.supply, 0.1))


@when("{number:d} programs begin at once")
def step_begin_many(context, number):
    for mark in range(2, 2 + number):
        step_begin(context, mark)


@then("it is admitted both times and counts as one program under way")
def step_counted_once(context):
    assert context.retries == [None, None], context.retries
    assert len(context.load.programs) == 10


@then("those refused get times at least {gap_s:g} s apart, up to 10 s")
def step_spread(context, gap_s):
    first, *retries = context.retries
    times = sorted(item for item in retries if item is not None)
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    assert first is None and len(times) >= 5, context.retries
    assert min(gaps) >= gap_s and times[-1] <= RETRY_MAX_S, times


@given("a holder with a waiting start of a program")
def step_holder(context):
    parameters = create_parameters(True, 0.4, 0.2, 0.8, 0.8, 0.2, 0.1, 0.01)
    holder = LimitHolder(InstanceId("front"), Incarnation(1), parameters)
    holder.handle(ShardsInstalled(build_leader_shards(OWNER, Term(1))), 0.0)
    mark = ProgramMark(7)
    admit = Admit(CallId(1), CUSTOMER, UNITS_PER_REQUEST, 4.0, Kind.START, mark)
    (sent,) = holder.handle(admit, 0.0)
    context.holder, context.demand = holder, sent.message


def answer(context, *grants, **fields):
    sequence = context.demand.sequence
    message = LimitGrants(
        Incarnation(1), sequence, Incarnation(1), list(grants), [], **fields
    )
    actions = context.holder.handle(Receive(OWNER, message), 0.01)
    verdicts = [item for item in actions if isinstance(item, Admitted | Refused)]
    return verdicts[0]


@when("an owner of an earlier build grants 1 request")
def step_earlier_owner(context):
    grant = LimitGrant(CUSTOMER, 1, UNITS_PER_REQUEST, 200)
    context.verdict = answer(context, grant)


@when("its owner refuses the start for {retry_ms:d} ms")
def step_refuse_start(context, retry_ms):
    verdict = StartVerdict(CUSTOMER, ProgramMark(7), False, retry_ms)
    context.verdict = answer(context, starts=[verdict], decides_starts=True)


@then("the start is admitted")
def step_start_admitted(context):
    assert isinstance(context.verdict, Admitted), context.verdict


@then("the start is refused with {retry_s:g} s to come again")
def step_start_refused(context, retry_s):
    assert isinstance(context.verdict, Refused), context.verdict
    assert context.verdict.retry_after_s == retry_s


def describe(program, turn, resumption, answered, remaining_s=10.0, objective_s=0.0):
    request = ForwardedRequest(
        request=RequestId("r"),
        method="POST",
        target="/",
        host="h",
        path="/",
        headers=[],
        key=None,
        deadline_s=None,
        program=program,
        turn=turn,
        resumption=resumption,
    )
    route = HostRoute(
        name=RouteName("r"),
        host="h",
        prefix="/",
        kind=RequestKind.STREAM,
        timeout_s=10.0,
        rank=0,
        shares=(),
        max_attempts=1,
        retains_turns=True,
        retention_s=60.0,
        open=False,
        objective_s=objective_s,
    )
    chain = TurnChain([], answered=answered) if turn else None
    return describe_rate_request(request, route, chain, remaining_s, 4.0)


@then("the kind of {kind} is {expected}")
def step_kind(context, kind, expected):
    assert describe(*REQUESTS[kind]).kind is Kind[expected]


@then("a request with {left_s:g} s left waits {wait_s:g} s for its rate at most")
def step_wait(context, left_s, wait_s):
    request = describe("p", None, None, None, left_s)
    assert abs(request.wait_s - wait_s) < 0.01, request


@then(
    "a request with {left_s:g} s left and an objective of {objective_s:g} s waits "
    "{wait_s:g} s for its rate at most"
)
def step_objective(context, left_s, objective_s, wait_s):
    request = describe("p", None, None, None, left_s, objective_s)
    assert abs(request.wait_s - wait_s) < 0.01, request
