"""Evacuation of a failure domain before router and server processes."""

from __future__ import annotations

import asyncio
import itertools
import signal
import time
from typing import TYPE_CHECKING

import msgspec

from tests.failures.test_gateways import send_request
from tests.soak.callers import PROMPT_HEADERS
from tests.soak.fleet import EVACUATION_SECONDS, ROUTER_HOSTS, SOUTH_SERVERS
from tests.support.fleet import wait_for

if TYPE_CHECKING:
    from tests.soak.fleet import SoakFleet

ITEM = "op/evacuate/south"
REQUEST_PERIOD_SECONDS = 0.06
"""Time between two requests, of which each router gets every third; one engine
can run all of them."""
CUT_OFF_HOST = "south1"
"""A third of the routers, which prefers the servers of its own domain."""


class SteadyLoad:
    """
    Requests that are sent to all routers in turn.

    :ivar statuses: number of answers by status.
    """

    def __init__(self, fleet: SoakFleet) -> None:
        self._fleet = fleet
        self._answers: list[asyncio.Task[tuple[int, bytes]]] = []
        self._sender = asyncio.create_task(self._send())

    async def _send(self) -> None:
        hosts = itertools.cycle(ROUTER_HOSTS)
        for number in itertools.count():
            attempt, host = f"x{number}", next(hosts)
            is_stream = number % 2 == 0
            sending = send_request(
                self._fleet,
                host,
                f"/{'stream' if is_stream else 'look'}/{attempt}",
                attempt,
                "POST" if is_stream else "GET",
                PROMPT_HEADERS if is_stream else None,
            )
            self._answers.append(asyncio.create_task(sending))
            await asyncio.sleep(REQUEST_PERIOD_SECONDS)

    async def stop(self) -> list[int]:
        """Send no more; return the statuses of all answers."""
        self._sender.cancel()
        return [status for status, _ in await asyncio.gather(*self._answers)]


def list_runs_after(fleet: SoakFleet, began_at: float) -> list[str]:
    """Return the runs that began in the south after a time."""
    return [
        f"{run.attempt} at {run.server}, {run.began_at - began_at:.2f} s later"
        for run in fleet.collect_record().runs
        if run.server in SOUTH_SERVERS and run.began_at > began_at
    ]


async def wait_for_runs(fleet: SoakFleet) -> None:
    """Wait until every server in the south gets a request."""
    began_at = time.monotonic()

    async def have_run() -> bool:
        runs = fleet.collect_record().runs
        return {run.server for run in runs if run.began_at > began_at} >= set(
            SOUTH_SERVERS
        )

    await wait_for(have_run)


async def test_nothing_reaches_an_evacuated_domain_after_the_bound(
    soak_fleet: SoakFleet,
) -> None:
    load = SteadyLoad(soak_fleet)
    await wait_for_runs(soak_fleet)
    soak_fleet.store_proxies[CUT_OFF_HOST].resets_new_connections = True
    soak_fleet.store_proxies[CUT_OFF_HOST].reset_connections()
    soak_fleet.store.put(ITEM, {})
    acknowledged_at = time.monotonic()
    await asyncio.sleep(EVACUATION_SECONDS + 1.5)
    late = list_runs_after(soak_fleet, acknowledged_at + EVACUATION_SECONDS)
    assert not late, late
    all_late = list_runs_after(soak_fleet, acknowledged_at)
    print("last run in the domain:", all_late[-1] if all_late else "none")
    soak_fleet.store.remove(ITEM)
    await wait_for_runs(soak_fleet)
    statuses = await load.stop()
    assert set(statuses) == {200}, statuses
    for host in ROUTER_HOSTS:
        for event in ("evacuation_begun", "evacuation_ended"):
            lines = soak_fleet.list_log_events(host, event)
            assert [line["domain"] for line in lines] == ["south"], (host, event)
    begun = soak_fleet.list_log_events(CUT_OFF_HOST, "evacuation_begun")
    assert begun[0]["origin"] in ROUTER_HOSTS


# Its requests of that time wait in its socket, and are read before the store.
async def test_router_that_stood_still_sends_nothing_to_an_evacuated_domain(
    soak_fleet: SoakFleet,
) -> None:
    load = SteadyLoad(soak_fleet)
    await wait_for_runs(soak_fleet)
    soak_fleet.send_signal(CUT_OFF_HOST, signal.SIGSTOP)
    soak_fleet.store.put(ITEM, {})
    acknowledged_at = time.monotonic()
    # The store's answers take longer than the first requests.
    soak_fleet.store_proxies[CUT_OFF_HOST].delay = 0.2
    await asyncio.sleep(EVACUATION_SECONDS + 0.2)
    soak_fleet.send_signal(CUT_OFF_HOST, signal.SIGCONT)
    await asyncio.sleep(2.0)
    await load.stop()
    late = list_runs_after(soak_fleet, acknowledged_at + EVACUATION_SECONDS)
    assert not late, late
    assert soak_fleet.list_log_events(CUT_OFF_HOST, "snapshot_recovery")


async def test_restored_store_and_then_both_domains(soak_fleet: SoakFleet) -> None:
    load = SteadyLoad(soak_fleet)
    await wait_for_runs(soak_fleet)
    copied = soak_fleet.store.copy()
    soak_fleet.store.put(ITEM, {})
    began_at = time.monotonic()
    await asyncio.sleep(EVACUATION_SECONDS)
    soak_fleet.store.restore(copied)
    # The operator notices the restoration and writes the item again.
    await asyncio.sleep(1.2)
    soak_fleet.store.put(ITEM, {})
    await asyncio.sleep(3.0)
    late = list_runs_after(soak_fleet, began_at + EVACUATION_SECONDS)
    assert not late, late
    await load.stop()
    soak_fleet.store.put("op/evacuate/north", {})
    await asyncio.sleep(EVACUATION_SECONDS)
    for host in ROUTER_HOSTS:
        for path in ("/look/1", "/stream/1"):
            sent_at = time.monotonic()
            status, body = await send_request(soak_fleet, host, path, f"{host}{path}")
            problem = msgspec.json.decode(body)
            assert (status, problem["code"]) == (503, "domains_evacuated")
            assert problem["was_run"] == "no"
            assert time.monotonic() - sent_at < 1.0
