from behave import given, then, when

from burdockwall.machine import Receive, Tick
from burdockwall.process.host import MachineFailed
from features.subjects.contained_errors import PERFORMED, ContainedErrors


@given("a host of three machines, of which the second raises at each tick")
def step_neighbours(context):
    context.subject = ContainedErrors()
    context.subject.add_neighbours()


@given("a host of a machine whose first of two actions raises")
def step_failing_action(context):
    context.subject = ContainedErrors()
    context.subject.add_failing_action()


@given("a host of a machine that sends to a machine of the same instance that raises")
def step_failing_receiver(context):
    context.subject = ContainedErrors()
    context.subject.add_failing_receiver()


@given("a host of a machine that raises and ends the process by that")
def step_ending(context):
    context.subject = ContainedErrors()
    context.subject.add_ending()


@when("the host runs for {seconds:g} s")
def step_run(context, seconds):
    context.subject.run(seconds)


@when("an event is delivered to it as a message")
def step_deliver(context):
    context.subject.deliver()


@when("an event is published to all")
def step_publish(context):
    context.subject.host.publish("event")


@when("an event is applied to it directly")
def step_apply(context):
    context.subject.apply()


@when("a message is delivered to it twice, and the host runs for {seconds:g} s")
def step_deliver_twice(context, seconds):
    context.subject.deliver()
    context.subject.deliver()
    context.subject.run(seconds)


@then("the first and the third machine got at least {count:d} ticks")
def step_ticks(context, count):
    first, _, third = context.subject.machines
    for machine in (first, third):
        assert machine.events.count(Tick()) >= count, machine.events


@then("the first and the third machine got the event")
def step_event(context):
    first, _, third = context.subject.machines
    assert first.events == third.events == ["event"], (first, third)


@then("the host counts the errors")
def step_counts(context):
    failing = context.subject.machines[1]
    assert context.subject.host.failures.count == len(failing.events) > 0


@then("the host counts {count:d} error")
def step_count(context, count):
    assert context.subject.host.failures.count == count


@then("its second action was performed")
def step_performed(context):
    assert context.subject.performed == [PERFORMED], context.subject.performed


@then("the error is raised to the caller")
def step_raised(context):
    assert isinstance(context.subject.error, ValueError), context.subject.error


@then("the machine got one message")
def step_one(context):
    events = context.subject.machines[0].events
    assert len([item for item in events if isinstance(item, Receive)]) == 1, events


@then("the host ends with the error that names the machine")
def step_ends(context):
    error = context.subject.error
    assert isinstance(error, MachineFailed), error
    assert "RecordingMachine" in str(error), error
