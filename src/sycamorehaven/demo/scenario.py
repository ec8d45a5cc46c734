"""What the demo sends, and the checks on what comes back."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from sycamorehaven.demo.plan import derive_key
from sycamorehaven.load.driver import LoadDriver
from sycamorehaven.load.plan import LoadPlan, Workload
from sycamorehaven.load.summary import SummaryDocument
from sycamorehaven.standins.engine import make_token

if TYPE_CHECKING:
    import aiohttp

    from sycamorehaven.demo.fleet import DemoFleet

FLOOD_RATE = 120.0
"""Questions a second of the workspace that floods."""
QUIET_RATE = 8.0
"""Questions a second of the other."""
FLOOD_DURATION = 3.0
"""Seconds in which questions are asked."""
TOKENS = 16
BOOKING = {"machine": "washer 3", "slot": "Friday 10:00"}


class Answer(NamedTuple):
    """
    An answer to the demo's caller.

    :ivar status: HTTP status.
    :ivar body: the whole body.
    """

    status: int
    body: bytes


class DemoResult(NamedTuple):
    """
    What the demo saw.

    :ivar load: figures of the flood and the quiet workspace.
    :ivar bookings: answers to the booking, sent twice with one token.
    :ivar runs: how often the booking ran.
    :ivar faults: what was not as it should be; nothing if all was well.
    """

    load: SummaryDocument
    bookings: tuple[Answer, ...]
    runs: int
    faults: tuple[str, ...]


class Scenario:
    """
    Asks, floods and books.

    :param fleet: the running fleet.
    :param http: connections to its routers.
    """

    def __init__(self, fleet: DemoFleet, http: aiohttp.ClientSession) -> None:
        self._fleet = fleet
        self._http = http
        self._bases = [f"http://{router.callers}" for router in fleet.plan.routers]

    async def run(self) -> DemoResult:
        """Send everything and check what comes back."""
        faults = await self._ask_every_router()
        load = (await LoadDriver(self._plan_load()).run()).build_document()
        faults += check_load(load)
        bookings = await self._book_twice()
        runs = sum(self._fleet.booking.runs.values())
        faults += check_bookings(bookings, runs)
        return DemoResult(load, bookings, runs, tuple(faults))

    def _plan_load(self) -> LoadPlan:
        workloads = [
            Workload(
                workspace=name,
                key=derive_key(name),
                kind="question",
                service="assistant",
                path="/v1/completions",
                rate=rate,
                tokens=(TOKENS, TOKENS),
            )
            for name, rate in (("oakcourt", FLOOD_RATE), ("elmplace", QUIET_RATE))
        ]
        return LoadPlan(tuple(workloads), tuple(self._bases), FLOOD_DURATION)

    async def _ask_every_router(self) -> list[str]:
        faults = []
        for base in self._bases:
            prompt = f"Is washer 3 free? ({base})"
            url = f"{base}/v1/services/assistant/v1/completions"
            body = {"prompt": prompt, "max_tokens": TOKENS}
            answer = await self._post(url, body, {})
            tokens = [make_token(prompt, index).encode() for index in range(TOKENS)]
            if answer.status != 200 or not all(t in answer.body for t in tokens):
                faults.append(f"{base} did not answer a question whole")
        return faults

    async def _book_twice(self) -> tuple[Answer, ...]:
        minted = await self._post(f"{self._bases[0]}/v1/idempotency-tokens", None, {})
        headers = {"Idempotency-Token": read_token(minted)}
        urls = [f"{base}/v1/services/bookings/bookings" for base in self._bases[:2]]
        calls = (self._post(url, BOOKING, headers) for url in urls)
        return tuple(await asyncio.gather(*calls))

    async def _post(self, url: str, body: object, headers: dict[str, str]) -> Answer:
        key = {"Authorization": f"Bearer {derive_key('elmplace')}"}
        async with self._http.post(url, json=body, headers=key | headers) as response:
            return Answer(response.status, await response.read())


def read_token(answer: Answer) -> str:
    """Return the idempotency token of an answer, "" if it has none."""
    try:
        return str(msgspec.json.decode(answer.body)["idempotency_token"])
    except (msgspec.MsgspecError, KeyError, TypeError):
        return ""


def check_load(load: SummaryDocument) -> list[str]:
    """Return what is wrong with the load's figures."""
    flood, quiet = load["workloads"]
    faults = []
    if quiet["answered"] != quiet["sent"]:
        faults.append(f"the quiet workspace met {quiet['refusals']}")
    if quiet["tokens"] != quiet["answered"] * TOKENS:
        faults.append("an answer to the quiet workspace was not whole")
    if not flood["answered"]:
        faults.append(f"the flooding workspace met {flood['refusals']} only")
    return faults


def check_bookings(bookings: tuple[Answer, ...], runs: int) -> list[str]:
    """Return what is wrong with the booking that was sent twice."""
    faults = []
    if runs != 1:
        faults.append(f"the booking ran {runs} times")
    if any(answer.status != 201 for answer in bookings):
        faults.append(f"the booking was answered {[a.status for a in bookings]}")
    if len({answer.body for answer in bookings}) != 1:
        faults.append("the two answers to the booking differ")
    return faults
