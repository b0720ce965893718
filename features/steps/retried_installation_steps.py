from behave import given, then, when

from burdockwall.process.scheduling.reachability import AddressesListed
from features.subjects.retried_installation import (
    ADDRESSES,
    CUSTOMER,
    DOMAIN,
    RetriedDispatcher,
    RetriedEvacuation,
    RetriedReach,
    RetriedView,
)


@given("an instance that reads its evacuations, which raises {count:d} time")
def step_evacuation(context, count):
    context.subject = RetriedEvacuation(count)


@given("a dispatcher whose scheduler raises {count:d} time")
def step_dispatcher(context, count):
    context.subject = RetriedDispatcher(count)


@given("a dispatcher of 2 endpoints, one in each of two domains")
def step_dispatcher_of_two(context):
    context.subject = RetriedDispatcher(0)
    context.subject.install()
    assert context.subject.count_targets() == 2


@given("a builder of views whose index raises {count:d} time")
def step_builder(context, count):
    context.subject = RetriedView(count)


@given("a check of endpoints whose machine raises {count:d} time")
def step_reach(context, count):
    context.subject = RetriedReach(count)


@when("a version with an evacuated domain is put in force twice")
@when("a configuration of 2 endpoints is installed twice")
@when("addresses are installed there twice")
def step_install(context):
    context.subject.install()
    context.subject.install()


@when("its scheduler raises {count:d} time and a domain is evacuated twice")
def step_evacuate(context, count):
    context.subject.raise_first(count)
    context.subject.evacuate()
    context.subject.evacuate()


@when("a view with a customer is built twice")
def step_build(context):
    context.subject.build()
    context.subject.build()


@then("the domain is evacuated")
def step_evacuated(context):
    assert len(context.subject.decode.calls) == 2
    assert context.subject.follower.includes(DOMAIN)


@then("the scheduler has {count:d} targets")
def step_targets(context, count):
    assert context.subject.count_targets() == count


@then("the view has the customer")
def step_customer(context):
    assert CUSTOMER in context.subject.view.customers


@then("the machine got the addresses")
def step_addresses(context):
    assert context.subject.taken == [AddressesListed(ADDRESSES)]
