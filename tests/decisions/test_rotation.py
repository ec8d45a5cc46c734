"""Tests of routers that leave the rotation because they are short of time."""

from __future__ import annotations

import math

from sycamorehaven.decisions.rotation import (
    MAX_ABSENCE_SECONDS,
    MIN_ABSENCE_SECONDS,
    MIN_REJECTIONS,
    REPLY_SECONDS,
    REPORT_LIFETIME_SECONDS,
    WINDOW_SECONDS,
    RotationControl,
    RotationReport,
)

CALM_SECONDS = 100.0
DEPARTURE_SECONDS = 0.5
"""Time after which a flooded router without reports has left."""
SMALL, LARGE = 0.4, 2.0
"""Cores of two hosts."""


def flood(
    rotation: RotationControl, now: float, rejected: int = 280, workspace: str = "w1"
) -> bool:
    """Record a second of which most requests are rejected."""
    left = [
        rotation.record(workspace, now + number / rejected, accepted=False) == "left"
        for number in range(rejected)
    ]
    return any(left)


def report(
    rotation: RotationControl,
    now: float,
    rate: float = 0.0,
    *,
    host: str = "a2",
    cores: float = 1.0,
    is_absent: bool = False,
) -> None:
    """Let another router tell how much of the flood it gets."""
    rotation.record_report(host, RotationReport({"w1": rate}, cores, is_absent, now))


def test_router_that_mostly_rejects_leaves_for_a_while() -> None:
    rotation = RotationControl()
    assert not rotation.is_absent
    assert flood(rotation, CALM_SECONDS)
    assert rotation.is_absent
    assert not rotation.try_return(CALM_SECONDS + MIN_ABSENCE_SECONDS - 0.1)
    assert rotation.try_return(CALM_SECONDS + MIN_ABSENCE_SECONDS + DEPARTURE_SECONDS)
    assert not rotation.is_absent


def test_router_asks_others_before_it_leaves() -> None:
    rotation, now = RotationControl(LARGE), CALM_SECONDS
    for _ in range(3 * MIN_REJECTIONS):
        assert rotation.record("w1", now, accepted=False) is None
    assert rotation.needs_reports(now)
    report(rotation, now, cores=SMALL)
    rotation.record("w1", now + REPLY_SECONDS, accepted=False)
    assert not rotation.is_absent


def test_router_that_mostly_relays_stays() -> None:
    rotation = RotationControl()
    for _ in range(100):
        rotation.record("w1", CALM_SECONDS, accepted=True)
    assert not flood(rotation, CALM_SECONDS, rejected=100)
    assert not rotation.is_absent


def test_few_rejections_are_no_reason_to_leave() -> None:
    rotation = RotationControl()
    for second in range(10):
        now = CALM_SECONDS + second * WINDOW_SECONDS
        assert not flood(rotation, now, rejected=MIN_REJECTIONS - 1)


def test_absences_grow_while_the_flood_goes_on_and_are_bounded() -> None:
    rotation, now, absences = RotationControl(), CALM_SECONDS, []
    for _ in range(5):
        assert flood(rotation, now)
        back_at = now
        while not rotation.try_return(back_at):
            back_at += 0.5
        absences.append(math.floor(back_at - now))
        now = back_at + 1.0
    assert absences == sorted(absences)
    assert absences[-1] == MAX_ABSENCE_SECONDS
    now += CALM_SECONDS
    assert flood(rotation, now)
    assert rotation.try_return(now + MIN_ABSENCE_SECONDS + DEPARTURE_SECONDS)


def test_router_stays_away_while_another_one_gets_the_flood() -> None:
    rotation, now = RotationControl(), CALM_SECONDS
    for _ in range(30):
        rotation.record("w1", now, accepted=True)
    assert flood(rotation, now)
    for second in range(1, 40):
        report(rotation, now + second, rate=300.0)
        report(rotation, now + second, rate=2.0, host="a3")
        assert rotation.needs_reports(now + second)
        assert not rotation.try_return(now + second)
    # What the router relayed itself is no reason to stay away.
    report(rotation, now + 40, rate=rotation.carried_rate + MIN_REJECTIONS - 1)
    assert rotation.try_return(now + 40)
    assert not rotation.needs_reports(now + 40)


def test_flood_that_many_routers_share_keeps_no_router_away() -> None:
    rotation, now = RotationControl(), CALM_SECONDS
    assert flood(rotation, now)
    back_at = now + MIN_ABSENCE_SECONDS + DEPARTURE_SECONDS
    for number in range(20):
        report(rotation, back_at, rate=20.0, host=f"b{number}")
    assert rotation.try_return(back_at)


def test_silent_routers_keep_no_router_away() -> None:
    rotation, now = RotationControl(), CALM_SECONDS
    assert flood(rotation, now)
    back_at = now + MIN_ABSENCE_SECONDS + DEPARTURE_SECONDS
    report(rotation, back_at, rate=300.0)
    assert not rotation.try_return(back_at + REPORT_LIFETIME_SECONDS - 0.1)
    assert rotation.try_return(back_at + REPORT_LIFETIME_SECONDS)


def test_router_stays_away_while_its_own_connections_bring_the_flood() -> None:
    rotation, now = RotationControl(), CALM_SECONDS
    assert flood(rotation, now)
    for second in range(1, 8):
        flood(rotation, now + second)
        assert not rotation.try_return(now + second + 0.5)
    assert rotation.try_return(now + 10.0)


def test_host_with_more_processor_than_the_others_stays() -> None:
    rotation, now = RotationControl(LARGE), CALM_SECONDS
    report(rotation, now, cores=SMALL)
    report(rotation, now, cores=LARGE, host="a3")
    assert not flood(rotation, now)
    assert not rotation.is_absent
    small = RotationControl(SMALL)
    report(small, now, cores=SMALL)
    report(small, now, cores=LARGE, host="a3")
    assert flood(small, now)


def test_router_stays_if_fewer_than_half_would_be_ready() -> None:
    rotation, now = RotationControl(), CALM_SECONDS
    for number in range(3):
        report(rotation, now, host=f"b{number}", is_absent=number > 0)
    assert not flood(rotation, now)
    report(rotation, now, host="b1")
    assert flood(rotation, now + WINDOW_SECONDS)


def test_reason_to_stay_is_told_once_in_a_second() -> None:
    rotation, now = RotationControl(LARGE), CALM_SECONDS
    report(rotation, now, cores=SMALL)
    reasons = [
        rotation.record("w1", now, accepted=False) for _ in range(3 * MIN_REJECTIONS)
    ]
    assert reasons.count("others_smaller") == 1
    assert set(reasons) == {None, "others_smaller"}
