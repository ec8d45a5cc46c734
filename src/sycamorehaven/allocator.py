"""
Settings of the C library's memory allocator.

glibc gives blocks from a threshold on pages of their own, which return to the
system when they are freed. It raises that threshold to the size of the largest
such block that was ever freed. So after one body of megabytes all others come
from the heap, and what is freed in the middle of it stays with the process.
"""

from __future__ import annotations

import ctypes

MMAP_THRESHOLD_BYTES = 524_288
"""Size from which blocks have pages of their own; more than is read from a
connection at a time."""
TRIM_THRESHOLD_BYTES = 2_097_152
"""Free bytes at the end of the heap from which they return to the system."""
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
"""Parameters of ``mallopt``, from glibc's ``malloc.h``."""


def fix_thresholds() -> bool:
    """
    Keep the allocator from changing its thresholds.

    :returns: whether the C library has such thresholds.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    return bool(
        mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
        and mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)
    )
