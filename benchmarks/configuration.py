"""
Bytes and processor time that a configuration change costs a router.

``python -m benchmarks.configuration`` prints a row for each size of the
configuration text.
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
"""Numbers of workspaces, servers and services in the configuration texts."""


class ChangeCost(NamedTuple):
    """
    Cost of one configuration change for a router.

    :ivar text: size of the configuration text, in bytes.
    :ivar whole: size of a reply that holds the whole text, in bytes.
    :ivar delta: size of a reply that holds the difference, in bytes.
    :ivar notice: size of the notice of a new version, in bytes.
    :ivar request: size of the request for a version, in bytes.
    :ivar cold: processor seconds to accept a text whose tables are all new.
    :ivar warm: processor seconds to accept the text after one table changed.
    :ivar delta_time: processor seconds to compute and apply the difference,
        without the time to digest the old text.
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
    """Return the shortest processor time of several runs, in seconds."""
    times = []
    for _ in range(repeats):
        started = time.process_time()
        action()
        times.append(time.process_time() - started)
    return min(times)


def measure_change(workspaces: int, servers: int, services: int) -> ChangeCost:
    """Return the cost of changing the weight of one workspace."""
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
    """Print the cost for each size of the configuration."""
    print(" ".join(ChangeCost._fields))
    for size in SIZES:
        cost = measure_change(*size)
        bytes_row = " ".join(str(value) for value in cost[:5])
        times = " ".join(f"{value * 1_000:.1f} ms" for value in cost[5:])
        print(bytes_row, times)


if __name__ == "__main__":
    main()
