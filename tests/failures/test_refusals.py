"""A refusal that says that the request was not run tells the truth."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, Any

from tests.support.fleet import find_address, plan_servers, run_fleet, wait_for
from tests.support.ledger import BROKEN, PASSED_ON, REFUSED, WHOLE, Ledger
from tests.support.texts import ServerPlan, write_configuration

if TYPE_CHECKING:
    from tests.support.fleet import Fleet

QUESTION = "/v1/services/assistant/v1/completions"
BOOKING = "/v1/services/bookings/bookings"
LONG = 400
"""Tokens of a question that keeps its slot for the length of a test."""


async def refuse(
    fleet: Fleet, path: str, what: str, **headers: str
) -> tuple[int, dict[str, Any]]:
    """Send a request that is refused; return the status and the problem."""
    request = fleet.build_request(0, path)
    request["headers"] |= {name.replace("_", "-"): v for name, v in headers.items()}
    body: Any = {"json": {"prompt": what, "max_tokens": 5}}
    if path == BOOKING:
        body = {"data": what}
    async with fleet.client.post(**body, **request) as response:
        problem: dict[str, Any] = await response.json(
            content_type="application/problem+json"
        )
        return response.status, problem


async def test_requests_that_are_refused_at_the_door_never_run(fleet: Fleet) -> None:
    oversized = "door-size" + "x" * 1_100_000
    attempts = [
        (401, QUESTION, "door-key", {"Authorization": "Bearer nobody"}),
        (404, "/v1/services/nothing/x", "door-service", {}),
        (400, QUESTION, "door-class", {"Priority_Class": "urgent"}),
        (400, QUESTION, "door-timeout", {"Request_Timeout": "soon"}),
        (413, QUESTION, oversized, {}),
        (428, BOOKING, "door-token", {}),
        (400, BOOKING, "door-forged", {"Idempotency_Token": "forged"}),
    ]
    for status, path, what, headers in attempts:
        got, problem = await refuse(fleet, path, what, **headers)
        assert got == status, (what[:20], got, problem)
        assert problem["was_run"] == "no", problem
    assert not [what for what in fleet.count_runs() if what.startswith("door")]


async def occupy(fleet: Fleet, ledger: Ledger, count: int) -> asyncio.Future[Any]:
    """Fill slots with long questions; return the future of their end."""
    before = sum(fleet.count_runs().values())
    asking = asyncio.gather(*(ledger.ask(0, tokens=LONG) for _ in range(count)))

    async def is_full() -> bool:
        return sum(fleet.count_runs().values()) == before + count

    await wait_for(is_full)
    return asking


async def test_requests_that_cannot_get_a_slot_never_run() -> None:
    servers = [plan_servers()[0]._replace(slots=2, pace=0.01)]
    text = write_configuration(servers).replace(
        "weight = 1.0", "weight = 1.0\nqueue_limit = 3"
    )
    async with run_fleet(("a", "a"), servers, text) as fleet:
        ledger = Ledger(fleet)
        occupied = await occupy(fleet, ledger, 2)
        hurried = [
            asyncio.create_task(
                refuse(fleet, QUESTION, f"hurried-{n}", Request_Timeout="1.5")
            )
            for n in range(8)
        ]
        answers = await asyncio.gather(*hurried)
        codes = [problem["code"] for _, problem in answers]
        assert codes.count("deadline_unreachable") >= 1, codes
        assert codes.count("queue_full") >= 5, codes
        assert {problem["was_run"] for _, problem in answers} == {"no"}
        assert await occupied
        assert not [w for w in fleet.count_runs() if w.startswith("hurried")]
        ledger.check()


async def test_shutdown_refuses_what_it_does_not_run() -> None:
    servers = [plan_servers()[0]._replace(slots=2, pace=0.01)]
    async with run_fleet(("a", "a"), servers) as fleet:
        ledger = Ledger(fleet)
        occupied = await occupy(fleet, ledger, 2)
        queued = [asyncio.create_task(ledger.ask(0)) for _ in range(3)]
        await asyncio.sleep(0.2)
        fleet.signal(fleet.routers[0].host, signal.SIGTERM)
        await asyncio.sleep(0.2)
        late = [await ledger.ask(0) for _ in range(3)]
        assert {entry.outcome for entry in late} <= {REFUSED, BROKEN}, late
        assert {entry.outcome for entry in await occupied} == {WHOLE}
        assert {entry.outcome for entry in await asyncio.gather(*queued)} <= {
            WHOLE,
            REFUSED,
        }
        ledger.check()
        broken = [entry.what for entry in late if entry.outcome == BROKEN]
        runs = fleet.count_runs()
        assert not [what for what in broken if runs[what]]


async def test_server_killed_between_connect_and_send_is_told_apart() -> None:
    servers = [plan_servers()[0], plan_servers()[2]]
    async with run_fleet(("a", "a"), servers) as fleet:
        ledger = Ledger(fleet)
        assert (await ledger.ask(0)).outcome == WHOLE
        await ledger.book_again([0], "book-before")
        for plan in servers:
            await fleet.kill(plan.name)
        await asyncio.gather(*(ledger.ask(n % 2) for n in range(4)))
        await ledger.book_again([0], "book-refused")
        await ledger.book_again([1], "book-refused-too")
        refusals = [entry for entry in ledger.entries if entry.outcome == REFUSED]
        assert len(refusals) >= 4, ledger.entries
        assert {entry.was_run for entry in refusals} == {"no"}, refusals
        ledger.check()


async def test_booking_whose_server_dies_is_not_called_unrun() -> None:
    servers = [plan_servers()[2]._replace(pace=30.0)]
    async with run_fleet(("a",), servers) as fleet:
        ledger = Ledger(fleet)
        booking = asyncio.create_task(ledger.book_again([0], "book-lost"))

        async def is_running() -> bool:
            return fleet.count_runs()["book-lost"] == 1

        await wait_for(is_running)
        await fleet.kill("booking-1")
        await booking
        assert [entry.was_run for entry in ledger.entries] == ["unknown"]
        ledger.check()


async def test_questions_whose_server_dies_are_not_called_unrun() -> None:
    servers = [plan_servers()[0]._replace(slots=1, pace=1.0)]
    text = write_configuration([servers[0]._replace(slots=4)])
    async with run_fleet(("a",), servers, text) as fleet:
        ledger = Ledger(fleet)
        hurry = {"Request-Timeout": "5"}
        asking = asyncio.gather(
            *(ledger.ask(0, tokens=LONG, headers=hurry) for _ in range(4))
        )

        async def are_running() -> bool:
            return fleet.count_runs().total() == 4

        await wait_for(are_running)
        await fleet.kill("engine-1")
        await asking
        refused = [entry for entry in ledger.entries if entry.outcome == REFUSED]
        assert len(refused) >= 3, ledger.entries
        assert {entry.was_run for entry in refused} == {"unknown"}, ledger.entries
        ledger.check()


async def test_server_that_says_503_after_running_is_not_believed() -> None:
    servers = [
        ServerPlan(f"booking-{number}", "bookings", find_address())
        for number in (1, 2, 3)
    ]
    async with run_fleet(("a",), servers) as fleet:
        ledger = Ledger(fleet)
        for plan in servers:
            await fleet.set_faults(plan.name, refuse_late=True)
        await ledger.book_again([0], "book-once")
        (entry,) = ledger.entries
        assert entry.outcome == PASSED_ON or entry.was_run == "unknown", entry
        assert fleet.count_runs()["book-once"] == 1


async def test_service_without_its_dependency_runs_nothing() -> None:
    servers = plan_servers()
    text = write_configuration(servers).replace(
        'kind = "model"', 'kind = "model"\ndepends_on = ["bookings"]'
    )
    async with run_fleet(("a", "a"), servers, text) as fleet:
        ledger = Ledger(fleet)
        assert (await ledger.ask(0)).outcome == WHOLE
        await fleet.set_faults("booking-1", leaving=True)

        async def is_refused() -> bool:
            return (await ledger.ask(0)).code == "dependency_unavailable"

        await wait_for(is_refused)
        for name in ("engine-1", "engine-2"):
            await fleet.set_faults(name, leaving=True)
        assert (await ledger.ask(0)).was_run == "no"
        await ledger.book_again([0], "book-nowhere")
        assert {e.was_run for e in ledger.entries if e.outcome == REFUSED} == {"no"}
        ledger.check()
