"""``sycamorehavend``: one router as a process."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from typing import Annotated

import typer
from absl import logging

from sycamorehaven.exceptions.faults import SettingsError
from sycamorehaven.router import Router
from sycamorehaven.settings import RouterSettings
from sycamorehaven.telemetry.logs import configure_logs
from sycamorehaven.telemetry.traces import Tracing

EXIT_USAGE = 2


async def run_router(settings: RouterSettings) -> None:
    """Run a router until SIGTERM or SIGINT, then drain it."""
    tracing = Tracing.from_settings(settings)
    tracing.install()
    router = Router.from_settings(settings, tracing.buffer)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await router.start()
    logging.info("router %s started", router.board.identity.format())
    await stop.wait()
    lifecycle = router.board.lifecycle
    lifecycle.begin_draining()
    while lifecycle.in_progress and await lifecycle.changed.wait(
        settings.drain_timeout
    ):
        pass
    await router.stop()
    await tracing.close()
    logging.info("router %s stopped", router.board.identity.format())


def serve(
    settings: Annotated[Path, typer.Option(help="TOML file with the settings.")],
) -> None:
    """Run one router."""
    try:
        checked = RouterSettings.from_file(settings)
    except SettingsError as error:
        for fault in error.faults:
            print(fault.format(), file=sys.stderr)
        raise typer.Exit(EXIT_USAGE) from error
    configure_logs(checked)
    asyncio.run(run_router(checked))


def main() -> None:
    """Run the daemon's command line."""
    typer.run(serve)


if __name__ == "__main__":
    main()
