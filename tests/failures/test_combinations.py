"""Test combinations of failures: overlapping ones and repeated ones."""

from __future__ import annotations

import asyncio
import random
import signal
from typing import TYPE_CHECKING

from tests.failures.test_cuts import create_plans_for_two_domains
from tests.support.configuration_texts import WORKSPACE_NAMES
from tests.support.fleet import run_fleet
from tests.support.recording_client import BROKEN, WHOLE, RecordingClient

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from tests.support.fleet import Fleet

DOMAINS = ("a", "a", "b", "b")
KILLED_ROUTER = 1
"""Index of the only router whose callers may see broken connections."""
FAILURE_INTERVAL_SECONDS = 0.8
"""Seconds between the beginnings of two failures."""


class BackgroundLoad:
    """
    Sends completions and repeated bookings until it is stopped.

    :param fleet: the fleet that receives the requests.
    :param seed: seeds the choice of routers and workspaces.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.client = RecordingClient(fleet, seed)
        self._random = random.Random(seed)
        self._stopped = False
        self._tasks = [
            *(asyncio.create_task(self._send_completions(n % 4)) for n in range(12)),
            *(asyncio.create_task(self._send_bookings(n)) for n in range(4)),
        ]

    async def stop(self) -> None:
        """Send no new requests and wait for the answers to the sent ones."""
        self._stopped = True
        await asyncio.gather(*self._tasks)

    async def _send_completions(self, router: int) -> None:
        while not self._stopped:
            record = await self.client.request_completion(
                router, self._random.choice(WORKSPACE_NAMES)
            )
            await asyncio.sleep(0.02 if record.outcome == WHOLE else 0.2)

    async def _send_bookings(self, number: int) -> None:
        count = 0
        while not self._stopped:
            count += 1
            routers = self._random.sample(range(4), 3)
            await self.client.book_through_routers(routers, f"book-{number}-{count}")
            await asyncio.sleep(0.1)


async def test_router_restarts_twice_while_the_platform_is_down() -> None:
    async with run_fleet(DOMAINS, create_plans_for_two_domains()) as fleet:
        await fleet.wait_for_members({0: 4})
        await fleet.set_platform_state("down")
        load = BackgroundLoad(fleet, seed=21)
        victim = fleet.routers[3]
        for _ in range(2):
            await asyncio.sleep(FAILURE_INTERVAL_SECONDS)
            await fleet.kill(victim.host)
            await fleet.start_router(victim)
            await fleet.wait_until_ready(victim)
        await fleet.wait_for_members({0: 4, 3: 4})
        assert (await load.client.request_completion(3)).outcome == WHOLE
        await load.stop()
        others = [e for e in load.client.records if e.router != 3]
        questions = [e for e in others if not e.content.startswith("book")]
        assert {e.outcome for e in questions} == {WHOLE}, (
            load.client.count_failure_codes()
        )
        load.client.check_promises()


async def test_router_restarted_during_a_partition_never_runs_old_tokens() -> None:
    async with run_fleet(DOMAINS, create_plans_for_two_domains()) as fleet:
        await fleet.wait_for_members({0: 4})
        client = RecordingClient(fleet, seed=22)
        tokens = {f"book-{n}": await client.create_token(3) for n in range(4)}
        assert all(tokens.values()), tokens
        await client.book(3, tokens["book-0"], "book-0")
        fleet.cut_domain("b")
        await fleet.kill(fleet.routers[3].host)
        await fleet.start_router(fleet.routers[3])
        await fleet.wait_until_ready(fleet.routers[3])
        for content, token in tokens.items():
            await asyncio.gather(*(client.book(r, token, content) for r in range(4)))
        fleet.restore_connections()
        await fleet.wait_for_members({0: 4, 1: 4, 2: 4, 3: 4})
        last = [
            await client.book(0, token, content) for content, token in tokens.items()
        ]
        assert {record.code for record in last} == {"outcome_unknown"}, last
        assert {fleet.count_executions()[content] for content in tokens} == {0, 1}
        client.check_promises()


def create_failures(fleet: Fleet) -> list[Callable[[], Coroutine[None, None, None]]]:
    """Return functions that each inject a failure and end it again."""

    async def restart_router() -> None:
        await fleet.kill(fleet.routers[KILLED_ROUTER].host)
        await fleet.start_router(fleet.routers[KILLED_ROUTER])

    async def restart_server() -> None:
        await fleet.kill("engine-b")
        await fleet.start_server(fleet.find_server("engine-b"))

    async def cut_domain() -> None:
        fleet.cut_domain("b")
        await asyncio.sleep(2 * FAILURE_INTERVAL_SECONDS)
        fleet.restore_connections()

    async def pause_router() -> None:
        fleet.send_signal(fleet.routers[2].host, signal.SIGSTOP)
        await asyncio.sleep(2 * FAILURE_INTERVAL_SECONDS)
        fleet.send_signal(fleet.routers[2].host, signal.SIGCONT)

    async def stop_platform() -> None:
        await fleet.set_platform_state("down")
        await asyncio.sleep(2 * FAILURE_INTERVAL_SECONDS)
        await fleet.set_platform_state("up")

    return [restart_router, restart_server, cut_domain, pause_router, stop_platform]


async def check_overlapping_failures(seed: int) -> None:
    """Inject random overlapping failures under load and check the outcomes."""
    async with run_fleet(DOMAINS, create_plans_for_two_domains()) as fleet:
        await fleet.wait_for_members({0: 4})
        fleet.set_message_faults(loss=0.1, max_delay=0.1, seed=seed)
        load = BackgroundLoad(fleet, seed)
        chosen = random.Random(seed).choices(create_failures(fleet), k=6)
        failing: list[asyncio.Task[None]] = []
        for failure in chosen:
            failing.append(asyncio.create_task(failure()))
            await asyncio.sleep(FAILURE_INTERVAL_SECONDS)
        await asyncio.gather(*failing)
        await load.stop()
        client = load.client
        print(
            f"seed {seed}: {len(client.records)} sent, {client.count_failure_codes()}"
        )
        broken = {e.router for e in client.records if e.outcome == BROKEN}
        assert broken <= {KILLED_ROUTER}, client.count_failure_codes()
        assert client.count_outcome(WHOLE) > 60
        client.check_promises()


async def test_promises_hold_while_failures_overlap() -> None:
    await check_overlapping_failures(seed=23)


async def test_promises_hold_while_other_failures_overlap() -> None:
    await check_overlapping_failures(seed=24)
