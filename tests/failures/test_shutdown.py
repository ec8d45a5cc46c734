"""Test that a graceful shutdown finishes requests and keeps bookings."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import aiohttp

from tests.support.booking_client import BookingClient
from tests.support.configuration_texts import ServerPlan
from tests.support.fleet import allocate_address, run_fleet, wait_for
from tests.support.recording_client import BROKEN, WHOLE, RecordingClient

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

    from tests.support.fleet import Fleet

STREAM_TOKENS = 150
"""Tokens of a stream that is still running when a shutdown begins."""


def run_slow_fleet(booking_seconds: float = 1.0) -> AbstractAsyncContextManager[Fleet]:
    """
    Run three routers, an engine with two slots and a slow booking server.

    :param booking_seconds: seconds that a booking takes.
    """
    servers = [
        ServerPlan(
            "engine-1", "assistant", allocate_address(), slots=2, work_seconds=0.01
        ),
        ServerPlan(
            "booking-1",
            "bookings",
            allocate_address(),
            slots=2,
            work_seconds=booking_seconds,
        ),
    ]
    return run_fleet(servers=servers)


async def is_draining(fleet: Fleet, router: int) -> bool:
    """Return whether a router reports that it is not ready."""
    url = f"http://{fleet.routers[router].admin_address}/readyz"
    async with fleet.client.get(url) as response:
        return response.status == 503


async def test_shutdown_of_a_token_owner_finishes_streams_queue_and_bookings() -> None:
    async with run_slow_fleet() as fleet:
        client, bookings = RecordingClient(fleet), BookingClient(fleet)
        await fleet.wait_for_members({0: 3, 1: 3, 2: 3})
        unused = await bookings.create_token(0)
        tokens = {f"book-{n}": await bookings.create_token(0) for n in range(4)}
        pending = [
            asyncio.create_task(client.request_completion(0, tokens=STREAM_TOKENS))
            for _ in range(4)
        ]
        booking = [
            asyncio.create_task(bookings.book(number % 2, token, content))
            for number, (content, token) in enumerate(tokens.items())
        ]
        await bookings.wait_until_started("book-0")
        fleet.send_signal(fleet.routers[0].host, signal.SIGTERM)
        await wait_for(lambda: is_draining(fleet, 0))
        refused = await bookings.book(1, unused, "book-unused")
        assert (refused.code, refused.was_run) == ("draining", "no"), refused
        assert (await client.request_completion(0)).code == "draining"
        assert await bookings.read_token_state(2, tokens["book-0"]) == "running"
        joined = await bookings.book(2, tokens["book-0"], "book-0")
        replies = await asyncio.gather(*booking)
        assert {reply.status for reply in replies} == {201}, replies
        assert joined.document == replies[0].document
        assert {(await task).outcome for task in pending} == {WHOLE}
        assert await fleet.processes[fleet.routers[0].host].wait() == 0
        for router in (1, 2):
            for (content, token), reply in zip(tokens.items(), replies, strict=True):
                assert await bookings.book(router, token, content) == reply
                assert await bookings.read_token_state(router, token) == "finished"
            mismatch = await bookings.book(router, tokens["book-0"], "other")
            assert mismatch.code == "token_mismatch"
            never = await bookings.book(router, unused, "book-unused")
            assert never.was_run == "unknown"
        assert {w: n for w, n in fleet.count_executions().items() if "book" in w} == (
            dict.fromkeys(tokens, 1)
        )


async def test_no_request_is_cut_off_while_others_keep_coming() -> None:
    async with run_slow_fleet() as fleet:
        client = RecordingClient(fleet)

        async def send_until_disconnected() -> None:
            while not client.records or client.records[-1].outcome != BROKEN:
                await client.request_completion(0, tokens=3)

        pending = [asyncio.create_task(send_until_disconnected()) for _ in range(8)]
        await wait_for(lambda: has_started(fleet, 20))
        fleet.send_signal(fleet.routers[0].host, signal.SIGTERM)
        assert await fleet.processes[fleet.routers[0].host].wait() == 0
        await asyncio.gather(*pending)
        runs = fleet.count_executions()
        cut_off = [e for e in client.records if e.outcome == BROKEN and runs[e.content]]
        assert not cut_off, cut_off
        assert client.count_failure_codes()["draining"]
        client.check_promises()


async def test_shutdown_of_a_relaying_router_finishes_the_booking() -> None:
    async with run_slow_fleet(booking_seconds=5.0) as fleet:
        bookings = BookingClient(fleet)
        await fleet.wait_for_members({0: 3, 1: 3})
        token = await bookings.create_token(0)
        relayed = asyncio.create_task(bookings.book(1, token, "book"))
        await bookings.wait_until_started("book")
        fleet.send_signal(fleet.routers[1].host, signal.SIGTERM)
        assert (await relayed).status == 201
        assert await fleet.processes[fleet.routers[1].host].wait() == 0
        assert (await bookings.book(2, token, "book")).status == 201
        assert fleet.count_executions() == {"book": 1}


async def test_rolling_shutdown_hands_over_finished_tokens() -> None:
    async with run_slow_fleet() as fleet:
        bookings = BookingClient(fleet)
        await fleet.wait_for_members({0: 3, 1: 3, 2: 3})
        token = await bookings.create_token(0)
        first = await bookings.book(0, token, "book")
        for plan in fleet.routers:
            fleet.send_signal(plan.host, signal.SIGTERM)
            assert await fleet.processes[plan.host].wait() == 0
            await fleet.start_router(plan)
            await fleet.wait_until_ready(plan)
            await fleet.wait_for_members({0: 3, 1: 3, 2: 3})
        for router in range(3):
            assert await bookings.book(router, token, "book") == first
        assert fleet.count_executions() == {"book": 1}


async def test_second_signal_or_drain_timeout_forces_shutdown() -> None:
    async with run_slow_fleet() as fleet:
        client = RecordingClient(fleet)
        await fleet.kill(fleet.routers[1].host)
        short = "[shutdown]\ndrain_timeout = 0.5\n"
        await fleet.start_router(fleet.routers[1], short)
        await fleet.wait_until_ready(fleet.routers[1])
        for router in (0, 1):
            pending = asyncio.create_task(
                client.request_completion(router, tokens=2_000)
            )
            await wait_for(lambda: has_started(fleet, len(client.records) + 1))
            host = fleet.routers[router].host
            fleet.send_signal(host, signal.SIGTERM)
            if router == 0:
                await asyncio.sleep(0.2)
                fleet.send_signal(host, signal.SIGTERM)
            assert await fleet.processes[host].wait() == 1
            assert (await pending).outcome == BROKEN


async def has_started(fleet: Fleet, count: int) -> bool:
    """Return whether at least ``count`` prompts have started to run."""
    return len(fleet.count_executions()) >= count


async def test_shutdown_without_a_configuration_ends_at_once() -> None:
    async with run_slow_fleet() as fleet:
        await fleet.set_platform_state("down")
        for plan in fleet.routers:
            await fleet.kill(plan.host)
        plan = fleet.routers[0]
        await fleet.start_router(plan)
        await wait_for(lambda: is_live(fleet, 0))
        fleet.send_signal(plan.host, signal.SIGTERM)
        assert await fleet.processes[plan.host].wait() == 0


async def is_live(fleet: Fleet, router: int) -> bool:
    """Return whether a router's admin interface responds."""
    try:
        await fleet.fetch_admin_document(router, "/livez")
    except aiohttp.ClientError:
        return False
    return True
