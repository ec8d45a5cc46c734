"""
Test that a configuration in force never reverts to an older revision.

The platform may publish invalid and outdated texts, or be down.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp

from tests.support.configuration_texts import build_configuration_text
from tests.support.fleet import run_fleet, wait_for

if TYPE_CHECKING:
    from tests.support.fleet import Fleet


def build_numbered_text(fleet: Fleet, number: int) -> str:
    """Return a valid configuration text that differs for each number."""
    return build_configuration_text(fleet.servers) + f"# text {number}\n"


async def read_status(fleet: Fleet, router: int) -> dict[str, Any]:
    """Return the status of a router, empty while it is unreachable."""
    try:
        status: dict[str, Any] = await fleet.fetch_admin_document(router, "/v1/status")
    except aiohttp.ClientError:
        return {}
    return status


async def wait_for_revision(fleet: Fleet, revision: int) -> None:
    """Wait until a revision is in force at every router."""

    async def is_in_force_everywhere() -> bool:
        statuses = [await read_status(fleet, n) for n in range(len(fleet.routers))]
        return all(s.get("configuration_revision") == revision for s in statuses)

    await wait_for(is_in_force_everywhere)


async def restart_router(fleet: Fleet, router: int) -> set[int]:
    """
    Kill and restart a router; return the revisions that it had in force.

    Its status is read until it is ready and for at least a second more.
    """
    plan = fleet.routers[router]
    await fleet.kill(plan.host)
    await fleet.start_router(plan)
    seen: set[int] = set()

    async def is_ready() -> bool:
        status = await read_status(fleet, router)
        seen.add(status.get("configuration_revision", 0))
        return bool(status.get("ready", False))

    await wait_for(is_ready)
    for _ in range(20):
        await is_ready()
        await asyncio.sleep(0.05)
    return seen


async def test_revisions_only_rise_under_invalid_late_and_stale_texts() -> None:
    async with run_fleet(("a", "a", "a", "b")) as fleet:
        await fleet.publish(build_numbered_text(fleet, 2))
        await wait_for_revision(fleet, 2)
        refused = await fleet.publish("[nonsense]\n")

        async def is_reported() -> bool:
            statuses = [await read_status(fleet, n) for n in range(4)]
            return any(s["configuration_refused"] for s in statuses)

        await wait_for(is_reported)
        await wait_for_revision(fleet, 2)
        await fleet.publish(build_numbered_text(fleet, 5), refused + 2)
        await wait_for_revision(fleet, 5)
        await fleet.publish(build_numbered_text(fleet, 4), 4)
        assert await restart_router(fleet, 1) <= {0, 5}
        await fleet.set_platform_state("down")
        assert await restart_router(fleet, 3) <= {0, 5}
        await wait_for_revision(fleet, 5)
        await fleet.set_platform_state("up")
        await fleet.publish(build_numbered_text(fleet, 6), 6)
        await wait_for_revision(fleet, 6)


async def test_cold_start_without_platform_and_peers_reports_why_and_recovers() -> None:
    async with run_fleet(("a",)) as fleet:
        plan = fleet.routers[0]
        await fleet.set_platform_state("down")
        await fleet.kill(plan.host)
        await fleet.start_router(plan)

        async def reports_reason() -> bool:
            status = await read_status(fleet, 0)
            assert not status.get("ready", False)
            return "platform_unavailable" in str(status.get("reasons"))

        await wait_for(reports_reason)
        await fleet.set_platform_state("up")
        await fleet.wait_until_ready(plan)
