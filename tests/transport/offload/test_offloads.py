"""Tests of when a router passes requests on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.blackboard.members import Member
from sycamorehaven.decisions.rotation import RotationControl, RotationReport
from sycamorehaven.telemetry.decision_log import DecisionLog
from sycamorehaven.transport.offload.offloads import Offloads
from tests.support.doubles import create_board

if TYPE_CHECKING:
    from tests.support.doubles import ManualClock

QUOTA = 0.387
"""Fraction of a core that the smallest host has."""
QUOTA_PERIOD_SECONDS = 0.1
"""Time after which a host that has used its quota goes on."""


def find_host(clock: ManualClock, lag: float, state: str = "alive") -> str | None:
    """Return the host that gets a request of a router that is late."""
    board, rotation = create_board(), RotationControl(QUOTA)
    board.members.replace({"a2": Member("a2", 1, "10.0.0.2:1", "a", state)})
    report = RotationReport({}, 1.0, False, clock(), "10.0.0.2:80", 1.0)
    rotation.record_report("a2", report)
    board.event_loop.update(lag, 1.0)
    offloads = Offloads(board, rotation, DecisionLog("a1", None), 1_638, clock)
    peer = offloads.find_peer()
    return peer.host if peer is not None else None


# A host whose quota is used up stands still until the next period.
def test_small_host_that_is_late_whenever_it_is_busy_passes_nothing_on(
    clock: ManualClock,
) -> None:
    assert find_host(clock, (1.0 - QUOTA) * QUOTA_PERIOD_SECONDS) == "a2"


def test_router_that_is_very_late_passes_nothing_on(clock: ManualClock) -> None:
    assert find_host(clock, 0.2) is None


def test_router_that_is_leaving_gets_no_requests(clock: ManualClock) -> None:
    assert find_host(clock, 0.0, state="leaving") is None
