"""
Attempts of one call: retries on other servers, the retry budget, ``was_run``.

A call must not run twice unless it is idempotent, and a refusal must not claim
that the call did not run when an attempt may have run.
"""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from aiohttp import web

from sycamorehaven.controllers.call_sender import MAX_AVOIDED_PERMITS
from sycamorehaven.decisions.retry_budget import (
    MAX_UNEXECUTED_ATTEMPTS,
    RETRY_RATIO,
    RETRY_RESERVE,
)
from sycamorehaven.standins.booking import BookingStandin
from tests.support.configuration_texts import ServerPlan
from tests.support.fleet import allocate_address

if TYPE_CHECKING:
    from tests.support.edge_harness import EdgeHarness

BOOKINGS_PATH = "/v1/services/bookings/bookings"


def build_server_application(
    received_methods: list[str], status: int = 0, **headers: str
) -> web.Application:
    """
    Return a server that answers with a status.

    :param received_methods: collects the method of each request.
    :param status: the status; 0 aborts the connection instead.
    :param headers: headers of the answer, with "_" for "-".
    """

    async def answer(request: web.Request) -> web.Response:
        received_methods.append(request.method)
        await request.read()
        if not status:
            assert request.transport is not None
            request.transport.abort()
        named_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        return web.Response(
            status=status or 200, text="own answer", headers=named_headers
        )

    application = web.Application()
    application.router.add_route("*", "/{path:.*}", answer)
    return application


async def test_read_is_retried_on_another_server(edge: EdgeHarness) -> None:
    received_methods: list[str] = []
    await edge.start_server(build_server_application(received_methods), "bookings")
    standin = BookingStandin()
    await edge.start_server(standin.build_application(), "bookings")
    await edge.start()
    edge.permits.set_server_order([0, 0, 0, 1])
    status, _, _ = await edge.send("GET", BOOKINGS_PATH)
    assert status == 200
    assert (len(received_methods), standin.lookups) == (1, 1)
    returned = [(p.server, p.used_runs) for p in edge.permits.released]
    assert returned == [
        ("bookings-0", 1),
        ("bookings-0", 0),
        ("bookings-0", 0),
        ("bookings-1", 1),
    ]
    assert edge.permits.held_count == 0


async def test_call_is_retried_on_the_only_granted_server(edge: EdgeHarness) -> None:
    # The call first returns permits for the server that failed it. As no other
    # server is ever granted, it must accept this one again.
    edge.add_server(ServerPlan("gone", "bookings", allocate_address()))
    edge.add_server(ServerPlan("never-granted", "bookings", allocate_address()))
    await edge.start()
    edge.permits.set_server_order([0])
    status, body, headers = await edge.send("GET", BOOKINGS_PATH)
    problem = json.loads(body)
    assert (status, problem["was_run"]) == (502, "no")
    assert headers["Retry-After"]
    used = sum(permit.used_runs for permit in edge.permits.granted)
    assert used == MAX_UNEXECUTED_ATTEMPTS
    assert len(edge.permits.granted) <= used * (1 + MAX_AVOIDED_PERMITS)
    assert edge.permits.held_count == 0


async def test_write_is_not_retried_once_sent(edge: EdgeHarness) -> None:
    received_methods: list[str] = []
    await edge.start_server(build_server_application(received_methods), "bookings")
    standin = BookingStandin()
    await edge.start_server(standin.build_application(), "bookings")
    await edge.start()
    status, body, headers = await edge.send("POST", BOOKINGS_PATH, data=b"slot")
    problem = json.loads(body)
    assert (status, problem["code"]) == (502, "attempts_exhausted")
    assert problem["was_run"] == "unknown"
    assert "Retry-After" not in headers
    assert (len(received_methods), sum(standin.runs.values())) == (1, 0)


async def test_write_is_retried_when_no_server_ran_it(edge: EdgeHarness) -> None:
    received_methods: list[str] = []
    edge.add_server(ServerPlan("gone", "bookings", allocate_address()))
    await edge.start_server(
        build_server_application(received_methods, 503, Was_Run="no"), "bookings"
    )
    standin = BookingStandin()
    await edge.start_server(standin.build_application(), "bookings")
    await edge.start()
    status, _, _ = await edge.send("POST", BOOKINGS_PATH, data=b"slot")
    assert status == 201
    assert (len(received_methods), sum(standin.runs.values())) == (1, 1)


async def test_503_without_was_run_header_is_passed_on_for_a_write(
    edge: EdgeHarness,
) -> None:
    # Without "Was-Run: no" the server may have run the write, so a retry
    # could run it twice.
    received_methods: list[str] = []
    await edge.start_server(build_server_application(received_methods, 503), "bookings")
    standin = BookingStandin()
    await edge.start_server(standin.build_application(), "bookings")
    await edge.start()
    status, body, _ = await edge.send("POST", BOOKINGS_PATH, data=b"slot")
    assert (status, body) == (503, b"own answer")
    assert sum(standin.runs.values()) == 0


async def test_deadline_in_the_queue_after_an_attempt_reports_was_run_unknown(
    edge: EdgeHarness,
) -> None:
    # The deadline passes while the call waits for a second permit. The first
    # attempt may have run, which the refusal must not deny.
    received_methods: list[str] = []
    await edge.start_server(build_server_application(received_methods), "bookings")
    await edge.start()
    edge.permits.set_server_order([0], max_grants=1)
    status, body, _ = await edge.send("GET", BOOKINGS_PATH, {"Request-Timeout": "1"})
    problem = json.loads(body)
    assert (status, problem["code"]) == (503, "deadline_unreachable")
    assert problem["was_run"] == "unknown"
    assert len(received_methods) == 1


async def test_retries_stop_when_the_budget_is_spent(edge: EdgeHarness) -> None:
    received_methods: list[str] = []
    for _ in range(2):
        await edge.start_server(build_server_application(received_methods), "bookings")
    await edge.start()
    for number in range(20):
        status, _, _ = await edge.send("GET", f"{BOOKINGS_PATH}?{number}")
        assert status in (422, 502)
    retries = edge.board.outcomes.events["retry"]
    assert retries <= RETRY_RESERVE + 20 * RETRY_RATIO
    assert len(received_methods) == 20 + retries
    assert edge.board.outcomes.events["given_up_budget"] >= 8


async def test_all_connections_to_a_silent_server_are_closed_at_once(
    edge: EdgeHarness,
) -> None:
    # If each pooled connection to a silent server had to time out by itself,
    # each of them would cost a call one failed attempt.
    standin = BookingStandin(service_time=0.05)
    plan = await edge.start_server(standin.build_application(), "bookings")
    await edge.start()
    reads = (edge.send("GET", f"{BOOKINGS_PATH}?{number}") for number in range(4))
    assert all(status == 200 for status, _, _ in await asyncio.gather(*reads))
    async with edge.client.put(
        f"http://{plan.address}/control/faults", json={"silence": True}
    ) as response:
        assert response.status == 204
    status, _, _ = await edge.send("POST", BOOKINGS_PATH, data=b"slot")
    assert (status, sum(standin.runs.values())) == (201, 1)
    assert edge.board.outcomes.events["retry"] == 0
    for number in range(4):
        status, _, _ = await edge.send("GET", f"{BOOKINGS_PATH}?{number}")
        assert status == 200
    assert edge.board.outcomes.events["retry"] == 1
    assert len(edge.board.suspect_requests) == 0
    assert [permit.failed for permit in edge.permits.released].count(True) == 1
