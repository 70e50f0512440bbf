"""The monotonic clock of leases, deadlines and ages, which includes time in suspend."""

import time


def boot_time_s() -> float:
    """Return the seconds since the machine booted, including time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
