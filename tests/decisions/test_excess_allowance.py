"""Free slots that several routers see at the same time."""

from __future__ import annotations

from sycamorehaven.decisions.excess_allowance import ExcessAllowance

NEWS_PERIOD = 0.5


def count_placed(spare_slots: float, routers: int, passes: int = 25) -> int:
    """Return how many requests a router places between two news."""
    allowance, placed = ExcessAllowance(), 0
    allowance.take()
    for step in range(passes):
        now = 1_000.0 + step * NEWS_PERIOD / passes
        allowance.accrue(spare_slots, routers, NEWS_PERIOD, now)
        while allowance.is_available():
            allowance.take()
            placed += 1
    return placed


def test_routers_place_no_more_excess_than_there_are_free_slots() -> None:
    for routers in (1, 6, 65):
        placed = routers * count_placed(130.0, routers)
        assert 0.5 * 130 <= placed <= 2 * 130, routers


def test_router_alone_takes_all_free_slots() -> None:
    assert count_placed(40.0, 1) >= 40


def test_allowance_does_not_pile_up_while_nothing_is_placed() -> None:
    allowance = ExcessAllowance()
    for second in range(100):
        allowance.accrue(12.0, 4, NEWS_PERIOD, 1_000.0 + second)
    placed = 0
    while allowance.is_available():
        allowance.take()
        placed += 1
    assert placed <= 3


def test_no_excess_is_placed_without_spare_slots() -> None:
    allowance = ExcessAllowance()
    allowance.take()
    allowance.accrue(-5.0, 4, NEWS_PERIOD, 1_000.0)
    assert not allowance.is_available()
