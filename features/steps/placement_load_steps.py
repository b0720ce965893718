from behave import then, when

from features.subjects.placement_load import describe_load, record_unreadable


@then('a load header "{header}" means {meaning}')
def step_header(context, header, meaning):
    assert describe_load(header) == meaning, describe_load(header)


@when('{first:d} answers of "e1" and {second:d} of "e2" have unreadable load headers')
def step_unreadable(context, first, second):
    context.recorded = record_unreadable({"e1": first, "e2": second})


@then("{count:d} are counted and {lines:d} lines are logged")
def step_recorded(context, count, lines):
    assert context.recorded == (count, lines), context.recorded
