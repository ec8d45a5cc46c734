"""
Which arriving requests a router rejects because it has no time for them.

The connections of a client all reach one router, so that a few clients may
send one router more than its processor can handle while others are idle. A
router that is late rejects new requests before it reads them: first those of
the workspaces that send the most, so that the others are still served.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.decisions.usage_window import UsageWindow

if TYPE_CHECKING:
    from sycamorehaven.blackboard.event_loop import EventLoopSection

MAX_LAG_SECONDS = 0.2
"""Lag of the event loop from which arriving requests are rejected."""
WINDOW_SECONDS = 1.0
"""Time over which the requests of each workspace are counted."""


class ArrivalControl:
    """
    Counts the requests of each workspace and rejects some while it is late.

    :param event_loop: how late the router is.
    """

    def __init__(self, event_loop: EventLoopSection) -> None:
        self._event_loop = event_loop
        self._window = UsageWindow(WINDOW_SECONDS)

    def admit(self, workspace: str, now: float) -> bool:
        """
        Count a request and return whether the router has time for it.

        :param workspace: workspace of the request; "" on a public route.
        :param now: time of its arrival, in monotonic seconds.
        """
        self._window.add(workspace, 1.0, 0.0, now)
        if self._event_loop.lag < MAX_LAG_SECONDS:
            return True
        return not self._window.demands_even_part(workspace, now)
