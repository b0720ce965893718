from behave import then, when

from burdockwall.process.storage.messages import Presence
from features.subjects.turn_cycles import TurnCycles, limit_time, store_cycle

LIMIT_S = 2.0


@when('a ledger takes the turns "{turns}", each with the one before it')
def step_take(context, turns):
    context.subject = TurnCycles()
    with limit_time(LIMIT_S):
        context.subject.take(turns)


@then("it ends within 2 s, and has {count:d} turns")
def step_count(context, count):
    assert context.subject.count_turns() == count


@then('a chain that begins at "{first}" is not whole')
def step_chain(context, first):
    with limit_time(LIMIT_S):
        assert context.subject.find(first) is Presence.PARTIAL


@when("turn A is stored at stores 1 and 2 only, and comes again naming itself")
def step_cycle(context):
    context.status = store_cycle(context.site)


@then("turns are served again")
def step_served(context):
    assert context.site.wait_for(context.site._can_begin_turns, 5.0)
