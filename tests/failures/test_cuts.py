"""Failure domains cut off from each other and from the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.support.fleet import Fleet


async def test_sides_of_a_cut_lose_and_find_each_other(fleet: Fleet) -> None:
    await fleet.wait_for_members({0: 3, 2: 3})
    fleet.cut(fleet.list_domain("a"), fleet.list_domain("b"))
    await fleet.wait_for_members({0: 2, 1: 2, 2: 1})
    fleet.heal()
    await fleet.wait_for_members({0: 3, 1: 3, 2: 3})
