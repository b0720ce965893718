from behave import given, then, when

from burdockwall.fakes.partition import Cut
from features.subjects.cut_off import CutOffSubject


@given("{seconds:d} s of callers at both instances")
def step_before(context, seconds):
    context.cut_off = CutOffSubject(context.site)
    context.cut_off.call_both(seconds)


@when("the connections of instance {number:d} to all endpoints {cut}")
def step_cut(context, number, cut):
    context.cut_off.cut(number, Cut(cut))


@when("{seconds:d} s pass with callers at both instances")
def step_calls(context, seconds):
    context.cut_off.call_both(seconds)


@then("of these {seconds:d} s both instances served {share:g} of the first attempts")
def step_served(context, seconds, share):
    for number in (1, 2):
        served = context.cut_off.compute_served_share(number)
        assert served >= share, (number, served, context.cut_off.count_failures(number))


@then("no order of any caller ran twice")
def step_once(context):
    assert not context.cut_off.list_repeated_orders()


@then("only instance 2 is given out and ready")
def step_given_out(context):
    assert context.cut_off.list_given_out() == [2]
    assert [context.cut_off.is_ready(number) for number in (1, 2)] == [False, True]


@when("the connections of instance {number:d} heal")
def step_heal(context, number):
    context.cut_off.heal(number)


@then("both instances are given out and ready")
def step_both_given_out(context):
    assert context.cut_off.list_given_out() == [1, 2]
    assert [context.cut_off.is_ready(number) for number in (1, 2)] == [True, True]


@then("instance 1 sends its own requests again")
def step_sends(context):
    assert context.cut_off.site.entries[0].peer_relay.choice.is_idle()
    assert context.cut_off.compute_served_share(1) >= 0.95
