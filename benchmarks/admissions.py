"""
Traffic and processor time of admission to engines.

``python -m benchmarks.admissions`` prints a node's share at the target size.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rich.console import Console
from rich.table import Table

from benchmarks.measurement import measure_time
from benchmarks.target_size import TargetSize
from sycamorehaven.controllers.admissions import HELD_PERIOD_SECONDS
from sycamorehaven.decisions.engine_queue import (
    AdmissionKey,
    EngineQueue,
    QueuedRequest,
)
from sycamorehaven.decisions.roles import choose_engine_scheduler
from sycamorehaven.identity import RouterId, create_incarnation
from sycamorehaven.transport.codec import Codec
from sycamorehaven.transport.messages.admissions import (
    AdmissionProgress,
    AdmissionReply,
    AdmissionRequest,
    BegunRequest,
    EngineProgress,
    HeldRequest,
)

if TYPE_CHECKING:
    from collections.abc import Collection

HOST = "router-euw1-b-000123"
ADDRESS = "10.123.145.167:7000"
SERVER = "i-7f3a91c2d0/1779099722445"
REQUEST = AdmissionRequest(
    4_711, SERVER, "oakcourt", 3_720, 4_000.0, 0.4, resumes=False
)
REPLY = AdmissionReply(4_711, "admitted", 12, 3, 0.08, 9_000, 51_234.5, 14.25)
HELD_REQUESTS = 77
"""Streams of a node at once."""
WAITING_REQUESTS = 16
"""Requests that wait for one engine."""
SLOTS = 16
SETTLED_AT = 1_000.0
"""Monotonic seconds at which the queue is measured."""


def encode(message: object) -> int:
    """Return the size of an encoded message, bytes."""
    codec = Codec(RouterId(HOST, create_incarnation()), ADDRESS)
    return len(codec.encode(message))


def print_traffic(size: TargetSize) -> None:
    """Print the bytes that a node sends a second, without repeated asking."""
    rate = size.requests_per_second / size.nodes
    progress = EngineProgress(SERVER, [], [], 40, 1, None)
    held = [HeldRequest(4_711, 3_720, has_begun=True)]
    begun = encode(
        AdmissionProgress([progress._replace(begun=[BegunRequest(4_711, 0.21)])])
    )
    ended = encode(AdmissionProgress([progress._replace(ended=[4_711])]))
    listed = encode(AdmissionProgress([progress._replace(held=held)]))
    table = Table("message", "bytes", "messages/s", "bytes/s", title="sent by a node")
    rows = [
        ("request", encode(REQUEST), rate),
        ("reply", encode(REPLY), rate),
        ("first token", begun, rate),
        ("end", ended, rate),
        ("list of what is held", listed, HELD_REQUESTS / HELD_PERIOD_SECONDS),
    ]
    for name, count, messages in rows:
        table.add_row(name, f"{count}", f"{messages:.1f}", f"{count * messages:.0f}")
    Console(width=88).print(table)


def print_decisions(size: TargetSize) -> None:
    """Print the processor time of one decision and of a changed view."""
    levels = {f"w{number}": number / 1e6 for number in range(size.workspaces)}

    def get_levels(workspaces: Collection[str]) -> dict[str, float]:
        return {name: levels[name] for name in workspaces}

    queue = EngineQueue(SLOTS, 4.0)

    def submit(number: int, now: float) -> None:
        key = AdmissionKey(RouterId(HOST, 1), number)
        workspace = f"w{number}"
        request = QueuedRequest(key, workspace, 100, 100.0, False, now, now + 60.0)  # noqa: FBT003
        queue.submit(request, get_levels, now)

    for number in range(SLOTS + WAITING_REQUESTS):
        submit(number, SETTLED_AT)
    last = AdmissionKey(RouterId(HOST, 1), SLOTS + WAITING_REQUESTS)

    def decide() -> None:
        submit(last.number, SETTLED_AT)
        queue.record_end(last, SETTLED_AT)

    domains = {
        f"r{number}": f"d{number % size.domains}" for number in range(size.nodes)
    }
    busy = measure_time(decide, 500)
    chosen = measure_time(lambda: choose_engine_scheduler("s1", "d1", domains), 200)
    print(f"a request while {WAITING_REQUESTS} others wait: {busy * 1e6:.0f} us")
    print(f"the scheduler of an engine after a change: {chosen * 1e6:.0f} us")


def main() -> None:
    """Print the measurements."""
    size = TargetSize()
    print_traffic(size)
    print_decisions(size)


if __name__ == "__main__":
    main()
