"""
The command line of ``sycamorehavend``, which runs one router as a process.

The two kinds of router share few modules. Each imports its own only when it
is started, because the import takes a large part of the time until the router
is ready.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Annotated

import typer
from absl import logging

from sycamorehaven.exceptions.startup import StartFailed
from sycamorehaven.exceptions.validation import SettingsError
from sycamorehaven.settings import RouterSettings
from sycamorehaven.telemetry.logs import configure_logging
from sycamorehaven.transport.metered_loop import MeteredEventLoop

EXIT_START_FAILED = 1
"""Exit status if the router cannot start."""
EXIT_INVALID_SETTINGS = 2
"""Exit status if the settings are invalid."""


async def run(path: Path, settings: RouterSettings) -> int:
    """
    Run the router that the settings describe and return its exit status.

    :param path: path of the settings file.
    """
    if settings.gateway is not None:
        from sycamorehaven.gateway_process import run_gateway

        return await run_gateway(path, settings, settings.gateway)
    from sycamorehaven.router_process import run_router

    return await run_router(settings)


def serve(
    settings: Annotated[Path, typer.Option(help="TOML file with the settings.")],
) -> None:
    """Run one router."""
    try:
        router_settings = RouterSettings.from_file(settings)
    except SettingsError as error:
        for fault in error.faults:
            print(fault.format(), file=sys.stderr)
        raise typer.Exit(EXIT_INVALID_SETTINGS) from error
    configure_logging(router_settings)
    with asyncio.Runner(loop_factory=MeteredEventLoop) as runner:
        status = runner.run(run(settings, router_settings))
    raise typer.Exit(status)


def main() -> None:
    """Run the command line of the daemon."""
    try:
        typer.run(serve)
    except StartFailed as error:
        logging.error("%s", error)
        sys.exit(EXIT_START_FAILED)
