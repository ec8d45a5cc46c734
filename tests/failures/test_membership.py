"""Test the membership of router processes that are killed and paused."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from tests.support.fleet import Fleet

VIEW_TIMEOUT_SECONDS = 30.0
"""Seconds within which a router's view must become the expected one."""


async def read_members(fleet: Fleet, router: int) -> dict[str, dict[str, Any]]:
    url = f"http://{fleet.routers[router].admin_address}/v1/members"
    async with fleet.client.get(url) as response:
        members = (await response.json())["members"]
    return {member["host"]: member for member in members}


async def wait_for_view(fleet: Fleet, router: int, hosts: set[str]) -> None:
    async with asyncio.timeout(VIEW_TIMEOUT_SECONDS):
        while True:
            members = await read_members(fleet, router)
            all_alive = all(m["state"] == "alive" for m in members.values())
            if set(members) == hosts and all_alive:
                return
            await asyncio.sleep(0.05)


async def test_view_follows_kill_cold_start_and_pause(fleet: Fleet) -> None:
    plans = fleet.routers
    hosts = {plan.host for plan in plans}
    victim = plans[2]
    for router in range(3):
        await wait_for_view(fleet, router, hosts)
    before = (await read_members(fleet, 0))[victim.host]["incarnation"]

    await fleet.kill(victim.host)
    for router in range(2):
        await wait_for_view(fleet, router, hosts - {victim.host})
    await fleet.start_router(victim)
    await fleet.wait_until_ready(victim)
    for router in range(3):
        await wait_for_view(fleet, router, hosts)
    after = (await read_members(fleet, 0))[victim.host]["incarnation"]
    assert after > before

    fleet.send_signal(victim.host, signal.SIGSTOP)
    for router in range(2):
        await wait_for_view(fleet, router, hosts - {victim.host})
    fleet.send_signal(victim.host, signal.SIGCONT)
    for router in range(3):
        await wait_for_view(fleet, router, hosts)
    assert (await read_members(fleet, 0))[victim.host]["incarnation"] == after
    assert "the process was paused" in fleet.read_log(victim.host)
