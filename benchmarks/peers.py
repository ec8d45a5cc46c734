"""
Cost of one more member, peer or counter: ``python -m benchmarks.peers``.

Bytes are those of encoded messages with names of production length. Memory
per item is the difference between two fleet or table sizes, divided by the
difference of the sizes.
"""

from __future__ import annotations

import gc
import sys
import time
import tracemalloc
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import zmq

from sycamorehaven.blackboard.counters import CounterKey, CountersSection
from sycamorehaven.controllers.counters import SHARING_POLICY
from sycamorehaven.decisions.counter_rows import SchedulerTotal, encode_rows
from sycamorehaven.decisions.counter_updates import (
    PeerUpdateTracker,
    TotalKey,
    TotalSample,
)
from sycamorehaven.identity import RouterId
from sycamorehaven.transport.codec import Codec
from sycamorehaven.transport.dealer_pool import DealerPool
from sycamorehaven.transport.messages.counters import CounterAck, CounterUpdate
from sycamorehaven.transport.messages.membership import MemberRecord, Probe
from tests.support.fleet import allocate_address
from tests.support.membership_simulation import SimulatedCluster, create_settings

if TYPE_CHECKING:
    from collections.abc import Callable

OWN_ID = RouterId("formflow-entry-03-a1", 1_764_800_000_000 << 20)
ADDRESS = "10.20.30.40:7000"
SMALL_FLEET, LARGE_FLEET = 60, 420
"""Numbers of members whose costs are compared."""
PEER_COUNT, ROW_COUNT = 46, 1_400
"""Peers that receive counter updates, and service totals of one scheduler."""
PAGE_BYTES = 4_096


class Measurement(NamedTuple):
    """
    One row of the table.

    :ivar name: description of the measured quantity.
    :ivar value: measured value.
    :ivar unit: unit of the value.
    """

    name: str
    value: float
    unit: str


def build_record(number: int) -> MemberRecord:
    """Return a member record with names of production length."""
    host = f"formflow-entry-{number:05d}"
    return MemberRecord(host, OWN_ID.incarnation, 3, ADDRESS, "north-zone-a", "alive")


def measure_messages() -> list[Measurement]:
    """Return the sizes of messages and of their rows."""
    codec = Codec(OWN_ID, ADDRESS)
    record = build_record(1)
    probe = Probe(1_000, "", 4_500, "0" * 32, [record])
    totals = [
        SchedulerTotal(OWN_ID, TotalKey("flow-check", f"workspace-{n:06d}"), 1e6 + n)
        for n in range(100)
    ]
    one = len(codec.encode(CounterUpdate(9_999, encode_rows(OWN_ID, totals[:1]))))
    many = len(codec.encode(CounterUpdate(9_999, encode_rows(OWN_ID, totals))))
    ack = len(codec.encode(CounterAck(9_999)))
    return [
        Measurement("member record", len(msgspec.msgpack.encode(record)), "B"),
        Measurement("probe or acknowledgement, no news", len(codec.encode(probe)), "B"),
        Measurement("counter row", (many - one) / 99, "B"),
        Measurement(
            "counter update and its acknowledgement, no rows", one - 32 + ack, "B"
        ),
    ]


