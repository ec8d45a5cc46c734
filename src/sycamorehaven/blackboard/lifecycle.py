"""
The phase of this process; written by the daemon.

Whoever serves a request enters it before its first step and leaves it after
its last byte, so that a graceful shutdown knows what is in progress.
"""

from __future__ import annotations

from sycamorehaven.blackboard.signal import Signal


class LifecycleSection:
    """Whether the router drains, and how many requests are in progress."""

    def __init__(self) -> None:
        self._is_listening = False
        self._is_draining = False
        self._requests_in_progress = 0
        self._changed = Signal()

    @property
    def is_listening(self) -> bool:
        """Whether callers can connect."""
        return self._is_listening

    @property
    def is_draining(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self._is_draining

    @property
    def requests_in_progress(self) -> int:
        """Requests that have come in and are not answered yet."""
        return self._requests_in_progress

    @property
    def changed(self) -> Signal:
        """Raised when draining begins and when a request ends."""
        return self._changed

    def mark_listening(self) -> None:
        """Note that callers can connect."""
        self._is_listening = True

    def begin_draining(self) -> None:
        """Mark the start of a graceful shutdown; again changes nothing."""
        if self._is_draining:
            return
        self._is_draining = True
        self._changed.notify()

    def begin_request(self) -> None:
        """Count a request in."""
        self._requests_in_progress += 1

    def end_request(self) -> None:
        """Count a request out."""
        self._requests_in_progress -= 1
        self._changed.notify()
