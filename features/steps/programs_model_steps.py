from behave import then

from features.subjects.programs_model import run_model


@then("{examples:d} runs of {steps:d} calls on a program agree with its model")
def step_run_model(context, examples, steps):
    run_model(examples, steps)
