"""Which requests of a workspace are within its fair share."""

from __future__ import annotations

from sycamorehaven.decisions.proportional_admission import (
    EXCESS_RESERVE_RATIO,
    STARVED_LIMIT_FACTOR,
    STARVED_SATISFACTION,
    choose_limit_factor,
    count_spare_slots,
    draw_position,
    is_entitled,
)
from sycamorehaven.decisions.usage_window import UsageWindow


def test_fraction_of_entitled_requests_is_the_entitled_ratio() -> None:
    positions = [draw_position(f"{number:016x}") for number in range(2_000)]
    for ratio in (0.1, 0.5, 0.9):
        entitled = sum(is_entitled(position, ratio) for position in positions)
        assert abs(entitled / len(positions) - ratio) < 0.05
    assert all(is_entitled(position, 1.0) for position in positions)


def test_request_keeps_its_position() -> None:
    assert draw_position("a1") == draw_position("a1") != draw_position("a2")


def test_workspace_within_its_share_is_entitled_to_all_its_requests() -> None:
    window = UsageWindow(4.0)
    for step in range(8):
        now = 996.5 + step / 2
        window.add("small", 10.0 / 8, 10.0 / 8, now)
        window.add("flood", 90.0 / 8, 40.0 / 8, now)
    now = 1_000.49
    assert window.get_entitled_ratio("small", 45.0, now) == 1.0
    assert abs(window.get_entitled_ratio("flood", 45.0, now) - 0.5) < 0.01
    assert window.get_entitled_ratio("unknown", 45.0, now) == 1.0


def test_workspace_whose_demand_rises_is_not_entitled_to_all_of_it() -> None:
    window = UsageWindow(4.0)
    for step in range(4):
        window.add("rising", 10.0, 10.0, 996.5 + step / 2)
    for step in range(4):
        window.add("rising", 100.0, 10.0, 998.5 + step / 2)
    # At 200 a second it demands 800 in a window, though only 440 by now.
    ratio = window.get_entitled_ratio("rising", 200.0, 1_000.4)
    assert 0.2 <= ratio <= 0.35


def test_workspace_makes_up_for_what_it_received_beyond_its_share() -> None:
    window = UsageWindow(4.0)
    for step in range(8):
        window.add("flood", 100.0, 15.0, 996.5 + step / 2)
    now = 1_000.49
    ratios = [window.get_entitled_ratio("flood", share, now) for share in (80, 60)]
    assert abs(ratios[0] - (80 - 40) / 800) < 1e-3
    assert ratios[1] == 0.0
    assert window.get_entitled_ratio("flood", float("inf"), now) == 1.0


def test_excess_request_leaves_reserve_and_slots_for_requests_ahead() -> None:
    reserve = int(100 * EXCESS_RESERVE_RATIO)
    assert count_spare_slots(reserve, 100.0, requests_ahead=0) == 0
    assert count_spare_slots(reserve + 1, 100.0, requests_ahead=0) == 1
    assert count_spare_slots(20, 100.0, requests_ahead=20) == 0
    assert count_spare_slots(21, 100.0, requests_ahead=20) == 1
    assert count_spare_slots(0, 100.0, requests_ahead=20) < 0


def test_entitled_request_of_starved_workspace_uses_more_slots() -> None:
    starved = STARVED_SATISFACTION - 0.01
    assert choose_limit_factor(starved, entitled=True) == STARVED_LIMIT_FACTOR
    assert choose_limit_factor(starved, entitled=False) == 1.0
    assert choose_limit_factor(STARVED_SATISFACTION, entitled=True) == 1.0


def test_charges_taken_back_late_leave_no_negative_share() -> None:
    window = UsageWindow(4.0)
    window.add("a", 100.0, 100.0, 1_000.0)
    window.add("a", 50.0, -100.0, 1_004.5)
    share = window.get_fair_share(1_004.5)
    assert share == 0.0
    assert window.get_entitled_ratio("a", share, 1_004.5) == 0.0


def test_workspace_that_can_use_no_capacity_does_not_lower_the_share_of_others() -> (
    None
):
    window = UsageWindow(4.0)
    window.add("flood", 900.0, 300.0, 1_000.0)
    window.add("cut-off", 900.0, 0.0, 1_000.0)
    assert window.get_fair_share(1_000.0) > 300.0
    # One that is served a little may get as much as the other one soon.
    window.add("cut-off", 0.0, 100.0, 1_000.0)
    assert window.get_fair_share(1_000.0) == 1.1 * 400.0 / 2
