from behave import given, then, when

from features.subjects.placement import PlacementSubject


@given(
    'a placement planner of {count:d} endpoints that all have loaded model "{model}"'
)
def step_planner(context, count, model):
    context.subject = PlacementSubject(count, model)


@given(
    "a placement planner without damping of {count:d} endpoints "
    'that all have loaded model "{model}"'
)
def step_undamped(context, count, model):
    context.subject = PlacementSubject(
        count, model, hold_s=0.0, gain_ratio=1.0, half_life_s=10.0
    )


@when(
    'placement demand is {first:g} s a second for "{name}" '
    'and {second:g} s a second for "{other}" for {seconds:d} s'
)
def step_demand(context, first, name, second, other, seconds):
    context.subject.run({name: first, other: second}, seconds)
    context.loads_before = len(context.subject.loads)


@when("placement demand swings by a quarter for {seconds:d} s")
def step_swing(context, seconds):
    context.subject.swing(seconds)


@when('the placement endpoint with "{model}" is lost')
def step_lose(context, model):
    context.subject.lose(model)


@then('placement has loaded "{model}" on {count:d} endpoint')
def step_loaded(context, model, count):
    assert len(context.subject.list_holders(model)) == count, context.subject.loaded


@then('placement has between {low:d} and {high:d} copies of "{model}"')
def step_copies(context, low, high, model):
    count = len(context.subject.list_holders(model))
    assert low <= count <= high, count


@then("placement has made at most {count:d} further changes")
def step_few_changes(context, count):
    made = len(context.subject.loads) - context.loads_before
    assert made <= count, made


@then("placement has made more than {count:d} further changes")
def step_many_changes(context, count):
    made = len(context.subject.loads) - context.loads_before
    assert made > count, made


@then("no two placement loads begin within one transfer of {seconds:g} s")
def step_rate(context, seconds):
    loads = context.subject.loads
    assert len(loads) > 1, loads
    gaps = [later - earlier for earlier, later in zip(loads, loads[1:], strict=False)]
    assert min(gaps) >= seconds, gaps
    assert context.subject.numbers == sorted(set(context.subject.numbers))
