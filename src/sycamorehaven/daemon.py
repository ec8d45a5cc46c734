"""``sycamorehavend``: one router as a process."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from typing import Annotated

import typer
from absl import logging

from sycamorehaven.draining import Drain
from sycamorehaven.exceptions.faults import SettingsError
from sycamorehaven.exceptions.starting import StartFailed
from sycamorehaven.router import Router
from sycamorehaven.settings import RouterSettings
from sycamorehaven.telemetry.logs import configure_logs
from sycamorehaven.telemetry.traces import Tracing

EXIT_CUT = 1
"""Exit status if a forced or late end cut requests off."""
EXIT_START = 1
"""Exit status if a listener cannot be opened."""
EXIT_USAGE = 2
"""Exit status for wrong settings."""


class StopSignals:
    """The first SIGTERM or SIGINT asks for an end, the second forces it."""

    def __init__(self) -> None:
        self.asked = asyncio.Event()
        self.forced = asyncio.Event()

    def install(self) -> None:
        """Take the signals from now on."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._take)

    def _take(self) -> None:
        if self.asked.is_set():
            self.forced.set()
        self.asked.set()


async def run_router(settings: RouterSettings) -> int:
    """
    Run a router until SIGTERM or SIGINT, then drain it.

    :returns: exit status: 0, or ``EXIT_CUT`` if requests were cut off.
    """
    signals = StopSignals()
    signals.install()
    tracing = Tracing.from_settings(settings)
    tracing.install()
    router = Router.from_settings(settings, tracing.buffer)
    await router.start()
    name = router.board.identity.format()
    logging.info("router %s started", name)
    await signals.asked.wait()
    logging.info("router %s drains", name)
    drain = Drain(router.board.lifecycle, router, settings.drain_timeout)
    whole = await drain.run(signals.forced)
    await router.stop()
    await tracing.close()
    logging.info("router %s stopped", name)
    return 0 if whole else EXIT_CUT


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
    raise typer.Exit(asyncio.run(run_router(checked)))


def main() -> None:
    """Run the daemon's command line."""
    try:
        typer.run(serve)
    except StartFailed as error:
        logging.error("%s", error)
        sys.exit(EXIT_START)


if __name__ == "__main__":
    main()
