"""
Bytes and processor time of a change of the configuration.

``python -m benchmarks.configuration`` prints a row for each size of text.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.configuration.acceptance import accept_text
from sycamorehaven.configuration.delta import (
    apply_delta,
    decode_delta,
    digest_blocks,
)
from sycamorehaven.configuration.history import ConfigurationHistory
from sycamorehaven.identity import RouterId
from sycamorehaven.transport.codec import Codec
from sycamorehaven.transport.messages.configuration import (
    ConfigurationNotice,
    ConfigurationRequest,
)
from tests.support.large_configurations import (
    build_large_configuration,
    build_workspace_table,
)

if TYPE_CHECKING:
    from collections.abc import Callable

REPEATS = 5
SIZES = ((16, 9, 2), (350, 200, 17), (1_400, 800, 17))
"""Workspaces, servers and services of the texts."""


class ChangeCost(NamedTuple):
    """
    What one change costs a router.

    :ivar text: size of the text, bytes.
    :ivar whole: a reply with the whole text, bytes.
    :ivar delta: a reply with the difference, bytes.
    :ivar notice: a notice, bytes.
    :ivar request: a request, bytes.
    :ivar cold: processor seconds to accept a text whose tables are all new.
    :ivar warm: processor seconds to accept it after one change.
    :ivar delta_time: processor seconds to digest, apply and make a difference.
    """

    text: int
    whole: int
    delta: int
    notice: int
    request: int
    cold: float
    warm: float
    delta_time: float


def measure_time(action: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the least processor time of an action, seconds."""
    times = []
    for _ in range(repeats):
        started = time.process_time()
        action()
        times.append(time.process_time() - started)
    return min(times)


def measure_change(workspaces: int, servers: int, services: int) -> ChangeCost:
    """Return what a change of one workspace's weight costs."""
    text = build_large_configuration(workspaces, servers, services)
    changed = text.replace(build_workspace_table(7), build_workspace_table(7, 2.0))
    cold = measure_time(lambda: accept_text(text.encode(), 1), repeats=1)
    old, new = accept_text(text.encode(), 1), accept_text(changed.encode(), 2)
    history = ConfigurationHistory()
    history.add(old)
    history.add(new)
    whole = history.build_reply(new, "")
    delta = history.build_reply(new, old.digest)

    def exchange_delta() -> None:
        fresh = ConfigurationHistory()
        fresh.add(old)
        fresh.add(new)
        fresh.build_reply(new, old.digest)
        apply_delta(text, decode_delta(delta.compressed))

    codec = Codec(RouterId("router-123", 1 << 60), "10.0.0.1:7000")
    return ChangeCost(
        len(text.encode()),
        len(codec.encode(whole)),
        len(codec.encode(delta)),
        len(codec.encode(ConfigurationNotice(*new.version))),
        len(codec.encode(ConfigurationRequest(*old.version, False))),
        cold,
        measure_time(lambda: accept_text(changed.encode(), 2)),
        measure_time(exchange_delta) - measure_time(lambda: digest_blocks(text)),
    )


def main() -> None:
    """Print a row for each size."""
    print(" ".join(ChangeCost._fields))
    for size in SIZES:
        cost = measure_change(*size)
        bytes_row = " ".join(str(value) for value in cost[:5])
        times = " ".join(f"{value * 1_000:.1f} ms" for value in cost[5:])
        print(bytes_row, times)


if __name__ == "__main__":
    main()
