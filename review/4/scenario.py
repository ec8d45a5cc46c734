"""The platform's store is slow while a key is taken away."""

from __future__ import annotations

import asyncio
import sys
import time

from support import fleet as harness
from support.fleet import (
    Fleet,
    Record,
    Server,
    build_configuration,
    build_request_headers,
    fetch,
    run_case,
)

ZONES = [
    zone for zone in ("vejle", "herning", "odense", "aarhus", "kolding") for _ in "abc"
]
"""Three routers in each zone; from 13 on, only two routers read the store."""
ENGINES = 60
"""Registered engines, on the second page of a list of 50 items."""
PAGE_SIZE = 50
ANSWER_SECONDS = 0.004
"""Time of an answer of the store."""
SLOW_FACTOR = 60
"""How many times as long an answer takes during the disruption."""
SLOW_SECONDS = 4.5
CONTACT_SECONDS = 4.0
CONFIGURATION_SECONDS = 3.0
SKEW_SECONDS = 6.0
"""``contactMs``, ``configDeadlineMs`` and ``skewBoundMs`` of the site."""
QUIET_SECONDS = 0.05
"""Time without a read after which no list is being read any more."""
ROUNDS = 6
"""Keys that are taken away, one after the other, until one is still used."""


def build_version(version: int) -> dict:
    """Return a configuration with a single key, named after its version."""
    tenants = [{"name": "oakcourt", "apiKeys": [f"key-{version}"], "priority": 1}]
    return build_configuration(version, tenants=tenants)


async def take_key_away(fleet: Fleet, record: Record, version: int, trouble: bool):
    """Write a version without the key before; return when it was accepted."""
    store = fleet.store
    began_at = time.monotonic()
    if trouble:
        store.delay = ANSWER_SECONDS / 2 * SLOW_FACTOR
        record.write(f"the store takes {ANSWER_SECONDS * SLOW_FACTOR:.2f} s an answer")
    await asyncio.sleep(2.0)
    store.operator_read.clear()
    await store.operator_read.wait()
    # A slow store is still listing the servers then, another one is done.
    await asyncio.sleep(0.15)
    if not trouble and time.monotonic() - store.read_at < QUIET_SECONDS:
        await asyncio.sleep(QUIET_SECONDS)
    revision = store.put("op/config", build_version(version))
    accepted_at = time.monotonic()
    record.write(f"operator: version {version}, revision {revision}, without the key")
    await asyncio.sleep(began_at + SLOW_SECONDS - time.monotonic())
    store.delay = ANSWER_SECONDS / 2
    record.write("the store is as fast as ever")
    return accepted_at


async def count_runs(fleet: Fleet, record: Record, version: int) -> int:
    """Use the old key at each router; return how many requests were run."""
    answers = await asyncio.gather(
        *(
            fetch(
                router.frontend,
                "POST",
                f"/book/{version}",
                build_request_headers(
                    f"{version:08x}{number:08x}", 1_000, key=f"key-{version - 1}"
                ),
                b"book",
            )
            for number, router in enumerate(fleet.routers)
        )
    )
    for router, answer in zip(fleet.routers, answers, strict=True):
        record.write(f"client got from {router.name}: {answer.describe()}")
    return sum(answer.status == 200 for answer in answers)


async def main(record: Record, trouble: bool) -> bool:
    """Return whether the keys that were taken away were refused."""
    fleet = Fleet(record, ZONES)
    harness.BOUNDS["budgetSlack"] = 170
    fleet.store.page_size = PAGE_SIZE
    fleet.store.delay = ANSWER_SECONDS / 2
    fleet.store.put("op/config", build_version(7))
    for number in range(ENGINES):
        engine = Server(f"i-{number:02}", "engines", record)
        await fleet.add_server(engine, ZONES[number % len(ZONES)], 16)
    await fleet.add_server(Server("i-booking", "bookings", record), "vejle", 6)
    try:
        await fleet.start()
        await asyncio.sleep(3.0)
        for version in range(8, 8 + ROUNDS):
            accepted_at = await take_key_away(fleet, record, version, trouble)
            bound = CONFIGURATION_SECONDS + SKEW_SECONDS + 0.5
            await asyncio.sleep(
                max(CONTACT_SECONDS + 0.5, accepted_at + bound - time.monotonic())
            )
            runs = await count_runs(fleet, record, version)
            record.write(
                f"{time.monotonic() - accepted_at:.1f} s after the key was taken away"
                f" {runs} of {len(ZONES)} routers run requests with it"
            )
            if runs:
                return False
    finally:
        await fleet.stop()
    return True


if __name__ == "__main__":
    sys.exit(run_case(main))
