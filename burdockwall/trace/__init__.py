"""Explain from the logs of instances what happened to a request or a program."""
