from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from features.subjects.platform import (
    PlatformSite,
    build_configuration,
    build_turn_headers,
)

BUDGET_TOKENS = 10_000
CALLERS = 30


class ProgramSite(PlatformSite):
    """A site with the limits of the settings template."""

    def _create_settings(self, role, host, name):
        settings = super()._create_settings(role, host, name)
        settings.limit_wait_s = 0.6
        settings.limit_program_wait_s = 4.0
        # All instances and callers share a process, which answers late at times.
        settings.limit_silence_s = 0.6
        return settings


@given("a site with whole programs and a customer of {rate:d} requests a second")
def step_site(context, rate):
    context.site = ProgramSite()
    context.add_cleanup(context.site.close)
    context.site.start()
    configuration = build_configuration(9)
    configuration["tenants"][0] |= {"rate-per-s": rate, "burst": rate}
    assert context.site.put_configuration(configuration).status_code == 200
    in_force = context.site.wait_for(
        lambda: all(entry.view.number == 9 for entry in context.site.entries), 10.0
    )
    assert in_force


def send_turn(context, turn, previous, program, instance):
    headers = build_turn_headers(turn, previous, BUDGET_TOKENS)
    headers |= {"x-program-id": program}
    return context.site.send_request("POST", "/chat/1", headers, b"one ", instance)


@when("a program has its first turn answered")
def step_first(context):
    answer = send_turn(context, "t1", None, "first", 1)
    assert answer.status_code == 200, answer.text


@when("{count:d} other programs begin at once")
def step_others(context, count):
    context.pool = ThreadPoolExecutor(CALLERS + 1)
    context.add_cleanup(context.pool.shutdown)
    context.others = [
        context.pool.submit(
            send_turn, context, f"o{number}", None, f"p{number}", 1 + number % 2
        )
        for number in range(count)
    ]


@then("the next turn and a call of the first program are answered 200")
def step_next(context):
    answer = send_turn(context, "t2", "t1", "first", 2)
    assert answer.status_code == 200, answer.text
    headers = {"x-request-id": "c1", "x-api-key": "key-one", "x-program-id": "first"}
    answer = context.site.send_request("GET", "/tool/1", headers)
    assert answer.status_code == 200, answer.text


@then(
    "some of the others are answered 200, the rest 429 with code 1306 and a time to "
    "come again"
)
def step_refused(context):
    answers = [item.result() for item in context.others]
    served = [answer for answer in answers if answer.status_code == 200]
    refused = [answer for answer in answers if answer.status_code != 200]
    assert served and refused, len(served)
    for answer in refused:
        assert answer.status_code == 429, answer.text
        assert answer.json()["code"] == 1306, answer.text
        assert float(answer.headers["retry-after"]) > 0.0
