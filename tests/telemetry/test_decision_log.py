"""The decision log: bounded, never blocking, counted where it leaves out."""

from __future__ import annotations

import json
import os

from sycamorehaven.telemetry.decision_log import (
    BUFFER_BYTES,
    LINES_BURST,
    REPORT_PERIOD,
    DecisionLog,
)
from tests.support.doubles import ManualClock


def read_lines(descriptor: int) -> list[dict[str, object]]:
    os.set_blocking(descriptor, False)
    data = b""
    try:
        while chunk := os.read(descriptor, 65_536):
            data += chunk
    except BlockingIOError:
        pass
    return [json.loads(line) for line in data.splitlines()]


def test_flood_is_bounded_and_what_is_left_out_is_counted() -> None:
    source, target = os.pipe()
    os.set_blocking(target, False)
    clock = ManualClock()
    log = DecisionLog("h", target, clock)
    written = []
    for number in range(3 * int(LINES_BURST)):
        log.record("placed", request=number)
        written += read_lines(source) if number % 100 == 0 else []
    clock.advance(REPORT_PERIOD)
    log.record("placed", request="last")
    written += read_lines(source)
    counts = [line["counts"] for line in written if line["event"] == "lines_left_out"]
    assert counts == [{"placed": 2 * int(LINES_BURST)}]
    assert len(written) == int(LINES_BURST) + 2
    os.close(source)
    os.close(target)


def test_reader_that_does_not_read_blocks_nothing() -> None:
    source, target = os.pipe()
    os.set_blocking(target, False)
    clock = ManualClock()
    log = DecisionLog("h", target, clock)
    for _ in range(400):
        clock.advance(1.0)
        log.record("placed", detail="x" * 10_000)
    assert sum(log.left_out.values()) > 0
    assert 2 * BUFFER_BYTES < 400 * 10_000
    os.close(source)
    os.close(target)


def test_reader_that_is_gone_ends_nothing() -> None:
    source, target = os.pipe()
    os.close(source)
    log = DecisionLog("h", target)
    log.record("placed")
    log.record("placed")
    assert not log.left_out
    os.close(target)
