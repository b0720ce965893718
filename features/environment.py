"""Behave's hooks before the run and after each scenario."""

import logging


def before_all(context):
    # httpx logs a line for each request, which would hide the cause of a failure.
    logging.getLogger("httpx").setLevel(logging.WARNING)


def after_scenario(context, scenario):
    subject = getattr(context, "subject", None)
    close = getattr(subject, "close", None)
    if close is not None:
        close()
