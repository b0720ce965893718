"""Read the clock that leases and timeouts of a process count on."""

import time


def read_clock() -> float:
    """Return seconds that also pass while the machine is suspended.

    A lease must not seem to hold on a machine that wakes after it has lapsed.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
