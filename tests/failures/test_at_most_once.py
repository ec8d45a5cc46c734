"""Test that a booking runs at most once, whatever fails while it is resent."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from typing import TYPE_CHECKING

import aiohttp

from tests.support.booking_client import BookingClient
from tests.support.configuration_texts import ServerPlan
from tests.support.fleet import allocate_address, run_fleet, wait_for

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

    from tests.support.fleet import Fleet

BOOKING_SECONDS = 1.5
"""Seconds that a booking runs, long enough for failures during the run."""
TOKEN_LIFETIME_SECONDS = 2.0
"""Lifetime in seconds of a token that expires during a test."""


def run_slow_bookings(slots: int = 4) -> AbstractAsyncContextManager[Fleet]:
    """Run three routers in two failure domains and one slow booking server."""
    server = ServerPlan(
        "booking-1", "bookings", allocate_address(), slots, work_seconds=BOOKING_SECONDS
    )
    return run_fleet(servers=[server])


async def test_resends_join_the_run_and_get_its_answer() -> None:
    async with run_slow_bookings() as fleet:
        bookings = BookingClient(fleet)
        token = await bookings.create_token(0)
        assert await bookings.read_token_state(1, token) == "unused"
        first = asyncio.create_task(bookings.book(1, token, "book"))
        await bookings.wait_until_started("book")
        first.cancel()
        assert await bookings.read_token_state(2, token) == "running"
        short_timeout = await bookings.book(2, token, "book", Request_Timeout="0.2")
        assert (short_timeout.code, short_timeout.was_run) == (
            "deadline_unreachable",
            "unknown",
        )
        joined = await asyncio.gather(
            *(bookings.book(router, token, "book") for router in (0, 1, 2, 0, 1, 2))
        )
        assert {reply.status for reply in joined} == {201}
        later = [await bookings.book(router, token, "book") for router in range(3)]
        documents = [reply.document for reply in [*joined, *later]]
        assert all(document == documents[0] for document in documents)
        assert documents[0]["request"] == "book"
        assert await bookings.read_token_state(1, token) == "finished"
        other = await bookings.book(2, token, "another booking")
        assert (other.status, other.code) == (422, "token_mismatch")
        assert fleet.count_executions() == {"book": 1}


async def test_killed_and_restarted_owner_never_runs_its_old_tokens() -> None:
    async with run_slow_bookings() as fleet:
        bookings = BookingClient(fleet)
        used, unused = await bookings.create_token(0), await bookings.create_token(0)
        relayed = asyncio.create_task(bookings.book(1, used, "book"))
        await bookings.wait_until_started("book")
        await fleet.kill(fleet.routers[0].host)
        cut_off = await relayed
        assert (cut_off.status, cut_off.was_run) == (503, "unknown"), cut_off
        assert cut_off.code == "token_owner_unreachable"
        assert int(cut_off.retry_after) >= 1
        assert await bookings.read_token_state(2, used) == "owner_unreachable"
        for again in range(2):
            if again:
                await fleet.kill(fleet.routers[0].host)
                await fleet.wait_for_members({1: 2, 2: 2})
                gone = await bookings.book(2, used, "book")
                assert (gone.status, gone.was_run) == (409, "unknown"), gone
            await fleet.start_router(fleet.routers[0])
            await fleet.wait_until_ready(fleet.routers[0])
            await fleet.wait_for_members({1: 3, 2: 3})
            for router in range(3):
                for token, content in ((used, "book"), (unused, "unused")):
                    reply = await bookings.book(router, token, content)
                    assert (reply.status, reply.was_run) == (409, "unknown"), reply
                    assert reply.code == "outcome_unknown"
                    state = await bookings.read_token_state(router, token)
                    assert state == "outcome_unknown"
        assert fleet.count_executions() == {"book": 1}


async def test_owner_paused_past_the_expiry_sends_nothing_when_it_wakes() -> None:
    async with run_slow_bookings(slots=1) as fleet:
        bookings = BookingClient(fleet)
        busy = asyncio.create_task(
            bookings.book(0, await bookings.create_token(0), "book-busy")
        )
        await bookings.wait_until_started("book-busy")
        queued_token = await bookings.create_token(0, TOKEN_LIFETIME_SECONDS)
        late_token = await bookings.create_token(0, TOKEN_LIFETIME_SECONDS)
        queued = asyncio.create_task(bookings.book(0, queued_token, "book-queued"))
        await asyncio.sleep(0.3)
        fleet.send_signal(fleet.routers[0].host, signal.SIGSTOP)
        late = await bookings.book(1, late_token, "book-late")
        assert (late.status, late.was_run) == (503, "unknown"), late
        await asyncio.sleep(TOKEN_LIFETIME_SECONDS)
        fleet.send_signal(fleet.routers[0].host, signal.SIGCONT)
        reply = await queued
        assert (reply.code, reply.was_run) == ("token_expired", "no"), reply
        assert (await busy).status == 201
        await fleet.wait_for_members({0: 3, 1: 3, 2: 3})
        for router in range(3):
            again = await bookings.book(router, late_token, "book-late")
            assert (again.code, again.was_run) == ("token_expired", "no"), again
        assert fleet.count_executions() == {"book-busy": 1}


async def is_answered(bookings: BookingClient, router: int, token: str) -> bool:
    """
    Resend a booking; return whether it was answered.

    Fails if a refusal says that the booking was not run.
    """
    reply = await bookings.book(router, token, "book")
    assert reply.was_run in ("", "unknown"), reply
    return reply.status == 201


async def test_pause_of_the_owner_and_death_of_the_relay_at_once() -> None:
    async with run_slow_bookings() as fleet:
        bookings = BookingClient(fleet)
        token = await bookings.create_token(0)
        direct = asyncio.create_task(bookings.book(0, token, "book"))
        relayed = asyncio.create_task(bookings.book(1, token, "book"))
        await bookings.wait_until_started("book")
        for _ in range(2):
            fleet.send_signal(fleet.routers[0].host, signal.SIGSTOP)
            other = await bookings.book(2, token, "book")
            assert (other.status, other.was_run) == (503, "unknown"), other
            fleet.send_signal(fleet.routers[0].host, signal.SIGCONT)
            await fleet.wait_for_members({0: 3, 2: 3})
        await fleet.kill(fleet.routers[1].host)
        with contextlib.suppress(aiohttp.ClientError):
            assert (await relayed).was_run in ("", "unknown")
        assert (await direct).status == 201
        await wait_for(lambda: is_answered(bookings, 2, token))
        assert fleet.count_executions() == {"book": 1}


async def test_cut_in_the_middle_of_a_run_with_callers_on_both_sides() -> None:
    async with run_slow_bookings() as fleet:
        bookings = BookingClient(fleet)
        token = await bookings.create_token(0)
        relayed = asyncio.create_task(bookings.book(2, token, "book"))
        await bookings.wait_until_started("book")
        fleet.cut_groups(
            fleet.list_routers_in_domain("a"), fleet.list_routers_in_domain("b")
        )
        near, far = await asyncio.gather(
            bookings.book(1, token, "book"), bookings.book(2, token, "book")
        )
        assert near.status == 201, near
        for reply in (far, await relayed):
            assert (reply.code, reply.was_run) == ("token_owner_unreachable", "unknown")
        fleet.restore_connections()
        await wait_for(lambda: is_answered(bookings, 2, token))
        assert fleet.count_executions() == {"book": 1}


async def test_lost_duplicated_and_late_messages_change_no_answer() -> None:
    async with run_slow_bookings(slots=16) as fleet:
        bookings = BookingClient(fleet)
        tokens = {f"book-{n}": await bookings.create_token(n % 3) for n in range(12)}
        fleet.set_message_faults(loss=0.3, max_delay=0.2, seed=5)

        async def resend_until_answered(router: int, content: str) -> None:
            async def is_right() -> bool:
                reply = await bookings.book(router, tokens[content], content)
                assert reply.was_run in ("", "unknown"), reply
                return reply.status == 201 and reply.document["request"] == content

            await wait_for(is_right, timeout=60.0)

        await asyncio.gather(
            *(resend_until_answered(r, content) for content in tokens for r in range(3))
        )
        assert fleet.count_executions() == dict.fromkeys(tokens, 1)
