"""Whether a client takes what waits to be written to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.transport.client_limits.kernel_buffers import measure_unsent

if TYPE_CHECKING:
    import asyncio


class WriteProgress:
    """
    The bytes that wait to be written to one client.

    Those that the kernel holds count as well: a client that reads slowly may
    take little for long before the kernel accepts more.
    """

    def __init__(self) -> None:
        self._waiting: tuple[int, int] | None = None
        self._changed_at = 0.0

    def measure_stall(self, transport: asyncio.Transport, now: float) -> float:
        """
        Return the seconds for which nothing could be written.

        :param now: monotonic time in seconds.
        """
        size = transport.get_write_buffer_size()
        waiting = (size, measure_unsent(transport)) if size else None
        if waiting is None or waiting != self._waiting:
            self._waiting, self._changed_at = waiting, now
        return now - self._changed_at
