"""Signals that stop a process."""

from __future__ import annotations

import asyncio
import signal


class StopSignals:
    """
    Handles SIGTERM and SIGINT.

    The first signal sets ``drain_requested``, the second ``stop_forced``.
    """

    def __init__(self) -> None:
        self.drain_requested = asyncio.Event()
        self.stop_forced = asyncio.Event()

    def install(self) -> None:
        """Install the signal handlers in the running event loop."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._handle_signal)

    def _handle_signal(self) -> None:
        if self.drain_requested.is_set():
            self.stop_forced.set()
        self.drain_requested.set()
