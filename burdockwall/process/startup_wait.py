"""Decide how long a request waits for an instance that has just started.

Made for the moment after a loss of all instances: all callers return at once, before
configuration, endpoints and stores are known, and each refusal uses up one of the few
attempts that a caller has.
"""

# Time after its start at which an instance is usually ready.
EXPECTED_STARTUP_S = 0.8
# The most of a request's time that it waits; callers give up an instance that has not
# read their request within a third of it.
WAIT_SHARE = 0.25


def compute_startup_wait_s(age_s: float, deadline_s: float | None) -> float:
    """Return how long a request waits at an instance of an age that isn't ready.

    `deadline_s` is the time that the request may take, or None without a limit.
    """
    wait_s = max(0.0, EXPECTED_STARTUP_S - age_s)
    if deadline_s is None:
        return wait_s
    return min(wait_s, WAIT_SHARE * deadline_s)
