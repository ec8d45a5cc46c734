"""
Which arriving requests a router rejects because it has no time for them.

The connections of a client all reach one router, so that a few clients may
send one router more than its processor can handle while others are idle. A
router that is late, or has as many requests in progress as it can relay,
rejects the requests of the workspaces that it accepted at least an even part
from, before it reads their bodies. It still serves the other workspaces. What
it rejected does not count, or a workspace whose clients come back soon would
be left with nothing.
"""

from __future__ import annotations

from sycamorehaven.decisions.usage_window import UsageWindow

MAX_LAG_SECONDS = 0.2
"""Lag of the event loop from which arriving requests are rejected."""
WINDOW_SECONDS = 1.0
"""Time over which the requests of each workspace are counted."""


class ArrivalControl:
    """
    Counts the accepted requests of each workspace and rejects some if they are
    many.
    """

    def __init__(self) -> None:
        self._window = UsageWindow(WINDOW_SECONDS)

    def admit(
        self, workspace: str, lag: float, now: float, *, has_room: bool = True
    ) -> bool:
        """
        Return whether the router has time for a request, and count it if so.

        :param workspace: workspace of the request; "" on a public route.
        :param lag: how late the event loop is, in seconds.
        :param now: time of its arrival, in monotonic seconds.
        :param has_room: whether the router can relay one request more.
        """
        if not self.has_time(lag, has_room=has_room) and self.takes_even_part(
            workspace, now
        ):
            return False
        self._window.add(workspace, 1.0, 0.0, now)
        return True

    def has_time(self, lag: float, *, has_room: bool) -> bool:
        """
        Return whether the router has time for the requests of all workspaces.

        :param lag: how late the event loop is, in seconds.
        :param has_room: whether the router can relay one request more.
        """
        return has_room and lag < MAX_LAG_SECONDS

    def takes_even_part(self, workspace: str, now: float) -> bool:
        """
        Return whether a workspace had at least an even part accepted.

        :param now: monotonic seconds.
        """
        return self._window.demands_even_part(workspace, now)
