"""Measurement of the processor time and memory that a function takes."""

from __future__ import annotations

import gc
import time
import tracemalloc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

ROUNDS = 5


def measure_time(action: Callable[[], object], repeats: int) -> float:
    """
    Return the processor seconds of one call.

    The result is the mean of ``repeats`` calls in the fastest round.
    """
    best = float("inf")
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(repeats):
            action()
        best = min(best, time.process_time() - started)
    return best / repeats


def measure_memory(build: Callable[[], object]) -> int:
    """Return the bytes that ``build`` and its result keep allocated."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size
