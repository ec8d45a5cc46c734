"""
Memory of a router process: ``python -m benchmarks.memory``.

Starts one real router with one busy backend server, queues requests at the
router, and reads the resident memory from the router's metrics.
"""

from __future__ import annotations

import asyncio
import functools
import json

from tests.support.configuration_texts import ServerPlan, build_configuration_text
from tests.support.fleet import Fleet, allocate_address, run_fleet, wait_for

QUEUE_STEPS = (0, 1_000, 2_000, 4_000)
"""Numbers of queued requests at which the memory is read."""
QUEUE_LIMIT = 10_000
"""Limit of waiting requests, above the largest of the steps."""
REQUEST_BODY = {"prompt": "x" * 200, "max_tokens": 10_000}
BYTES_PER_MEBIBYTE = 1_048_576


async def read_memory(fleet: Fleet) -> float:
    """Return the resident memory of the first router, in bytes."""
    return (await fleet.fetch_metrics(0))["process_resident_memory_bytes"]


async def send_waiting_request(fleet: Fleet) -> None:
    """Send a request that waits until it is cancelled."""
    path = "/v1/services/assistant/v1/completions"
    request = fleet.build_request(0, path, headers={"Request-Timeout": "86400"})
    async with fleet.client.post(json=REQUEST_BODY, **request) as response:
        body = await response.text()
        raise RuntimeError(f"answered {response.status}: {body}")


async def count_waiting(fleet: Fleet) -> int:
    """Return the number of requests that wait at the first router."""
    return int((await fleet.fetch_admin_document(0, "/v1/status"))["waiting"])


async def measure() -> dict[str, float]:
    """Return the memory at each step and per 1000 requests, in MiB."""
    servers = [
        ServerPlan("engine-1", "assistant", allocate_address(), 1, work_seconds=1.0)
    ]
    text = build_configuration_text(servers).replace(
        "weight = 1.0\n", f"weight = 1.0\nqueue_limit = {QUEUE_LIMIT}\n"
    )
    figures: dict[str, float] = {}
    async with run_fleet(("a",), servers, text) as fleet:
        tasks = [asyncio.create_task(send_waiting_request(fleet))]
        for step in QUEUE_STEPS:
            missing = step + 1 - len(tasks)
            tasks += [
                asyncio.create_task(send_waiting_request(fleet)) for _ in range(missing)
            ]
            await wait_for(functools.partial(_has_waiting, fleet, step, tasks))
            figures[f"queued {step}"] = await read_memory(fleet) / BYTES_PER_MEBIBYTE
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    first, last = (figures[f"queued {QUEUE_STEPS[i]}"] for i in (1, -1))
    figures["per 1000 queued"] = (
        (last - first) / (QUEUE_STEPS[-1] - QUEUE_STEPS[1]) * 1_000
    )
    return figures


async def _has_waiting(
    fleet: Fleet, count: int, tasks: list[asyncio.Task[None]]
) -> bool:
    for task in tasks:
        if task.done():
            task.result()
    return await count_waiting(fleet) >= count


def main() -> None:
    """Print every figure, in MiB, as JSON."""
    print(json.dumps(asyncio.run(measure()), indent=2))


if __name__ == "__main__":
    main()
