from behave import given, then, when

from burdockwall.fakes.servers import FakeServer
from features.subjects.platform import PlatformSite, build_turn_headers


@given(
    "a site that places by work, whose first tool server reports {count:d} waiting"
    " requests"
)
def step_site(context, count):
    tools = [FakeServer(f"tool-{number}", "tools") for number in (1, 2)]
    tools[0].load, tools[1].load = f"8,{count},8,100", "0,0,8,100"
    context.site = PlatformSite(tools=tools, placement="work")
    context.add_cleanup(context.site.close)
    context.site.start()


def send_all(context, count):
    context.before = len(context.site.tools[0].received_requests)
    context.statuses = set()
    for number in range(count):
        for instance in (1, 2):
            request = f"{context.before}-{number}-{instance}"
            headers = {"x-request-id": request, "x-api-key": "key-one"}
            answer = context.site.send_request(
                "GET", "/tool/1", headers, instance=instance
            )
            context.statuses.add(answer.status_code)


@when("{count:d} tool requests are sent to each entry instance")
def step_send(context, count):
    send_all(context, count)


@when(
    "the first tool server's load header is broken and {count:d} more are sent to each"
)
def step_break(context, count):
    context.site.tools[0].load = "8,80,x"
    send_all(context, count)


@then("all are served, and the first tool server gets at most {most:d}")
def step_served(context, most):
    assert context.statuses == {200}, context.statuses
    received = len(context.site.tools[0].received_requests) - context.before
    assert received <= most, received


@when('a turn declares "{usage}" tokens, the prefix "{prefix}" and the length "{hint}"')
def step_turn(context, usage, prefix, hint):
    headers = build_turn_headers("00000000000000a1", None, 10_000)
    headers |= {"x-token-usage": usage, "x-prompt-prefix": prefix}
    headers |= {"x-length-hint": hint}
    context.answer = context.site.send_request("POST", "/chat/1", headers, b"hello")


@then("the turn is served")
def step_turn_served(context):
    assert context.answer.status_code == 200, context.answer.text
