"""Test failure domains that lose contact to each other and to the platform."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from sycamorehaven.configuration.acceptance import accept_text
from sycamorehaven.decisions.roles import choose_scheduler
from tests.support.configuration_texts import (
    WORKSPACE_NAMES,
    ServerPlan,
    build_configuration_text,
)
from tests.support.fleet import (
    allocate_address,
    create_server_plans,
    run_fleet,
    wait_for,
)
from tests.support.recording_client import REFUSED, WHOLE, RecordingClient

if TYPE_CHECKING:
    from tests.support.fleet import Fleet

NEW_WORKSPACE = "maplerow"
PAUSE_SECONDS = 10.0
"""Seconds of a pause that outlasts every lease and all soft state."""


def create_plans_for_two_domains() -> list[ServerPlan]:
    """Return an engine and a booking server in each of two failure domains."""
    return [
        ServerPlan(
            f"{kind}-{domain}", service, allocate_address(), failure_domain=domain
        )
        for domain in ("a", "b")
        for kind, service in (("engine", "assistant"), ("booking", "bookings"))
    ]


async def test_partitioned_domains_lose_and_rediscover_each_other(fleet: Fleet) -> None:
    await fleet.wait_for_members({0: 3, 2: 3})
    fleet.cut_groups(
        fleet.list_routers_in_domain("a"), fleet.list_routers_in_domain("b")
    )
    await fleet.wait_for_members({0: 2, 1: 2, 2: 1})
    fleet.restore_connections()
    await fleet.wait_for_members({0: 3, 1: 3, 2: 3})


async def send_through_every_router(client: RecordingClient, count: int) -> None:
    """Send ``count`` completions and two bookings through four routers."""
    await asyncio.gather(
        *(
            client.request_completion(n % 4, WORKSPACE_NAMES[n % 2])
            for n in range(count)
        ),
        *(
            client.book_through_routers([n % 4], f"book-{len(client.records)}-{n}")
            for n in (0, 2)
        ),
    )


async def knows_new_workspace(client: RecordingClient, router: int) -> bool:
    """Return whether a router accepts requests of the new workspace."""
    return (await client.request_completion(router, NEW_WORKSPACE)).outcome == WHOLE


async def test_both_sides_of_a_partition_serve_and_converge_afterwards() -> None:
    servers = create_plans_for_two_domains()
    async with run_fleet(("a", "a", "b", "b"), servers) as fleet:
        client, probe = RecordingClient(fleet, seed=6), RecordingClient(fleet)
        await fleet.wait_for_members({0: 4, 2: 4})
        fleet.cut_domain("b")
        await send_through_every_router(client, 16)
        text = build_configuration_text(servers, (*WORKSPACE_NAMES, NEW_WORKSPACE))
        await fleet.publish(text)
        await wait_for(lambda: knows_new_workspace(probe, 1))
        assert not await knows_new_workspace(probe, 2)
        await send_through_every_router(client, 16)
        assert client.count_outcome(WHOLE) == len(client.records) == 36, (
            client.count_failure_codes()
        )
        fleet.restore_connections()
        await wait_for(lambda: knows_new_workspace(probe, 2))
        await wait_for(lambda: knows_new_workspace(probe, 3))
        await send_through_every_router(client, 8)
        assert client.count_outcome(WHOLE) == 46, client.count_failure_codes()
        client.check_promises()


async def test_booking_sent_on_both_sides_of_a_partition_runs_once() -> None:
    async with run_fleet(("a", "a", "b", "b"), create_plans_for_two_domains()) as fleet:
        client = RecordingClient(fleet, seed=7)
        await fleet.wait_for_members({0: 4, 2: 4})
        tokens = {f"book-{n}": await client.create_token(n) for n in range(4)}
        assert all(tokens.values()), tokens
        fleet.cut_domain("b")
        for _ in range(2):
            for content, token in tokens.items():
                await asyncio.gather(
                    *(client.book(r, token, content) for r in range(4))
                )
        far = [record for record in client.records if record.outcome == REFUSED]
        assert {record.was_run for record in far} == {"unknown"}, far
        fleet.restore_connections()
        await fleet.wait_for_members({0: 4, 1: 4, 2: 4, 3: 4})
        for content, token in tokens.items():
            for router in range(4):
                again = await client.book(router, token, content)
                assert again.outcome == WHOLE, again
        assert {fleet.count_executions()[content] for content in tokens} == {1}
        client.check_promises()


def find_router_not_scheduling(fleet: Fleet, text: str, server: str) -> int:
    """Return the index of a router that is not the scheduler of a server."""
    plan = accept_text(text.encode(), 1).servers[server]
    domains = {router.host: router.failure_domain for router in fleet.routers}
    scheduler = choose_scheduler(plan, domains)
    hosts = [router.host for router in fleet.routers]
    return next(n for n, host in enumerate(hosts) if host != scheduler)


async def test_paused_router_wakes_and_sends_nothing_to_a_retired_server() -> None:
    servers = [
        plan._replace(slots=2, work_seconds=0.02) for plan in create_server_plans()[:2]
    ]
    text = build_configuration_text(servers)
    async with run_fleet(("a", "a"), servers, text) as fleet:
        paused = find_router_not_scheduling(fleet, text, "engine-1")
        client = RecordingClient(fleet, seed=8)
        await fleet.wait_for_members({0: 2, 1: 2})
        other = asyncio.gather(
            *(client.request_completion(1 - paused, tokens=60) for _ in range(4))
        )
        await asyncio.sleep(0.3)
        pending = asyncio.gather(
            *(client.request_completion(paused, tokens=20) for _ in range(24))
        )
        await asyncio.sleep(0.3)
        fleet.send_signal(fleet.routers[paused].host, signal.SIGSTOP)
        await fleet.publish(build_configuration_text(servers[1:]))
        await asyncio.sleep(PAUSE_SECONDS)
        before = (await fleet.fetch_server_runs("engine-1"))["started"]
        fleet.send_signal(fleet.routers[paused].host, signal.SIGCONT)
        await asyncio.gather(pending, other)
        assert (await fleet.fetch_server_runs("engine-1"))["started"] == before
        assert client.count_outcome(WHOLE) == 28, client.count_failure_codes()
        client.check_promises()
