"""
Traffic and processor time by which routers remember where streams began.

``python -m benchmarks.stream_origins`` prints a node's share at the target
size, for each way that was weighed.
"""

from __future__ import annotations

import random

from rich.console import Console
from rich.table import Table

from benchmarks.measurement import measure_time
from benchmarks.target_size import TargetSize
from sycamorehaven.decisions.stream_origins import (
    choose_origin_holders,
    compute_stream_key,
    list_possible_holders,
)
from sycamorehaven.identity import RouterId, create_incarnation
from sycamorehaven.transport.codec import Codec
from sycamorehaven.transport.messages.streams import (
    StartedStream,
    StreamOriginNotice,
    StreamOriginReply,
    StreamOriginRequest,
)

HOST = "router-euw1-b-000123"
ADDRESS = "10.123.145.167:7000"
STREAM = StartedStream(compute_stream_key("9c41d07be2a35f68"), "assistant-large", "v1")
HOLDERS = 2
STREAMS = 1_000
KILLED_SHARES = (0.25, 0.4, 0.55, 0.7, 0.8, 0.9)
SEED = 1
BATCHES_PER_SECOND = 4
"""Messages a second if streams are collected for a quarter of a second."""


def encode(message: object) -> int:
    """Return the size of an encoded message, bytes."""
    codec = Codec(RouterId(HOST, create_incarnation()), ADDRESS)
    return len(codec.encode(message))


def print_traffic(size: TargetSize) -> None:
    """Print the bytes that a node sends a second for each way."""
    streams = size.requests_per_second / size.nodes
    notice = encode(StreamOriginNotice([STREAM]))
    record = encode(StreamOriginNotice([STREAM] * 2)) - notice
    table = Table("way", "messages/s", "bytes/s", title="sent by a node")
    everyone = size.nodes - 1
    table.add_row(
        "each stream to all routers, in their news",
        "none of its own",
        f"{streams * record * everyone:.0f}",
    )
    table.add_row(
        "each stream to two routers by its key",
        f"{streams * HOLDERS:.1f}",
        f"{streams * HOLDERS * notice:.0f}",
    )
    per_batch = notice + (streams / BATCHES_PER_SECOND - 1) * record
    table.add_row(
        "four batches a second to two fixed routers",
        f"{BATCHES_PER_SECOND * HOLDERS}",
        f"{BATCHES_PER_SECOND * HOLDERS * per_batch:.0f}",
    )
    Console(width=88).print(table)
    print(f"a notice: {notice} B, a further stream in it: {record} B")


def print_lookup(size: TargetSize) -> None:
    """Print the cost of choosing routers and of asking them."""
    domains = {
        f"router-{number}": f"domain-{number % size.domains}"
        for number in range(size.nodes)
    }
    choose = measure_time(
        lambda: choose_origin_holders(STREAM.key, "router-0", domains), 200
    )
    ask = measure_time(lambda: list_possible_holders(STREAM.key, domains), 200)
    asked = len(list_possible_holders(STREAM.key, domains))
    question = encode(StreamOriginRequest(STREAM.key))
    reply = encode(StreamOriginReply(STREAM.key, STREAM))
    print(f"choosing who remembers a stream: {choose * 1e6:.0f} us")
    print(f"choosing whom to ask: {ask * 1e6:.0f} us, {asked} routers")
    print(f"a question {question} B, a reply {reply} B, {asked} of each")


def compute_known_share(killed_share: float) -> float:
    """
    Return the share of the killed routers' streams that others remember.

    :param killed_share: share of the routers that are killed at once.
    """
    chance = random.Random(SEED)
    domains = {f"router-{number}": f"domain-{number % 5}" for number in range(66)}
    known = 0
    for number in range(STREAMS):
        killed = set(chance.sample(sorted(domains), round(killed_share * len(domains))))
        first = chance.choice(sorted(killed))
        key = compute_stream_key(f"stream-{number}")
        holders = set(choose_origin_holders(key, first, domains)) - killed
        known += bool(holders & set(list_possible_holders(key, domains)))
    return known / STREAMS


def print_losses() -> None:
    """Print how many streams are remembered after routers were killed."""
    table = Table("killed at once", "streams remembered")
    for share in KILLED_SHARES:
        table.add_row(f"{share:.0%}", f"{compute_known_share(share):.0%}")
    Console(width=88).print(table)


def main() -> None:
    """Print all tables."""
    print_traffic(TargetSize())
    print_lookup(TargetSize())
    print_losses()


if __name__ == "__main__":
    main()
