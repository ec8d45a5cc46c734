"""Measurement of how busy an event loop is."""

from __future__ import annotations

import asyncio
import itertools

from sycamorehaven.transport.metered_loop import (
    MeteredEventLoop,
    MeteredSelector,
    read_busy_seconds,
)
from tests.support.doubles import ManualClock


def test_selector_measures_only_what_it_waits() -> None:
    # Each reading of the clock is one second later than the last.
    readings = itertools.count()
    selector = MeteredSelector(lambda: float(next(readings)))
    selector.select(0.0)
    assert selector.waited_seconds == 0.0
    selector.select(0.001)
    assert selector.waited_seconds == 1.0
    selector.close()


def test_loop_counts_the_time_of_its_work() -> None:
    clock = ManualClock()

    async def work() -> float:
        before = read_busy_seconds()
        clock.advance(0.25)
        await asyncio.sleep(0.001)
        return read_busy_seconds() - before

    with asyncio.Runner(loop_factory=lambda: MeteredEventLoop(clock)) as runner:
        assert runner.run(work()) == 0.25


def test_loop_that_does_not_measure_counts_processor_time() -> None:
    async def read() -> float:
        return read_busy_seconds()

    with asyncio.Runner(loop_factory=asyncio.SelectorEventLoop) as runner:
        assert runner.run(read()) > 0.0
