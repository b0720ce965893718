"""Prepare behave for every scenario."""

import logging


def before_all(context):
    # A line for each request of a test's client hides what failed.
    logging.getLogger("httpx").setLevel(logging.WARNING)


def after_scenario(context, scenario):
    subject = getattr(context, "subject", None)
    close = getattr(subject, "close", None)
    if close is not None:
        close()
