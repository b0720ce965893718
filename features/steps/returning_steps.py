from behave import given, then, when

from burdockwall.process.limits.opening import ProgramOpening
from burdockwall.process.limits.returning import ReturnTimes
from burdockwall.types import CustomerId
from features.subjects.returning import CUSTOMER, PressedCustomer
from features.subjects.standing import create_limit


@given(
    "programs of {requests:d} requests whose customer asks for {times:f} times its "
    "rate for {seconds:d} s"
)
def step_programs(context, requests, times, seconds):
    context.pressed = PressedCustomer(requests, times, float(seconds))


@when(
    "{seeds:d} seeds are played with times of their own, and with the same time for all"
)
def step_play(context, seeds):
    context.own = context.pressed.measure(range(seeds), own_times=True)
    context.same = context.pressed.measure(range(seeds), own_times=False)


@then("less than {percent:d} in 100 are lost with times of their own")
def step_lost(context, percent):
    assert context.own.lost < percent / 100, context.own


@then("more than twice as many would be lost with the same time for all")
def step_lost_more(context):
    assert context.same.lost > 2 * context.own.lost, (context.same, context.own)


@given("a customer of {rate:d} requests a second that {instances:d} instances refuse")
def step_customer(context, rate, instances):
    context.limit, context.instances = create_limit(rate, rate), instances
    context.returns = ReturnTimes()


def choose_ms(context, now):
    chosen = context.returns.choose(CUSTOMER, context.limit, context.instances, now)
    return round(chosen * 1000)


@then("refused callers are told to come back after 100, 600, 1100 and 1200 ms")
def step_times(context):
    told = [choose_ms(context, 10.0) for _ in range(4)]
    assert told == [100, 600, 1100, 1200], told


@then("one that is refused {seconds:d} s later is told {expected:d} ms")
def step_later(context, seconds, expected):
    assert choose_ms(context, 10.0 + seconds) == expected


@when("{seeds:d} seeds are played with programs under way before new ones, and without")
def step_play_whole(context, seeds):
    context.whole = context.pressed.measure(range(seeds), own_times=True, whole=True)
    context.all = context.pressed.measure(range(seeds), own_times=True)


@then("at least {percent:d} in 100 programs end in time")
def step_in_time(context, percent):
    assert context.whole.in_time >= percent / 100, context.whole


@then("less than {percent:d} in 100 would if all began")
def step_in_time_all(context, percent):
    assert context.all.in_time < percent / 100, context.all


@given("a customer whose rate was taken at {at:f} s")
def step_taken(context, at):
    context.opening = ProgramOpening()
    context.opening.note_wait(CUSTOMER, 0.2, at)


@then("of {count:d} new programs at {at:f} s {begun:d} begin")
def step_begin(context, count, at, begun):
    may = [context.opening.may_begin(CUSTOMER, at) for _ in range(count)]
    assert sum(may) == begun, may


@then("every new program of another customer begins")
def step_other(context):
    assert context.opening.may_begin(CustomerId("other"), 10.1)
