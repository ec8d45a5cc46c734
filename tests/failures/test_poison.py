"""
Test that a request that crashes its servers is quarantined.

Without a quarantine, retries of such a request crash one server after the
other.
"""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

from sycamorehaven.standins.engine import generate_token
from tests.support.configuration_texts import ServerPlan
from tests.support.fleet import allocate_address, run_fleet

if TYPE_CHECKING:
    from tests.support.fleet import Fleet

SERVER_COUNT = 6
HARMLESS_STREAM_COUNT = 22
"""Concurrent streams of other requests; each server runs four of them."""
MAX_LOST_SERVERS = 2
"""Servers that one request may crash if it is sent sequentially."""


def create_engine_plans() -> list[ServerPlan]:
    """Return the engines of a fleet that loses some of them."""
    return [
        ServerPlan(f"engine-{number}", "assistant", allocate_address())
        for number in range(SERVER_COUNT)
    ]


def create_booking_plans() -> list[ServerPlan]:
    """Return the booking servers of a fleet that loses some of them."""
    return [
        ServerPlan(f"booking-{number}", "bookings", allocate_address())
        for number in range(SERVER_COUNT)
    ]


def list_crashed_servers(fleet: Fleet) -> list[str]:
    """Return the names of the servers whose process has exited."""
    names = [plan.name for plan in fleet.servers]
    return [name for name in names if fleet.processes[name].returncode is not None]


async def count_events(fleet: Fleet, event: str) -> float:
    """Return the sum of an event's counters over all routers."""
    name = f'sycamorehaven_events_total{{event="{event}"}}'
    seen = [await fleet.fetch_metrics(number) for number in range(len(fleet.routers))]
    return sum(metrics.get(name, 0.0) for metrics in seen)


async def enable_crash_on_poison(fleet: Fleet) -> None:
    """Make every server crash on requests that contain "poison"."""
    for plan in fleet.servers:
        await fleet.set_server_faults(plan.name, crash_on="poison")


async def send_poison(fleet: Fleet, router: int) -> str:
    """Send the crashing request; return the code of its refusal."""
    status, body = await fleet.request_completion(
        router, "poison", headers={"Request-Timeout": "20"}
    )
    assert status >= 400, body
    problem = json.loads(body)
    assert problem["was_run"] in ("no", "unknown")
    return str(problem["code"])


async def request_harmless_completion(fleet: Fleet, router: int, tokens: int) -> None:
    """Request a harmless completion and assert that it is complete."""
    status, body = await fleet.request_completion(router, "popular", tokens)
    assert status == 200, body
    events = body.split(b"\n\n")
    assert len(events) == tokens + 2, body
    for index in range(tokens):
        assert generate_token("popular", index).encode() in events[index]


async def test_servers_crashed_by_one_request_are_bounded() -> None:
    async with run_fleet(servers=create_engine_plans()) as fleet:
        await enable_crash_on_poison(fleet)
        harmless = [
            asyncio.ensure_future(request_harmless_completion(fleet, number % 3, 600))
            for number in range(HARMLESS_STREAM_COUNT)
        ]
        await asyncio.sleep(0.5)
        codes = [await send_poison(fleet, n % 3) for n in range(9)]
        assert len(list_crashed_servers(fleet)) == MAX_LOST_SERVERS, (
            list_crashed_servers(fleet),
            codes,
        )
        assert codes[3:] == ["request_quarantined"] * 6
        await asyncio.gather(*harmless)
        resumptions = await count_events(fleet, "resumption")
        assert resumptions >= 2, resumptions
        await fleet.kill(fleet.routers[1].host)
        await fleet.start_router(fleet.routers[1])
        await fleet.wait_until_ready(fleet.routers[1])
        await fleet.wait_for_members({0: 3, 1: 3})
        assert await send_poison(fleet, 1) == "request_quarantined"
        assert len(list_crashed_servers(fleet)) <= MAX_LOST_SERVERS
        await request_harmless_completion(fleet, 2, 5)


async def test_servers_crashed_by_one_request_sent_to_all_routers_at_once() -> None:
    async with run_fleet(servers=create_engine_plans()) as fleet:
        await enable_crash_on_poison(fleet)
        await asyncio.gather(*(send_poison(fleet, n) for n in range(3)))
        codes = [await send_poison(fleet, n % 3) for n in range(6)]
        assert codes[3:] == ["request_quarantined"] * 3, codes
        assert 2 <= len(list_crashed_servers(fleet)) <= 3 + 1


async def send_booking(fleet: Fleet, router: int, body: bytes) -> dict[str, Any]:
    """Send a booking with a new token; return the document of the answer."""
    token_request = fleet.build_request(router, "/v1/idempotency-tokens")
    async with fleet.client.post(**token_request) as response:
        token = (await response.json())["idempotency_token"]
    headers = {"Idempotency-Token": token, "Request-Timeout": "20"}
    request = fleet.build_request(
        router, "/v1/services/bookings/bookings", headers=headers
    )
    async with fleet.client.post(data=body, **request) as response:
        answer: dict[str, Any] = json.loads(await response.read())
        return answer


async def test_servers_crashed_by_one_booking_with_new_tokens() -> None:
    async with run_fleet(servers=create_booking_plans()) as fleet:
        await enable_crash_on_poison(fleet)
        answers = [await send_booking(fleet, n % 3, b"poison") for n in range(7)]
        assert len(list_crashed_servers(fleet)) == MAX_LOST_SERVERS, answers
        ran = [answer for answer in answers if answer["was_run"] != "no"]
        assert len(ran) == MAX_LOST_SERVERS, answers
        for answer in answers[-3:]:
            assert answer["code"] == "request_quarantined"
            assert answer["was_run"] == "no"
        assert (await send_booking(fleet, 0, b"innocent"))["booking"] == 1
