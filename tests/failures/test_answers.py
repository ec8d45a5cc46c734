"""Test that each caller receives the complete answer to its own request."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import aiohttp

from tests.support.configuration_texts import WORKSPACE_NAMES, build_configuration_text
from tests.support.fleet import create_server_plans, run_fleet, wait_for
from tests.support.recording_client import BROKEN, WHOLE, RecordingClient, build_answer

if TYPE_CHECKING:
    from tests.support.fleet import Fleet

SLOW_TOKEN_SECONDS = 0.02
"""Seconds per token, slow enough to kill a process during a stream."""


async def test_answers_are_whole_while_messages_are_lost_and_late(
    fleet: Fleet,
) -> None:
    fleet.set_message_faults(loss=0.2, max_delay=0.2, seed=3)
    client = RecordingClient(fleet, seed=3)
    await asyncio.gather(
        *(client.request_completion(n % 3, WORKSPACE_NAMES[n % 2]) for n in range(60))
    )
    assert client.count_outcome(WHOLE) == 60, client.count_failure_codes()
    client.check_promises()


async def test_answers_are_whole_while_routers_and_servers_die() -> None:
    servers = [
        plan._replace(work_seconds=SLOW_TOKEN_SECONDS) for plan in create_server_plans()
    ]
    async with run_fleet(servers=servers) as fleet:
        client = RecordingClient(fleet, seed=4)
        fleet.set_message_faults(loss=0.2, max_delay=0.1, seed=4)
        pending = asyncio.gather(
            *(
                client.request_completion(n % 3, WORKSPACE_NAMES[n % 2], tokens=30)
                for n in range(36)
            )
        )
        await asyncio.sleep(0.8)
        await fleet.kill("engine-1")
        await fleet.kill(fleet.routers[2].host)
        await fleet.start_server(fleet.find_server("engine-1"))
        await pending
        for record in client.records:
            if record.router == 2:
                assert record.outcome in (WHOLE, BROKEN), record
            else:
                assert record.outcome == WHOLE, record
        client.check_promises()


async def read_until_broken(fleet: Fleet, prompt: str, server: str) -> bytes:
    """
    Kill a server while it streams an answer; return what was received.

    Fails if the answer ends as if it were complete.
    """
    request = fleet.build_request(0, "/v1/services/assistant/v1/completions")
    body = {"prompt": prompt, "max_tokens": 100}
    received = b""
    async with fleet.client.post(json=body, **request) as response:
        assert response.status == 200
        try:
            async for chunk in response.content.iter_any():
                if not received:
                    await fleet.kill(server)
                received += chunk
        except aiohttp.ClientPayloadError:
            return received
    raise AssertionError(f"ended cleanly after {len(received)} bytes")


async def test_answer_that_cannot_resume_breaks_and_never_ends_cleanly() -> None:
    servers = [create_server_plans()[0]._replace(work_seconds=SLOW_TOKEN_SECONDS)]
    text = build_configuration_text(servers).replace("resumable = true", "")
    async with run_fleet(("a",), servers, text) as fleet:
        received = await read_until_broken(fleet, "long", "engine-1")
    whole = build_answer("long", 100)
    assert whole.startswith(received)
    assert len(received) < len(whole)


async def test_disconnected_caller_frees_its_slot() -> None:
    servers = [
        create_server_plans()[0]._replace(slots=1, work_seconds=SLOW_TOKEN_SECONDS)
    ]
    async with run_fleet(("a", "a"), servers) as fleet:
        request = fleet.build_request(0, "/v1/services/assistant/v1/completions")
        body = {"prompt": "gone", "max_tokens": 5_000}
        async with fleet.client.post(json=body, **request) as response:
            await response.content.readany()
        client = RecordingClient(fleet)
        assert (await client.request_completion(1, tokens=3)).outcome == WHOLE

        async def is_cancelled() -> bool:
            runs = await fleet.fetch_server_runs("engine-1")
            return dict(runs["cancelled"]) == {"gone": 1}

        await wait_for(is_cancelled)


async def test_two_callers_of_the_same_body_each_get_an_answer(fleet: Fleet) -> None:
    answers = await asyncio.gather(
        *(
            fleet.request_completion(n % 3, "same", 20, WORKSPACE_NAMES[n % 2])
            for n in range(6)
        )
    )
    assert answers == [(200, build_answer("same", 20))] * 6
    assert fleet.count_executions()["same"] == 6


async def test_paused_router_wakes_and_its_callers_get_their_answers(
    fleet: Fleet,
) -> None:
    client = RecordingClient(fleet, seed=5)
    pending = asyncio.gather(
        *(client.request_completion(n % 3, tokens=40) for n in range(24))
    )
    await asyncio.sleep(0.1)
    fleet.send_signal(fleet.routers[0].host, signal.SIGSTOP)
    await asyncio.sleep(4.0)
    fleet.send_signal(fleet.routers[0].host, signal.SIGCONT)
    await pending
    assert client.count_outcome(WHOLE) == 24, client.count_failure_codes()
    client.check_promises()
