import time

from behave import given, then, when

from burdockwall.process.control.audit import AuditFilter
from burdockwall.process.control_node import find_store
from burdockwall.process.evacuation.evacuations import Evacuations
from features.steps.platform_steps import send_request
from features.subjects.evacuation import OBEYED_LIMIT_S, EvacuationSite, OwnEvacuation

EIGHT = tuple("cdefghij")
ROUNDS = 3


@given("a site whose tool servers are in the domains a and b")
def step_site(context):
    context.site = EvacuationSite()
    context.add_cleanup(context.site.close)
    context.site.start()


@when('the order "{order}" is sent, and again as if its response was lost')
def step_order(context, order):
    context.answers = [context.site.order(*order.split("/")) for _ in range(2)]


@then("both are acknowledged within {limit_s:d} s")
def step_acknowledged(context, limit_s):
    for answer in context.answers:
        assert answer.status_code == 200, answer.text
        assert answer.elapsed.total_seconds() < limit_s


@then("no request reaches the domain b, and every caller is answered 200")
def step_none(context):
    for instance in (1, 2):
        assert context.site.measure_obeyed_s(instance) < OBEYED_LIMIT_S
    assert sum(context.site.serve_calls() for _ in range(ROUNDS)) == 0


@then("the audit trail names the operator and the document of the order")
def step_audit(context):
    control = context.site.find_leader().control
    (record,) = control.list_audit(AuditFilter(contains="+evacuations 1,"))
    assert (record.operator, record.code) == ("operator", 0), record


@given("requests reach the domain b within {limit_s:d} s")
@then("requests reach the domain b within {limit_s:d} s")
def step_reach(context, limit_s):
    assert context.site.wait_for(lambda: context.site.serve_calls() > 0, limit_s)


@then("the document says when the evacuation of b ended")
def step_ended(context):
    evacuations = context.site.get_evacuations()
    assert not evacuations.domains
    assert 0 <= time.time() - evacuations.ended["b"] < 30
    for entry in context.site.entries:
        assert entry.endpoints.evacuation.evacuations == evacuations


@then("nothing is stored")
def step_nothing(context):
    assert context.site.get_evacuations() == Evacuations()


@then('both are refused with {status:d}, code {code:d} and the name "{name}"')
def step_refused(context, status, code, name):
    for answer in context.answers:
        assert answer.status_code == status, answer.text
        assert answer.json()["code"] == code
        assert name in answer.json()["error"]


@when('the order "b/start" is sent to an instance that does not lead')
def step_follower(context):
    context.answer = context.site.order("b", "start", leader=False)


@then("it is redirected to the leader")
def step_redirected(context):
    address = context.site.find_leader().settings.operator_address
    assert context.answer.status_code == 307
    expected = f"http://{address}/api/evacuate/b/start"
    assert context.answer.headers["location"] == expected


@then("a request is refused within {limit_s:f} s as not run, with a time to come back")
def step_not_run(context, limit_s):
    for instance in (1, 2):
        context.site.measure_obeyed_s(instance)
        answer = send_request(context, "GET", "/tool/1", "key-one", instance)
        assert answer.status_code == 503, answer.text
        assert answer.json()["code"] == 1401, answer.text
        assert float(answer.headers["retry-after"]) >= 1
        assert answer.elapsed.total_seconds() < limit_s


@when('the order "b/start" comes while requests wait for connections to b')
def step_waiting(context):
    site = context.site
    site.hold_connections()
    answer = site.order("b", "start")
    assert answer.status_code == 200, answer.text
    site.check_answered()
    assert site.count_received() == 0


@when(
    "the servers have become slower, from {before_s:g} s to {after_s:g} s for an answer"
)
def step_slower(context, before_s, after_s):
    for instance in (1, 2):
        context.site.measure_obeyed_s(instance)
    for _ in range(4):
        context.site.serve_calls()
    for tool in context.site.tools:
        assert tool.delay_s == before_s
        tool.delay_s = after_s


@when("every instance stops at once and starts again")
def step_restart(context):
    context.site.restart_all()
    assert all(e.endpoints.evacuation.includes("b") for e in context.site.entries)


@when("the leader accepts an order for b and dies at once")
def step_leader_dies(context):
    context.site.order_and_kill("b")


@then("every instance obeys the order within {limit_s:d} s")
def step_all_obey(context, limit_s):
    taken = [context.site.measure_obeyed_s(instance) for instance in (1, 2)]
    assert sum(taken) < limit_s, taken


@when('instance 1 is cut off, and the order "b/start" is acknowledged')
def step_cut(context):
    context.site.call_in_loop(context.site.set_cut, True)
    assert context.site.order("b", "start").status_code == 200
    context.site.measure_obeyed_s(2)
    time.sleep(2)
    assert not context.site.entries[0].endpoints.evacuation.includes("b")


@when("instance 1 is connected again")
def step_heal(context):
    context.site.call_in_loop(context.site.set_cut, False)


@then("instance 1 obeys the order within {limit_s:d} s")
def step_obeys(context, limit_s):
    assert context.site.measure_obeyed_s(1) < limit_s


@when("eight domains are evacuated at the same time, one of them by two orders")
def step_eight(context):
    node = context.site.find_leader()
    node.settings.regions = dict.fromkeys(EIGHT, "r")
    orders = node.evacuation_orders
    calls = [
        lambda domain=domain: orders.start(domain, "operator")
        for domain in (*EIGHT, EIGHT[0])
    ]
    assert context.site.race(calls) == [None] * len(calls)


@then("each of them is evacuated")
def step_each(context):
    assert set(context.site.get_evacuations().domains) == set(EIGHT)


@when("there are five stores and two in use are emptied at the same time")
def step_two_stores(context):
    site = context.site
    for number in (4, 5):
        site.call_in_loop(site.start_store, number, False)
    node = site.find_leader()
    # The view has four of them, and the fifth stands by.
    assert site.wait_for(lambda: len(node.get_view().instances) == 4, 20)
    found = site.wait_for(lambda: find_store(node, "store-5") is not None, 20)
    assert found, node.get_view()
    context.stores = [find_store(node, f"store-{number}") for number in (1, 2)]
    assert set(context.stores) <= set(node.get_view().instances)
    calls = [lambda store=store: node.start_emptying(store) for store in context.stores]
    assert site.race(calls) == [None, None]


@then("each of the two is being emptied")
def step_both(context):
    emptying = context.site.find_leader().get_emptying()
    assert set(context.stores) <= emptying.instances, emptying


@when("an unknown domain and the engine's are evacuated, and then used again")
def step_own(context):
    context.own = OwnEvacuation(context.subject)
    context.subject.run(context.own.run)


@then("the orders led to the codes 2021, 1401 and 200")
def step_own_codes(context):
    assert context.own.codes == [2021, 1401, 200], context.own.codes
    assert set(context.own.ended.ended) == {"a"}


@then("the status of an entry named the domain and the operator meanwhile")
def step_own_status(context):
    (line,) = context.own.status
    assert line.startswith("a since 20") and line.endswith(" by operator"), line
