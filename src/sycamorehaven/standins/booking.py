"""
A stand-in for a plain backend server, which books slots.

``POST /bookings`` makes a booking and is not idempotent; ``GET /bookings``
lists the bookings and is idempotent. The server counts the runs for each
``Idempotency-Key`` header, but does not reject duplicates: routers must
prevent them.
"""

from __future__ import annotations

import asyncio
import os
from collections import Counter
from typing import Annotated

import typer
from aiohttp import web

from sycamorehaven.standins.faults import InjectedFaults
from sycamorehaven.standins.journal import JournalOption, RunJournal
from sycamorehaven.standins.serving import run_application


class BookingStandin:
    """
    Stand-in for a booking server.

    :param slots: maximum number of requests that run at a time.
    :param service_time: duration of a call in seconds.
    :param crash: function that simulates a crash of the server; by default,
        the process exits.
    :param journal: records the body of each booking.
    :ivar runs: number of bookings run, by ``Idempotency-Key`` header.
    :ivar lookups: number of requests for the list of bookings.
    """

    def __init__(
        self,
        slots: int = 4,
        service_time: float = 0.005,
        crash: object = None,
        journal: RunJournal | None = None,
    ) -> None:
        self._journal = journal or RunJournal()
        self._slots = slots
        self._service_time = service_time
        self._slot_semaphore = asyncio.Semaphore(slots)
        self._running_count = 0
        self._faults = InjectedFaults(crash if callable(crash) else _exit_process)
        self.runs: Counter[str] = Counter()
        self.lookups = 0

    @property
    def faults(self) -> InjectedFaults:
        """The faults that are injected into this server."""
        return self._faults

    def build_application(self) -> web.Application:
        """Return the HTTP application of this server."""
        application = web.Application(client_max_size=16_000_000)
        application.router.add_post("/bookings", self._book)
        application.router.add_get("/bookings", self._list_bookings)
        application.router.add_get("/load", self._report_load)
        application.router.add_get("/control/runs", self._list_runs)
        application.router.add_put("/control/faults", self._faults.handle_put_faults)
        return application

    async def _book(self, request: web.Request) -> web.Response:
        await self._faults.apply_to_request(request)
        key = request.headers.get("Idempotency-Key", "")
        body = (await request.read()).decode()
        self._journal.record_run(body)
        self.runs[key] += 1
        number = sum(self.runs.values())
        await self._occupy_slot()
        if self._faults.refuse_late:
            raise web.HTTPServiceUnavailable
        return web.json_response({"booking": number, "request": body}, status=201)

    async def _list_bookings(self, request: web.Request) -> web.Response:
        await self._faults.apply_to_request(request)
        self.lookups += 1
        await self._occupy_slot()
        return web.json_response({"bookings": sum(self.runs.values())})

    async def _occupy_slot(self) -> None:
        async with self._slot_semaphore:
            self._running_count += 1
            try:
                await asyncio.sleep(self._service_time)
            finally:
                self._running_count -= 1

    async def _report_load(self, _request: web.Request) -> web.Response:
        return web.json_response(
            {
                "running": self._running_count,
                "capacity": self._slots,
                "leaving": self._faults.leaving,
            }
        )

    async def _list_runs(self, _request: web.Request) -> web.Response:
        return web.json_response({"runs": self.runs, "lookups": self.lookups})


def _exit_process() -> None:
    os._exit(70)


def serve(
    address: Annotated[str, typer.Option(help="ip:port to listen on.")],
    slots: Annotated[int, typer.Option(help="Requests that run at a time.")] = 4,
    service_time: Annotated[float, typer.Option(help="Seconds per call.")] = 0.005,
    journal: JournalOption = None,
) -> None:
    """Run the stand-in booking service."""
    booking = BookingStandin(slots, service_time, journal=RunJournal(journal))
    run_application(booking.build_application(), address)


if __name__ == "__main__":
    typer.run(serve)
