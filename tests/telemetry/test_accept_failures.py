"""Summary of accept failures."""

from __future__ import annotations

import asyncio
import errno
import unittest
from typing import TYPE_CHECKING

from sycamorehaven.telemetry.accept_failures import (
    REPORT_PERIOD_SECONDS,
    AcceptFailureLog,
)

if TYPE_CHECKING:
    from tests.support.doubles import ManualClock


async def test_thousand_accept_failures_make_one_log_line(clock: ManualClock) -> None:
    log, loop = AcceptFailureLog(clock), asyncio.get_running_loop()
    failure = OSError(errno.EMFILE, "Too many open files")
    with unittest.TestCase().assertLogs("absl", "ERROR") as captured:
        for _ in range(1_000):
            log.handle(loop, {"message": "accept", "exception": failure})
        clock.advance(REPORT_PERIOD_SECONDS)
        log.handle(loop, {"message": "accept", "exception": failure})
    assert len(captured.output) == 2
    assert "1001 failures" in captured.output[1]


async def test_other_exceptions_are_logged_by_asyncio(clock: ManualClock) -> None:
    log, loop = AcceptFailureLog(clock), asyncio.get_running_loop()
    with unittest.TestCase().assertLogs("asyncio", "ERROR") as captured:
        log.handle(loop, {"message": "oops", "exception": ValueError("wrong")})
    assert "oops" in captured.output[0]
