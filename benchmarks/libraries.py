"""
Resident memory that each library adds: ``python -m benchmarks.libraries``.

The order of imports matters: a dependency that two libraries share is counted
for the one that is imported first.
"""

from __future__ import annotations

import importlib
import json

import psutil  # type: ignore[import-untyped]

LIBRARIES = (
    "msgspec",
    "aiohttp.web",
    "zmq.asyncio",
    "prometheus_client",
    "absl.logging",
    "opentelemetry.sdk.trace",
    "typer",
    "sycamorehaven.daemon",
)


def main() -> None:
    """Import the libraries in turn and print the growth in megabytes."""
    process = psutil.Process()
    sizes = {"interpreter": process.memory_info().rss / 1e6}
    for name in LIBRARIES:
        before = process.memory_info().rss
        importlib.import_module(name)
        sizes[name] = (process.memory_info().rss - before) / 1e6
    sizes["all"] = process.memory_info().rss / 1e6
    print(json.dumps({name: round(size, 1) for name, size in sizes.items()}))


if __name__ == "__main__":
    main()
