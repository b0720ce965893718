import time

from behave import given, then, when

from features.steps.platform_steps import send_request
from features.subjects.leaving_endpoints import LeavingSubject, reads_as_leaving

INSTANCES = 2
# Time after which every instance has the list as it is now.
LIST_LIMIT_S = 2.0


@given('a follower with the endpoints "{first}" and "{second}" started at {ms:d}')
def step_follower(context, first, second, ms):
    context.subject = LeavingSubject()
    for name in (first, second):
        context.subject.list_endpoint(name, ms)
    context.subject.send_list()


@given('a follower with the endpoints "{first}" and "{second}" without start times')
def step_follower_without_starts(context, first, second):
    step_follower(context, first, second, None)


@when('an answer of "{name}" says that it leaves')
def step_answer(context, name):
    assert context.subject.follower.record_leaving(context.subject.listed[name])


@when('a late answer of "{name}" started at {ms:d} says that it leaves')
def step_late_answer(context, name, ms):
    subject = context.subject
    present = subject.listed[name]
    subject.list_endpoint(name, ms)
    subject.follower.record_leaving(subject.listed[name])
    subject.listed[name] = present


@when('the list comes again with "{name}" started at {ms:d}')
def step_list(context, name, ms):
    context.subject.list_endpoint(name, ms)
    context.subject.send_list()


@when('the list comes again with "{name}" without a start time')
def step_list_without_start(context, name):
    step_list(context, name, None)


@when('the list comes again without "{name}"')
def step_list_without(context, name):
    del context.subject.listed[name]
    context.subject.send_list()


@then('the endpoints that take new work are "{names}"')
def step_accepting(context, names):
    assert sorted(context.subject.list_accepting()) == names.split()


@then('an answer with the leaving values "{values}" means {meaning}')
def step_reads(context, values, meaning):
    sent = [] if values == "none" else values.split(",")
    assert reads_as_leaving(sent) is (meaning == "yes")


@given("the first tool server says in its answers that it leaves")
def step_says(context):
    context.site.tools[0].leaving_values = ("1",)


@when('{count:d} callers ask for "{path}" one after the other')
def step_ask(context, count, path):
    context.answers = [
        send_request(context, "GET", path, "key-one", number % INSTANCES + 1)
        for number in range(count)
    ]


@given("only the first tool server takes new work")
def step_only_first(context):
    set_second_state(context, "draining")


@when("the second tool server takes new work again")
def step_second_again(context):
    set_second_state(context, "ready")


def set_second_state(context, state):
    context.site.tools[1].state = state
    time.sleep(LIST_LIMIT_S)


@then("the first tool server was sent {count:d} requests")
def step_sent(context, count):
    assert len(context.site.tools[0].received_requests) == count