def measure_memory(build: Callable[[], object]) -> float:
    """Return the bytes that ``build`` and its result keep allocated."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size)


def build_view(size: int) -> SimulatedCluster:
    """Return a fleet of one node whose view holds ``size`` members more."""
    swarm = SimulatedCluster(1)
    view = swarm.routers["m0"].controller.membership
    for number in range(size):
        view.merge_record(build_record(number), swarm.clock.now)
        view.gossip_queue.remove(build_record(number).host)
    swarm.step()
    return swarm


def measure_tick(size: int, count: int = 2_000) -> float:
    """Return the processor seconds of one membership tick with its probe."""
    swarm = build_view(size)
    node = swarm.routers["m0"]
    started = time.process_time()
    for _ in range(count):
        swarm.clock.advance(0.1)
        node.controller.tick()
    return (time.process_time() - started) / count


def measure_members() -> list[Measurement]:
    """Return the memory and the processor time that members cost."""
    added_members = LARGE_FLEET - SMALL_FLEET
    memory = measure_memory(lambda: build_view(LARGE_FLEET)) - measure_memory(
        lambda: build_view(SMALL_FLEET)
    )
    return [
        Measurement("memory a member", memory / added_members, "B"),
        Measurement(
            f"tick at {SMALL_FLEET} members", measure_tick(SMALL_FLEET) * 1e6, "us"
        ),
        Measurement(
            f"tick at {LARGE_FLEET} members", measure_tick(LARGE_FLEET) * 1e6, "us"
        ),
    ]


def read_resident() -> int:
    """Return the resident memory of this process, in bytes."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


def measure_sockets(count: int = 200) -> list[Measurement]:
    """Return the memory of a connection with both ends in this process."""
    pool = DealerPool(zmq.Context.instance(), create_settings("a1", "a", ()))
    listener: zmq.Socket[bytes] = zmq.Context.instance().socket(zmq.ROUTER)
    port = allocate_address().rpartition(":")[2]
    addresses = [f"127.0.0.{number + 1}:{port}" for number in range(count)]
    for address in addresses:
        listener.bind(f"tcp://{address}")
    before = read_resident()
    for address in addresses:
        pool.send(address, b"x")
    for _ in addresses:
        listener.recv_multipart()
    after = read_resident()
    pool.close()
    listener.close(linger=0)
    return [
        Measurement(
            "resident memory a connection, both ends", (after - before) / count, "B"
        )
    ]


def build_counters(size: int) -> CountersSection:
    """Return a counters section with ``size`` totals of one scheduler."""
    section = CountersSection(OWN_ID)
    peer = RouterId("formflow-entry-00007", OWN_ID.incarnation)
    for number in range(size):
        key = CounterKey(peer, "flow-check", f"workspace-{number:06d}")
        section.merge_total(key, 1e6 + number)
    return section


def measure_counters() -> list[Measurement]:
    """Return the memory and the processor time that totals cost."""
    memory = measure_memory(lambda: build_counters(2 * ROW_COUNT)) - measure_memory(
        lambda: build_counters(ROW_COUNT)
    )
    started = time.process_time()
    for _ in range(10):
        build_counters(ROW_COUNT)
    merge_seconds = (time.process_time() - started) / 10 / ROW_COUNT
    return [
        Measurement("memory a total", memory / ROW_COUNT, "B"),
        Measurement("merging a total", merge_seconds * 1e6, "us"),
        Measurement("looking at a row for a peer", measure_ranking() * 1e6, "us"),
    ]


def measure_ranking() -> float:
    """Return the processor seconds to rank one row for one peer."""
    keys = [TotalKey("flow-check", f"workspace-{n:06d}") for n in range(ROW_COUNT)]
    tracker = PeerUpdateTracker(SHARING_POLICY)
    tracker.record_sent(
        1, {place: TotalSample(1e6, 5.0, 100.0) for place in keys}, 100.0
    )
    later = {place: TotalSample(1e6 + 1.0, 5.0, 100.25) for place in keys}
    started = time.process_time()
    for _ in range(PEER_COUNT):
        tracker.rank_rows(later, {"flow-check": 1_000.0}, 100.25)
    return (time.process_time() - started) / PEER_COUNT / ROW_COUNT


def main() -> int:
    """Print the table."""
    print("| what | figure |\n| --- | --: |")
    for measure in (measure_messages, measure_members, measure_counters):
        for slope in measure():
            print(f"| {slope.name} | {slope.value:.1f} {slope.unit} |", flush=True)
    for slope in measure_sockets():
        print(f"| {slope.name} | {slope.value:.0f} {slope.unit} |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
