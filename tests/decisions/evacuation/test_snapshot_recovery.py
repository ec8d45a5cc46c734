"""After a pause nothing is sent before a snapshot was read."""

from __future__ import annotations

from sycamorehaven.blackboard.routing import RoutingSection
from sycamorehaven.decisions.evacuation.snapshot_recovery import (
    RECOVERY_SECONDS,
    SnapshotRecovery,
)
from sycamorehaven.gateway_settings import GatewaySettings, GatewayTable


def test_first_requests_after_a_pause_wait_for_a_read_that_began_after_it() -> None:
    recovery = SnapshotRecovery(2.5)
    recovery.beat(10.0)
    assert not recovery.is_pending(12.4)
    # A request is read before the loop that notices the pause runs.
    assert recovery.is_pending(13.0)
    assert recovery.beat(13.1) > 3.0
    recovery.record_read(12.9)
    assert recovery.is_pending(13.2)
    recovery.record_read(13.1)
    assert not recovery.is_pending(13.2)


def test_requests_do_not_wait_forever_for_a_store_that_is_down() -> None:
    recovery = SnapshotRecovery(2.5)
    recovery.beat(10.0)
    recovery.beat(20.0)
    recovery.beat(20.0 + RECOVERY_SECONDS)
    assert not recovery.is_pending(20.0 + RECOVERY_SECONDS)


def test_router_without_evacuations_or_beats_does_not_wait() -> None:
    assert not SnapshotRecovery(2.5).is_pending(10.0)
    recovery = SnapshotRecovery()
    recovery.beat(10.0)
    assert not recovery.beat(100.0)
    assert not recovery.is_pending(200.0)
    stopped = SnapshotRecovery(2.5)
    stopped.beat(10.0)
    stopped.stop()
    assert not stopped.is_pending(20.0)


# With half of a short timeout, each look at the snapshot would be late.
def test_router_with_a_short_timeout_refuses_requests_without_a_pause() -> None:
    table: GatewayTable = {
        "readiness": "127.0.0.1:1",
        "metrics": "127.0.0.1:2",
        "grace": 8.0,
        "retry_ratio": 0.2,
        "retry_window": 10.0,
        "retry_slack": 50.0,
        "quota_window": 4.0,
        "evacuation_timeout_ms": 300,
    }
    settings = GatewaySettings.from_table(table)
    recovery = RoutingSection.from_settings(settings).recovery
    for now in (0.0, 0.25, 0.9):
        recovery.beat(now)
        assert not recovery.is_pending(now)
    recovery.beat(2.5)
    assert recovery.is_pending(2.5)
