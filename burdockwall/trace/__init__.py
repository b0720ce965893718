"""Explain afterwards, from logs alone, what became of a request or a program."""
