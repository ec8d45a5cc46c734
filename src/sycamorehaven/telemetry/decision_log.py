"""
One line of JSON on standard output for each decision and change of belief.

Writing never blocks: what the reader of standard output does not take waits
in a bounded buffer, and what does not fit there is counted and left out. The
count is told in a line of its own.
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
"""Lines a second that a process writes on average, at most."""
MAX_BURST_LINES = 900.0
"""Lines that may be written at once."""
MAX_BUFFER_BYTES = 1_048_576
"""Bytes that wait for a slow reader of standard output."""
DROP_REPORT_PERIOD_SECONDS = 1.0
"""Seconds between two lines about lines that were left out."""

_encoder = msgspec.json.Encoder()


class DecisionLog:
    """
    Writes lines within a rate.

    :param host: the router's host.
    :param descriptor: file descriptor, not blocking.
    :param clock: seconds, for the rate.
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
        self._reported_at = clock()
        self._dropped_lines: Counter[str] = Counter()
        self._buffer = bytearray()

    @classmethod
    def for_standard_output(cls, host: str) -> DecisionLog:
        """Return the log of a process on its standard output."""
        descriptor = sys.stdout.fileno()
        os.set_blocking(descriptor, False)
        return cls(host, descriptor)

    @property
    def dropped_lines(self) -> Counter[str]:
        """Lines left out since the last report, by event."""
        return self._dropped_lines

    def record(self, event: str, **fields: object) -> None:
        """
        Write a line.

        :param event: what happened, in snake case.
        :param fields: the request, the inputs with their ages, the outcome.
        """
        if self._descriptor is None:
            return
        now = self._clock()
        self._report_dropped_lines(now)
        if not self._admit_line(now):
            self._dropped_lines[event] += 1
            return
        self._write({"time": time.time(), "host": self._host, "event": event, **fields})

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        if self._descriptor is None:
            return
        try:
            while self._buffer:
                written = os.write(self._descriptor, self._buffer)
                del self._buffer[:written]
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads standard output any more; the router goes on.
            self._descriptor = None

    def _admit_line(self, now: float) -> bool:
        earned = (now - self._refilled_at) * MAX_LINES_PER_SECOND
        self._available_lines = min(self._available_lines + earned, MAX_BURST_LINES)
        self._refilled_at = now
        if self._available_lines < 1.0 or len(self._buffer) > MAX_BUFFER_BYTES:
            return False
        self._available_lines -= 1.0
        return True

    def _report_dropped_lines(self, now: float) -> None:
        if (
            not self._dropped_lines
            or now - self._reported_at < DROP_REPORT_PERIOD_SECONDS
        ):
            return
        if len(self._buffer) > MAX_BUFFER_BYTES:
            self.flush()
            return
        self._reported_at = now
        counts, self._dropped_lines = dict(self._dropped_lines), Counter()
        self._write(
            {
                "time": time.time(),
                "host": self._host,
                "event": "lines_left_out",
                "counts": counts,
            }
        )

    def _write(self, line: dict[str, object]) -> None:
        self._buffer += _encoder.encode(line) + b"\n"
        self.flush()
