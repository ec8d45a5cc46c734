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

LINES_RATE = 300.0
"""Lines a second that a process writes on average, at most."""
LINES_BURST = 900.0
"""Lines that may be written at once."""
BUFFER_BYTES = 1_048_576
"""Bytes that wait for a slow reader of standard output."""
REPORT_PERIOD = 1.0
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
        self._allowance = LINES_BURST
        self._filled_at = clock()
        self._reported_at = clock()
        self._left_out: Counter[str] = Counter()
        self._waiting = bytearray()

    @classmethod
    def from_standard_output(cls, host: str) -> DecisionLog:
        """Return the log of a process on its standard output."""
        descriptor = sys.stdout.fileno()
        os.set_blocking(descriptor, False)
        return cls(host, descriptor)

    @property
    def left_out(self) -> Counter[str]:
        """Lines left out since the last report, by event."""
        return self._left_out

    def record(self, event: str, **fields: object) -> None:
        """
        Write a line.

        :param event: what happened, in snake case.
        :param fields: the request, the inputs with their ages, the outcome.
        """
        if self._descriptor is None:
            return
        now = self._clock()
        self._report(now)
        if not self._admit(now):
            self._left_out[event] += 1
            return
        self._write({"time": time.time(), "host": self._host, "event": event, **fields})

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        if self._descriptor is None:
            return
        try:
            while self._waiting:
                written = os.write(self._descriptor, self._waiting)
                del self._waiting[:written]
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads standard output any more; the router goes on.
            self._descriptor = None

    def _admit(self, now: float) -> bool:
        earned = (now - self._filled_at) * LINES_RATE
        self._allowance = min(self._allowance + earned, LINES_BURST)
        self._filled_at = now
        if self._allowance < 1.0 or len(self._waiting) > BUFFER_BYTES:
            return False
        self._allowance -= 1.0
        return True

    def _report(self, now: float) -> None:
        if not self._left_out or now - self._reported_at < REPORT_PERIOD:
            return
        if len(self._waiting) > BUFFER_BYTES:
            self.flush()
            return
        self._reported_at = now
        counts, self._left_out = dict(self._left_out), Counter()
        self._write(
            {
                "time": time.time(),
                "host": self._host,
                "event": "lines_left_out",
                "counts": counts,
            }
        )

    def _write(self, line: dict[str, object]) -> None:
        self._waiting += _encoder.encode(line) + b"\n"
        self.flush()
