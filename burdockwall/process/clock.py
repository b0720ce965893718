"""The clock that leases and time-outs of a process are measured with."""

import time


def read_clock() -> float:
    """Return monotonic seconds that include the time the machine is suspended.

    Otherwise a lease that expired during the suspension would still look valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
