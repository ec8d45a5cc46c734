"""
Run seeds: ``python -m tests.soak --first 1 --count 50 --seconds 20``.

The logs of each seed that violated a guarantee are kept in their own folder.
"""

from __future__ import annotations

import asyncio
import shutil
import sys
from pathlib import Path
from typing import Annotated

import typer

from tests.soak.seed_run import run_seed


def play(
    first: Annotated[int, typer.Option(help="The first seed to run.")] = 1,
    count: Annotated[int, typer.Option(help="Number of seeds to run.")] = 1,
    seconds: Annotated[
        float, typer.Option(help="Seconds during which faults are injected.")
    ] = 20.0,
    folder: Annotated[
        Path, typer.Option(help="Folder for the logs of seeds with findings.")
    ] = Path(".soak"),
) -> None:
    """Run seeds one after the other; fail if one violated a guarantee."""
    broken = 0
    for seed in range(first, first + count):
        logs = folder / str(seed)
        shutil.rmtree(logs, ignore_errors=True)
        logs.mkdir(parents=True)
        outcome = asyncio.run(run_seed(seed, seconds, logs))
        print(
            f"seed {seed}: {len(outcome.findings)} findings,"
            f" {outcome.served} of {outcome.requests} requests served,"
            f" {outcome.faults} faults",
            flush=True,
        )
        for finding in outcome.findings:
            print(f"  {finding}", flush=True)
        if outcome.findings:
            broken += 1
        else:
            shutil.rmtree(logs)
    if broken:
        print(f"{broken} of {count} seeds broke a promise; logs in {folder}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    typer.run(play)
