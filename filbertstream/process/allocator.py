"""Settings of the C library's allocator that keep a process's memory near what it holds.

glibc takes large blocks from the system one by one, but after the first of them is freed it takes
blocks of that size from its heap, where bodies that grow side by side leave holes.  Of a process of
54 MB, a crowd with bodies over the limit left one of 77 MB, and with this setting one of 63 MB.
"""

import ctypes
import functools
from typing import Any, Final

M_MMAP_THRESHOLD: Final = -3
"""The parameter's number in ``malloc.h``."""

MMAP_THRESHOLD_BYTES: Final = 524_288
"""Larger blocks are mapped, grown without a copy, and returned as soon as they are freed.  The
event loop's reads of 256 KiB stay below, so that a read needs no calls to the system for memory."""


@functools.cache
def limit_fragmentation() -> bool:
    """Map large blocks, always; return whether the C library can do that."""
    try:
        mallopt: Any = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        # Another C library than glibc; some map large blocks anyway.
        return False
    return bool(mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES))
