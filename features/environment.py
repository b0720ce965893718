"""Prepare behave for every scenario."""


def after_scenario(context, scenario):
    subject = getattr(context, "subject", None)
    close = getattr(subject, "close", None)
    if close is not None:
        close()
