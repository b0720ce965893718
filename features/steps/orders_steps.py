from behave import then, when

from features.subjects.orders import ConcurrentSender, NoWaitSender, OrdersSubject

UNSAFE = {
    "waiting for the former leader": NoWaitSender,
    "one at a time": ConcurrentSender,
}


def run_orders(seeds, **options):
    faults = []
    for seed in seeds:
        subject = OrdersSubject(seed, **options)
        subject.run()
        faults += subject.faults
    return faults


@when("orders are given by two leaders in turn with {count:d} seeds")
def step_give_orders(context, count):
    context.order_faults = run_orders(range(1, count + 1))


@when('orders are given without "{protection}"')
def step_give_unsafe(context, protection):
    sender_type = UNSAFE[protection]
    context.order_faults = run_orders(range(1, 41), sender_type=sender_type)


@then("every order was done and none was overtaken")
def step_no_order_fault(context):
    assert not context.order_faults, context.order_faults[:5]


@then("an endpoint took an old order")
def step_order_fault(context):
    assert any("old order" in fault for fault in context.order_faults)
