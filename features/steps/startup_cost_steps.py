from behave import then, when

from features.subjects.startup_cost import StartupSubject


@when("the modules of {role} are imported by a new process")
def step_import(context, role):
    context.generated = StartupSubject(role).list_generated()


@then("the code of at most {count:d} data classes of the project is generated")
def step_check_generated(context, count):
    assert len(context.generated) <= count, context.generated
