"""``sycamorehavend``: one router as a process."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer
from absl import logging

from sycamorehaven.draining import Drain
from sycamorehaven.exceptions.startup import StartFailed
from sycamorehaven.exceptions.validation import SettingsError
from sycamorehaven.gateway import Gateway
from sycamorehaven.router import Router
from sycamorehaven.settings import RouterSettings
from sycamorehaven.telemetry.logs import configure_logging
from sycamorehaven.telemetry.tracing import Tracing

if TYPE_CHECKING:
    from sycamorehaven.gateway_settings import GatewaySettings

EXIT_REQUESTS_CUT_OFF = 1
"""Exit status if a forced or late end cut requests off."""
EXIT_START_FAILED = 1
"""Exit status if a listener cannot be opened."""
EXIT_INVALID_SETTINGS = 2
"""Exit status for wrong settings."""


SHUTDOWN_MARGIN_SECONDS = 0.6
"""Seconds of the grace period that are left for closing."""
SETTINGS_POLL_SECONDS = 1.0
"""Seconds between two looks at the file of the settings."""
GC_THRESHOLD_OBJECTS = 20_000
"""New objects after which garbage is collected; more than the default of
700 to spend less processor time."""
BALANCER_NOTICE_SECONDS = 2.6
"""Seconds in which the balancer finds out that the router is not ready."""


class StopSignals:
    """The first SIGTERM or SIGINT asks for an end, the second forces it."""

    def __init__(self) -> None:
        self.drain_requested = asyncio.Event()
        self.stop_forced = asyncio.Event()

    def install(self) -> None:
        """Take the signals from now on."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._handle_signal)

    def _handle_signal(self) -> None:
        if self.drain_requested.is_set():
            self.stop_forced.set()
        self.drain_requested.set()


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
    await signals.drain_requested.wait()
    logging.info("router %s drains", name)
    drain = Drain(router.board.lifecycle, router, settings.drain_timeout)
    whole = await drain.run(signals.stop_forced)
    await router.stop()
    await tracing.close()
    logging.info("router %s stopped", name)
    return 0 if whole else EXIT_REQUESTS_CUT_OFF


async def watch_settings(
    path: Path, gateway: Gateway, reload_requested: asyncio.Event
) -> None:
    """
    Reload the settings at SIGHUP and when their file has changed.

    :param hangup: set by SIGHUP.
    """
    text = path.read_bytes()
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(reload_requested.wait(), SETTINGS_POLL_SECONDS)
        asked = reload_requested.is_set()
        reload_requested.clear()
        try:
            newest = path.read_bytes()
            if newest == text and not asked:
                continue
            text = newest
            gateway.reload(RouterSettings.from_file(path))
        except (OSError, SettingsError) as error:
            logging.error("the settings are not reloaded: %s", error)


async def drain_gateway(
    router: Gateway, grace: float, notice: float, forced: asyncio.Event
) -> bool:
    """
    Drain a router of published routes.

    :param grace: seconds until the process has to end.
    :param notice: seconds in which the balancer finds out; requests are taken
        for as long, whether others are in progress or not.
    :param forced: set to end it at once.
    :returns: whether every request ended by itself.
    """
    timeout = max(grace - SHUTDOWN_MARGIN_SECONDS, SHUTDOWN_MARGIN_SECONDS)
    notice = min(notice, timeout)
    timer = asyncio.get_running_loop().call_later(notice, router.stop_accepting)
    drain = Drain(router.board.lifecycle, router, timeout, notice=notice)
    try:
        return await drain.run(forced)
    finally:
        timer.cancel()


async def run_gateway(
    path: Path, settings: RouterSettings, gateway: GatewaySettings
) -> int:
    """
    Run a router of published routes until SIGTERM or SIGINT, then drain it.

    :param path: file of the settings, followed for changes.
    :returns: exit status: 0, or ``EXIT_CUT`` if requests were cut off.
    """
    signals = StopSignals()
    signals.install()
    router = Gateway.from_settings(settings, gateway)
    router.decisions.record("starting", settings=gateway._asdict())
    await router.start()
    # What was made at the start stays; collections need not look at it.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS)
    router.decisions.record("started", identity=router.board.identity.format())
    hangup = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, hangup.set)
    following = asyncio.create_task(watch_settings(path, router, hangup))
    await signals.drain_requested.wait()
    following.cancel()
    in_progress = router.board.lifecycle.requests_in_progress
    router.decisions.record("draining", in_progress=in_progress, grace=gateway.grace)
    whole = await drain_gateway(
        router, gateway.grace, BALANCER_NOTICE_SECONDS, signals.stop_forced
    )
    await router.stop()
    router.decisions.record("stopped", cut=router.board.lifecycle.requests_in_progress)
    router.decisions.flush()
    return 0 if whole else EXIT_REQUESTS_CUT_OFF


def serve(
    settings: Annotated[Path, typer.Option(help="TOML file with the settings.")],
) -> None:
    """Run one router."""
    try:
        checked = RouterSettings.from_file(settings)
    except SettingsError as error:
        for fault in error.faults:
            print(fault.format(), file=sys.stderr)
        raise typer.Exit(EXIT_INVALID_SETTINGS) from error
    configure_logging(checked)
    if checked.gateway is not None:
        raise typer.Exit(asyncio.run(run_gateway(settings, checked, checked.gateway)))
    raise typer.Exit(asyncio.run(run_router(checked)))


def main() -> None:
    """Run the daemon's command line."""
    try:
        typer.run(serve)
    except StartFailed as error:
        logging.error("%s", error)
        sys.exit(EXIT_START_FAILED)


if __name__ == "__main__":
    main()
