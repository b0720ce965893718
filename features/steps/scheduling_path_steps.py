from behave import given, then, when

from features.subjects.scheduling_path import SchedulingPathSubject


@given("a scheduling site with {count:d} engines")
def step_site(context, count):
    context.subject = SchedulingPathSubject(count)


@when("a scheduled program of {turns:d} turns runs to its end")
def step_run(context, turns):
    context.subject.run(turns, end=False)


@when("a scheduled program of {turns:d} turns runs and is ended")
def step_run_and_end(context, turns):
    context.subject.run(turns, end=True)


@then("the scheduled program's turns all ran at one engine")
def step_one(context):
    assert len(context.subject.list_used()) == 1


@then("that engine received a priority level and one cache key")
def step_priority(context):
    reports = context.subject.list_used()[0].reports
    assert "" not in reports.level_counts, reports.level_counts
    assert len(reports.cached_tokens) == 1, reports.cached_tokens


@then("the scheduler has received that engine's load and cache events")
def step_reports_received(context):
    cached = context.subject.list_used()[0].reports.cached_tokens
    assert context.subject.last_load_sequence > 0
    assert context.subject.expected_keys == list(cached)


@then("the operator sees why each scheduled call went there")
def step_explained(context):
    placed = context.subject.page.placements
    assert len(placed) == 3
    assert all(item.reason for item in placed)
    assert "holds" in placed[-1].reason, placed


@then("the engine has dropped the scheduled program's cache")
def step_dropped(context):
    reports = context.subject.list_used()[0].reports
    assert context.subject.released and not reports.cached_tokens
