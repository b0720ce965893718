from behave import then, when

from features.subjects.orders import ConcurrentSender, NoWaitSender, OrdersSubject

UNSAFE_SENDERS = {
    "waiting for the previous leader": NoWaitSender,
    "one at a time": ConcurrentSender,
}


def run_orders(seeds, **options):
    faults = []
    for seed in seeds:
        subject = OrdersSubject(seed, **options)
        subject.run()
        faults += subject.faults
    return faults


@when("orders are sent by two leaders in turn with {count:d} seeds")
def step_send_orders(context, count):
    context.order_faults = run_orders(range(1, count + 1))


@when('orders are sent without "{protection}"')
def step_send_unsafe(context, protection):
    sender_type = UNSAFE_SENDERS[protection]
    context.order_faults = run_orders(range(1, 41), sender_type=sender_type)


@then("every order was done and none arrived after a later one")
def step_no_order_fault(context):
    assert not context.order_faults, context.order_faults[:5]


@then("an endpoint accepted an old order")
def step_order_fault(context):
    assert any("old order" in fault for fault in context.order_faults)
