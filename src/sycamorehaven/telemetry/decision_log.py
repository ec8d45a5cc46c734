"""
A log of the router's decisions as JSON lines on standard output.

A line records a routing decision or a change in what the router assumes about
the fleet. Writing never blocks: lines that the reader of standard output has
not read yet are kept in a bounded buffer. Lines that exceed the buffer or the
permitted rate are dropped and counted, and a line of its own reports the
counts.
"""

from __future__ import annotations

import os
import sys
import time
from collections import Counter
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_LINES_PER_SECOND = 300.0
"""Largest average rate at which a process writes lines."""
MAX_BURST_LINES = 900.0
"""Largest number of lines that may be written in one burst."""
MAX_BUFFER_BYTES = 1_048_576
"""Bytes that may be buffered for a slow reader of standard output."""
DROP_REPORT_PERIOD_SECONDS = 1.0
"""Least time between two lines that report dropped lines."""

_encoder = msgspec.json.Encoder()


class DecisionLog:
    """
    Writes lines to a file descriptor, limited by a token bucket.

    :param host: name of the router's host, which is part of each line.
    :param descriptor: file descriptor in non-blocking mode, ``None`` to write
        nothing.
    :param clock: source of monotonic seconds for the rate limit.
    """

    def __init__(
        self,
        host: str,
        descriptor: int | None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._host = host
        self._descriptor = descriptor
        self._clock = clock
        self._available_lines = MAX_BURST_LINES
        self._refilled_at = clock()
        self._drops_reported_at = clock()
        self._dropped_lines: Counter[str] = Counter()
        self._buffer = bytearray()

    @classmethod
    def for_standard_output(cls, host: str) -> DecisionLog:
        """Create a log that writes to the standard output of the process."""
        descriptor = sys.stdout.fileno()
        os.set_blocking(descriptor, False)
        return cls(host, descriptor)

    @property
    def dropped_lines(self) -> Counter[str]:
        """Number of lines dropped since the last report, by event."""
        return self._dropped_lines

    def record(self, event: str, **fields: object) -> None:
        """
        Write a line about an event.

        :param event: name of the event, in snake case.
        :param fields: further fields of the line: the request, the inputs of
            the decision with their ages, and its outcome.
        """
        if self._descriptor is None:
            return
        now = self._clock()
        self._report_dropped_lines(now)
        if not self._admit_line(now):
            self._dropped_lines[event] += 1
            return
        self._write_event(event, fields)

    def record_summary(self, event: str, **fields: object) -> None:
        """
        Write a line that counts what other lines tell one by one.

        It is written even if lines exceed the permitted rate, since it is then
        all that is left. Write at most a few of them per second.
        """
        if self._descriptor is None:
            return
        if len(self._buffer) > MAX_BUFFER_BYTES:
            self._dropped_lines[event] += 1
            return
        self._write_event(event, fields)

    def flush(self) -> None:
        """Write as much of the buffer as is possible without blocking."""
        if self._descriptor is None:
            return
        try:
            while self._buffer:
                written = os.write(self._descriptor, self._buffer)
                del self._buffer[:written]
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed standard output; write nothing from now on.
            self._descriptor = None

    def _admit_line(self, now: float) -> bool:
        refill = (now - self._refilled_at) * MAX_LINES_PER_SECOND
        self._available_lines = min(self._available_lines + refill, MAX_BURST_LINES)
        self._refilled_at = now
        if self._available_lines < 1.0 or len(self._buffer) > MAX_BUFFER_BYTES:
            return False
        self._available_lines -= 1.0
        return True

    def _report_dropped_lines(self, now: float) -> None:
        if (
            not self._dropped_lines
            or now - self._drops_reported_at < DROP_REPORT_PERIOD_SECONDS
        ):
            return
        if len(self._buffer) > MAX_BUFFER_BYTES:
            self.flush()
            return
        self._drops_reported_at = now
        counts, self._dropped_lines = dict(self._dropped_lines), Counter()
        self._write(
            {
                "time": time.time(),
                "host": self._host,
                "event": "lines_left_out",
                "counts": counts,
            }
        )

    def _write_event(self, event: str, fields: dict[str, object]) -> None:
        self._write({"time": time.time(), "host": self._host, "event": event, **fields})

    def _write(self, line: dict[str, object]) -> None:
        self._buffer += _encoder.encode(line) + b"\n"
        self.flush()
