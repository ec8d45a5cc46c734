"""``sycamorehavend``: runs one router as a process."""

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
from sycamorehaven.telemetry.accept_failures import AcceptFailureLog
from sycamorehaven.telemetry.logs import configure_logging
from sycamorehaven.telemetry.tracing import Tracing

if TYPE_CHECKING:
    from sycamorehaven.gateway_settings import GatewaySettings

EXIT_REQUESTS_CUT_OFF = 1
"""Exit status if a forced or timed-out shutdown cut off requests."""
EXIT_START_FAILED = 1
"""Exit status if the router cannot start."""
EXIT_INVALID_SETTINGS = 2
"""Exit status if the settings are invalid."""

SHUTDOWN_MARGIN_SECONDS = 0.6
"""Part of the grace period that is reserved for closing connections."""
SETTINGS_POLL_SECONDS = 1.0
"""Interval at which the settings file is read to detect changes."""
GC_THRESHOLD_OBJECTS = 20_000
"""Number of new objects that triggers a garbage collection; larger than the
default of 700 to spend less processor time."""
BALANCER_NOTICE_SECONDS = 2.6
"""Time in which the load balancer notices that the router is not ready."""


class StopSignals:
    """
    Handles SIGTERM and SIGINT.

    The first signal sets ``drain_requested``, the second ``stop_forced``.
    """

    def __init__(self) -> None:
        self.drain_requested = asyncio.Event()
        self.stop_forced = asyncio.Event()

    def install(self) -> None:
        """Install the signal handlers in the running event loop."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._handle_signal)

    def _handle_signal(self) -> None:
        if self.drain_requested.is_set():
            self.stop_forced.set()
        self.drain_requested.set()


async def run_router(settings: RouterSettings) -> int:
    """
    Run a router of the operators' configuration, and drain it when stopped.

    SIGTERM or SIGINT stops it.

    :return: exit status: 0, or ``EXIT_REQUESTS_CUT_OFF``.
    """
    stop_signals = StopSignals()
    stop_signals.install()
    AcceptFailureLog().install()
    tracing = Tracing.from_settings(settings)
    tracing.install()
    router = Router.from_settings(settings, tracing.buffer)
    await router.start()
    name = router.board.identity.format()
    logging.info("router %s started", name)
    await stop_signals.drain_requested.wait()
    logging.info("router %s is draining", name)
    drain = Drain(router.board.lifecycle, router, settings.drain_timeout)
    is_complete = await drain.run(stop_signals.stop_forced)
    await router.stop()
    await tracing.close()
    logging.info("router %s stopped", name)
    return 0 if is_complete else EXIT_REQUESTS_CUT_OFF


async def watch_settings(
    path: Path, gateway: Gateway, reload_requested: asyncio.Event
) -> None:
    """
    Reload the settings on SIGHUP and whenever their file has changed.

    If the file cannot be read or is invalid, the old settings stay in force.

    :param path: path of the settings file.
    :param gateway: the gateway to reconfigure.
    :param reload_requested: set by the handler of SIGHUP.
    """
    content = path.read_bytes()
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(reload_requested.wait(), SETTINGS_POLL_SECONDS)
        is_requested = reload_requested.is_set()
        reload_requested.clear()
        try:
            new_content = path.read_bytes()
            if new_content == content and not is_requested:
                continue
            content = new_content
            gateway.reload(RouterSettings.from_file(path))
        except (OSError, SettingsError) as error:
            logging.error("settings were not reloaded: %s", error)


async def drain_gateway(
    gateway: Gateway, grace: float, notice: float, forced: asyncio.Event
) -> bool:
    """
    Drain a gateway, a router that serves published routes.

    :param gateway: the gateway.
    :param grace: time until the process must end, in seconds.
    :param notice: time in which the load balancer notices that the router is
        not ready, in seconds. The router accepts requests for that long, even
        if none is in progress.
    :param forced: set to stop at once.
    :return: whether every request was completed.
    """
    timeout = max(grace - SHUTDOWN_MARGIN_SECONDS, SHUTDOWN_MARGIN_SECONDS)
    notice = min(notice, timeout)
    timer = asyncio.get_running_loop().call_later(notice, gateway.stop_accepting)
    drain = Drain(gateway.board.lifecycle, gateway, timeout, notice=notice)
    try:
        return await drain.run(forced)
    finally:
        timer.cancel()


async def run_gateway(
    path: Path, settings: RouterSettings, gateway_settings: GatewaySettings
) -> int:
    """
    Run a gateway until SIGTERM or SIGINT, then drain it.

    :param path: path of the settings file, which is watched for changes.
    :param settings: settings of the process.
    :param gateway_settings: the ``[gateway]`` table of the settings.
    :return: exit status: 0, or ``EXIT_REQUESTS_CUT_OFF``.
    """
    stop_signals = StopSignals()
    stop_signals.install()
    AcceptFailureLog().install()
    gateway = Gateway.from_settings(settings, gateway_settings)
    gateway.decision_log.record("starting", settings=gateway_settings._asdict())
    await gateway.start()
    # Objects created during startup live until the end, so the garbage
    # collector need not scan them.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS)
    gateway.decision_log.record("started", identity=gateway.board.identity.format())
    reload_requested = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload_requested.set)
    watcher = asyncio.create_task(watch_settings(path, gateway, reload_requested))
    await stop_signals.drain_requested.wait()
    watcher.cancel()
    in_progress = gateway.board.lifecycle.requests_in_progress
    gateway.decision_log.record(
        "draining", in_progress=in_progress, grace=gateway_settings.grace
    )
    is_complete = await drain_gateway(
        gateway,
        gateway_settings.grace,
        BALANCER_NOTICE_SECONDS,
        stop_signals.stop_forced,
    )
    await gateway.stop()
    gateway.decision_log.record(
        "stopped", cut=gateway.board.lifecycle.requests_in_progress
    )
    gateway.decision_log.flush()
    return 0 if is_complete else EXIT_REQUESTS_CUT_OFF


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
    if router_settings.gateway is not None:
        raise typer.Exit(
            asyncio.run(run_gateway(settings, router_settings, router_settings.gateway))
        )
    raise typer.Exit(asyncio.run(run_router(router_settings)))


def main() -> None:
    """Run the command line of the daemon."""
    try:
        typer.run(serve)
    except StartFailed as error:
        logging.error("%s", error)
        sys.exit(EXIT_START_FAILED)


if __name__ == "__main__":
    main()
