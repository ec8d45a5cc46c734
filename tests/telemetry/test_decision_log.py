"""Tests of the decision log's limits, and of readers that stall or close."""

from __future__ import annotations

import json
import os

from sycamorehaven.telemetry.decision_log import (
    DROP_REPORT_PERIOD_SECONDS,
    MAX_BUFFER_BYTES,
    MAX_BURST_LINES,
    DecisionLog,
)
from tests.support.doubles import ManualClock


def read_available_lines(descriptor: int) -> list[dict[str, object]]:
    os.set_blocking(descriptor, False)
    data = b""
    try:
        while chunk := os.read(descriptor, 65_536):
            data += chunk
    except BlockingIOError:
        pass
    return [json.loads(line) for line in data.splitlines()]


def test_excess_lines_are_dropped_and_counted() -> None:
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    clock = ManualClock()
    log = DecisionLog("h", write_end, clock)
    written = []
    for number in range(3 * int(MAX_BURST_LINES)):
        log.record("placed", request=number)
        written += read_available_lines(read_end) if number % 100 == 0 else []
    clock.advance(DROP_REPORT_PERIOD_SECONDS)
    log.record("placed", request="last")
    written += read_available_lines(read_end)
    counts = [line["counts"] for line in written if line["event"] == "lines_left_out"]
    assert counts == [{"placed": 2 * int(MAX_BURST_LINES)}]
    assert len(written) == int(MAX_BURST_LINES) + 2
    os.close(read_end)
    os.close(write_end)


def test_stalled_reader_does_not_block_the_writer() -> None:
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    clock = ManualClock()
    log = DecisionLog("h", write_end, clock)
    for _ in range(400):
        clock.advance(1.0)
        log.record("placed", detail="x" * 10_000)
    assert sum(log.dropped_lines.values()) > 0
    assert 2 * MAX_BUFFER_BYTES < 400 * 10_000
    os.close(read_end)
    os.close(write_end)


def test_closed_reader_does_not_fail_the_writer() -> None:
    read_end, write_end = os.pipe()
    os.close(read_end)
    log = DecisionLog("h", write_end)
    log.record("placed")
    log.record("placed")
    assert not log.dropped_lines
    os.close(write_end)
