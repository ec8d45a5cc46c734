"""The requests that the demo sends, and the checks of the answers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from sycamorehaven.demo.plan import derive_key
from sycamorehaven.load.driver import LoadDriver
from sycamorehaven.load.plan import LoadPlan, Workload
from sycamorehaven.load.summary import SummaryDocument
from sycamorehaven.standins.engine import generate_token

if TYPE_CHECKING:
    import aiohttp

    from sycamorehaven.demo.fleet import DemoFleet

FLOOD_REQUESTS_PER_SECOND = 120.0
"""Request rate of the workspace that floods the fleet."""
QUIET_REQUESTS_PER_SECOND = 8.0
"""Request rate of the other workspace."""
LOAD_DURATION_SECONDS = 3.0
"""Period in which both workspaces send requests."""
ANSWER_TOKENS = 16
"""Number of tokens in the answer to each question."""
BOOKING_REQUEST = {"machine": "washer 3", "slot": "Friday 10:00"}
"""JSON body of the booking."""


class ReceivedAnswer(NamedTuple):
    """
    An answer that the demo received from a router.

    :ivar status: HTTP status.
    :ivar body: complete body.
    """

    status: int
    body: bytes


class DemoResult(NamedTuple):
    """
    Result of the demo.

    :ivar load: summary of the load of both workspaces.
    :ivar bookings: answers to the booking, which was sent twice with one
        idempotency token.
    :ivar runs: number of times that the booking server ran the booking.
    :ivar faults: descriptions of the failed checks.
    """

    load: SummaryDocument
    bookings: tuple[ReceivedAnswer, ...]
    runs: int
    faults: tuple[str, ...]


class DemoScenario:
    """
    The sequence of requests and checks of the demo.

    :param fleet: the running fleet.
    :param http: HTTP client session for requests to its routers.
    """

    def __init__(self, fleet: DemoFleet, http: aiohttp.ClientSession) -> None:
        self._fleet = fleet
        self._http = http
        self._base_urls = [
            f"http://{router.callers_address}" for router in fleet.plan.routers
        ]

    async def run(self) -> DemoResult:
        """Send all requests, check the answers and return the result."""
        faults = await self._check_every_router()
        load_summary = (
            await LoadDriver(self._create_load_plan()).run()
        ).build_document()
        faults += find_load_faults(load_summary)
        bookings = await self._book_twice()
        runs = sum(self._fleet.booking.runs.values())
        faults += find_booking_faults(bookings, runs)
        return DemoResult(load_summary, bookings, runs, tuple(faults))

    def _create_load_plan(self) -> LoadPlan:
        workloads = [
            Workload(
                workspace=name,
                key=derive_key(name),
                kind="question",
                service="assistant",
                path="/v1/completions",
                rate=rate,
                tokens=(ANSWER_TOKENS, ANSWER_TOKENS),
            )
            for name, rate in (
                ("oakcourt", FLOOD_REQUESTS_PER_SECOND),
                ("elmplace", QUIET_REQUESTS_PER_SECOND),
            )
        ]
        return LoadPlan(tuple(workloads), tuple(self._base_urls), LOAD_DURATION_SECONDS)

    async def _check_every_router(self) -> list[str]:
        faults = []
        for base_url in self._base_urls:
            prompt = f"Is washer 3 free? ({base_url})"
            url = f"{base_url}/v1/services/assistant/v1/completions"
            body = {"prompt": prompt, "max_tokens": ANSWER_TOKENS}
            answer = await self._post(url, body, {})
            tokens = [
                generate_token(prompt, index).encode() for index in range(ANSWER_TOKENS)
            ]
            if answer.status != 200 or not all(t in answer.body for t in tokens):
                faults.append(f"the answer of {base_url} to a question is incomplete")
        return faults

    async def _book_twice(self) -> tuple[ReceivedAnswer, ...]:
        token_answer = await self._post(
            f"{self._base_urls[0]}/v1/idempotency-tokens", None, {}
        )
        headers = {"Idempotency-Token": parse_idempotency_token(token_answer)}
        urls = [
            f"{base_url}/v1/services/bookings/bookings"
            for base_url in self._base_urls[:2]
        ]
        answers = (self._post(url, BOOKING_REQUEST, headers) for url in urls)
        return tuple(await asyncio.gather(*answers))

    async def _post(
        self, url: str, body: object, headers: dict[str, str]
    ) -> ReceivedAnswer:
        authorization = {"Authorization": f"Bearer {derive_key('elmplace')}"}
        async with self._http.post(
            url, json=body, headers=authorization | headers
        ) as response:
            return ReceivedAnswer(response.status, await response.read())


def parse_idempotency_token(answer: ReceivedAnswer) -> str:
    """Return the idempotency token in an answer, or "" if there is none."""
    try:
        return str(msgspec.json.decode(answer.body)["idempotency_token"])
    except (msgspec.MsgspecError, KeyError, TypeError):
        return ""


def find_load_faults(load_summary: SummaryDocument) -> list[str]:
    """Return the failed checks of a load summary."""
    flood, quiet = load_summary["workloads"]
    faults = []
    if quiet["answered"] != quiet["sent"]:
        faults.append(
            f"requests of the quiet workspace were refused: {quiet['refusals']}"
        )
    if quiet["tokens"] != quiet["answered"] * ANSWER_TOKENS:
        faults.append("an answer to the quiet workspace was incomplete")
    if not flood["answered"]:
        faults.append(f"the flooding workspace got no answer: {flood['refusals']}")
    return faults


def find_booking_faults(bookings: tuple[ReceivedAnswer, ...], runs: int) -> list[str]:
    """Return the failed checks of the booking that was sent twice."""
    faults = []
    if runs != 1:
        faults.append(f"the booking ran {runs} times")
    if any(answer.status != 201 for answer in bookings):
        faults.append(f"the booking was answered with {[a.status for a in bookings]}")
    if len({answer.body for answer in bookings}) != 1:
        faults.append("the two answers to the booking differ")
    return faults
