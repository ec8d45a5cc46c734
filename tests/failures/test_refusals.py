"""Test that a request refused as "not run" did not run on any server."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, Any

from tests.support.configuration_texts import ServerPlan, build_configuration_text
from tests.support.fleet import (
    allocate_address,
    create_server_plans,
    run_fleet,
    wait_for,
)
from tests.support.recording_client import (
    BROKEN,
    REFUSED,
    SERVER_REFUSED,
    WHOLE,
    RecordingClient,
)

if TYPE_CHECKING:
    from tests.support.fleet import Fleet

COMPLETIONS_PATH = "/v1/services/assistant/v1/completions"
BOOKINGS_PATH = "/v1/services/bookings/bookings"
LONG_COMPLETION_TOKENS = 400
"""Tokens of a completion that occupies its slot for a whole test."""


async def send_refused_request(
    fleet: Fleet, path: str, content: str, **headers: str
) -> tuple[int, dict[str, Any]]:
    """
    Send a request that is refused; return the status and the problem.

    :param content: the prompt or the body of the booking.
    :param headers: further headers, with ``_`` in place of ``-``.
    """
    request = fleet.build_request(0, path)
    request["headers"] |= {name.replace("_", "-"): v for name, v in headers.items()}
    body: Any = {"json": {"prompt": content, "max_tokens": 5}}
    if path == BOOKINGS_PATH:
        body = {"data": content}
    async with fleet.client.post(**body, **request) as response:
        problem: dict[str, Any] = await response.json(
            content_type="application/problem+json"
        )
        return response.status, problem


async def test_requests_refused_on_arrival_never_run(fleet: Fleet) -> None:
    oversized = "refused-size" + "x" * 1_100_000
    attempts = [
        (401, COMPLETIONS_PATH, "refused-key", {"Authorization": "Bearer nobody"}),
        (404, "/v1/services/nothing/x", "refused-service", {}),
        (400, COMPLETIONS_PATH, "refused-class", {"Priority_Class": "urgent"}),
        (400, COMPLETIONS_PATH, "refused-timeout", {"Request_Timeout": "soon"}),
        (413, COMPLETIONS_PATH, oversized, {}),
        (428, BOOKINGS_PATH, "refused-token", {}),
        (400, BOOKINGS_PATH, "refused-forged", {"Idempotency_Token": "forged"}),
    ]
    for status, path, content, headers in attempts:
        received, problem = await send_refused_request(fleet, path, content, **headers)
        assert received == status, (content[:20], received, problem)
        assert problem["was_run"] == "no", problem
    assert not [
        content for content in fleet.count_executions() if content.startswith("refused")
    ]


async def occupy_slots(
    fleet: Fleet, client: RecordingClient, count: int
) -> asyncio.Future[Any]:
    """
    Occupy slots with long completions.

    :return: a future of the records of these completions.
    """
    before = sum(fleet.count_executions().values())
    pending = asyncio.gather(
        *(
            client.request_completion(0, tokens=LONG_COMPLETION_TOKENS)
            for _ in range(count)
        )
    )

    async def is_full() -> bool:
        return sum(fleet.count_executions().values()) == before + count

    await wait_for(is_full)
    return pending


async def test_requests_that_cannot_get_a_slot_never_run() -> None:
    servers = [create_server_plans()[0]._replace(slots=2, work_seconds=0.01)]
    text = build_configuration_text(servers).replace(
        "weight = 1.0", "weight = 1.0\nqueue_limit = 3"
    )
    async with run_fleet(("a", "a"), servers, text) as fleet:
        client = RecordingClient(fleet)
        occupied = await occupy_slots(fleet, client, 2)
        hurried = [
            asyncio.create_task(
                send_refused_request(
                    fleet, COMPLETIONS_PATH, f"hurried-{n}", Request_Timeout="1.5"
                )
            )
            for n in range(8)
        ]
        answers = await asyncio.gather(*hurried)
        codes = [problem["code"] for _, problem in answers]
        assert codes.count("deadline_unreachable") >= 1, codes
        assert codes.count("queue_full") >= 5, codes
        assert {problem["was_run"] for _, problem in answers} == {"no"}
        assert await occupied
        assert not [w for w in fleet.count_executions() if w.startswith("hurried")]
        client.check_promises()


async def test_shutdown_refuses_what_it_does_not_run() -> None:
    servers = [create_server_plans()[0]._replace(slots=2, work_seconds=0.01)]
    async with run_fleet(("a", "a"), servers) as fleet:
        client = RecordingClient(fleet)
        occupied = await occupy_slots(fleet, client, 2)
        queued = [asyncio.create_task(client.request_completion(0)) for _ in range(3)]
        await asyncio.sleep(0.2)
        fleet.send_signal(fleet.routers[0].host, signal.SIGTERM)
        await asyncio.sleep(0.2)
        late = [await client.request_completion(0) for _ in range(3)]
        assert {record.outcome for record in late} <= {REFUSED, BROKEN}, late
        assert {record.outcome for record in await occupied} == {WHOLE}
        assert {record.outcome for record in await asyncio.gather(*queued)} <= {
            WHOLE,
            REFUSED,
        }
        client.check_promises()
        broken = [record.content for record in late if record.outcome == BROKEN]
        runs = fleet.count_executions()
        assert not [content for content in broken if runs[content]]


async def test_refusal_for_a_server_killed_before_sending_says_not_run() -> None:
    servers = [create_server_plans()[0], create_server_plans()[2]]
    async with run_fleet(("a", "a"), servers) as fleet:
        client = RecordingClient(fleet)
        assert (await client.request_completion(0)).outcome == WHOLE
        await client.book_through_routers([0], "book-before")
        for plan in servers:
            await fleet.kill(plan.name)
        await asyncio.gather(*(client.request_completion(n % 2) for n in range(4)))
        await client.book_through_routers([0], "book-refused")
        await client.book_through_routers([1], "book-refused-too")
        refusals = [record for record in client.records if record.outcome == REFUSED]
        assert len(refusals) >= 4, client.records
        assert {record.was_run for record in refusals} == {"no"}, refusals
        client.check_promises()


async def test_booking_whose_server_dies_is_never_reported_as_not_run() -> None:
    servers = [create_server_plans()[2]._replace(work_seconds=30.0)]
    async with run_fleet(("a",), servers) as fleet:
        client = RecordingClient(fleet)
        booking = asyncio.create_task(client.book_through_routers([0], "book-lost"))

        async def is_running() -> bool:
            return fleet.count_executions()["book-lost"] == 1

        await wait_for(is_running)
        await fleet.kill("booking-1")
        await booking
        assert [record.was_run for record in client.records] == ["unknown"]
        client.check_promises()


async def test_completions_whose_server_dies_are_never_reported_as_not_run() -> None:
    servers = [create_server_plans()[0]._replace(slots=1, work_seconds=1.0)]
    text = build_configuration_text([servers[0]._replace(slots=4)])
    async with run_fleet(("a",), servers, text) as fleet:
        client = RecordingClient(fleet)
        headers = {"Request-Timeout": "5"}
        pending = asyncio.gather(
            *(
                client.request_completion(
                    0, tokens=LONG_COMPLETION_TOKENS, headers=headers
                )
                for _ in range(4)
            )
        )

        async def are_running() -> bool:
            return fleet.count_executions().total() == 4

        await wait_for(are_running)
        await fleet.kill("engine-1")
        await pending
        refused = [record for record in client.records if record.outcome == REFUSED]
        assert len(refused) >= 3, client.records
        assert {record.was_run for record in refused} == {"unknown"}, client.records
        client.check_promises()


async def test_booking_answered_503_after_running_is_not_repeated() -> None:
    servers = [
        ServerPlan(f"booking-{number}", "bookings", allocate_address())
        for number in (1, 2, 3)
    ]
    async with run_fleet(("a",), servers) as fleet:
        client = RecordingClient(fleet)
        for plan in servers:
            await fleet.set_server_faults(plan.name, refuse_late=True)
        await client.book_through_routers([0], "book-once")
        (record,) = client.records
        assert record.outcome == SERVER_REFUSED or record.was_run == "unknown", record
        assert fleet.count_executions()["book-once"] == 1


async def test_service_without_its_dependency_runs_no_request() -> None:
    servers = create_server_plans()
    text = build_configuration_text(servers).replace(
        'kind = "model"', 'kind = "model"\ndepends_on = ["bookings"]'
    )
    async with run_fleet(("a", "a"), servers, text) as fleet:
        client = RecordingClient(fleet)
        assert (await client.request_completion(0)).outcome == WHOLE
        await fleet.set_server_faults("booking-1", leaving=True)

        async def is_refused() -> bool:
            return (await client.request_completion(0)).code == "dependency_unavailable"

        await wait_for(is_refused)
        for name in ("engine-1", "engine-2"):
            await fleet.set_server_faults(name, leaving=True)
        assert (await client.request_completion(0)).was_run == "no"
        await client.book_through_routers([0], "book-nowhere")
        assert {e.was_run for e in client.records if e.outcome == REFUSED} == {"no"}
        client.check_promises()
