"""Runs a gateway as a process."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import signal
from typing import TYPE_CHECKING

from absl import logging

from sycamorehaven.draining import EXIT_REQUESTS_CUT_OFF, Drain
from sycamorehaven.exceptions.validation import SettingsError
from sycamorehaven.gateway import Gateway
from sycamorehaven.settings import RouterSettings
from sycamorehaven.stop_signals import StopSignals
from sycamorehaven.telemetry.accept_failures import AcceptFailureLog

if TYPE_CHECKING:
    from pathlib import Path

    from sycamorehaven.gateway_settings import GatewaySettings

SHUTDOWN_MARGIN_SECONDS = 0.6
"""Part of the grace period that is reserved for closing connections."""
SETTINGS_POLL_SECONDS = 1.0
"""Interval at which the settings file is read to detect changes."""
GC_THRESHOLD_OBJECTS = 20_000
"""Number of new objects that triggers a garbage collection; larger than the
default of 700 to spend less processor time."""
BALANCER_NOTICE_SECONDS = 2.6
"""Time in which the load balancer notices that the router is not ready."""
FIRST_START_VARIABLE = "SYCAMOREHAVEN_FIRST_START"
"""Environment variable that is ``true`` when the whole fleet starts for the
first time."""


async def watch_settings(
    path: Path,
    gateway: Gateway,
    reload_requested: asyncio.Event,
    settings: RouterSettings,
) -> None:
    """
    Reload the settings on SIGHUP and whenever their file has changed.

    If the file cannot be read or is invalid, the old settings stay in force.

    :param path: path of the settings file.
    :param gateway: the gateway to reconfigure.
    :param reload_requested: set by the handler of SIGHUP.
    :param settings: the settings in force. The file may have changed since
        they were read.
    """
    content = b""
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
            new_settings = RouterSettings.from_file(path)
            if new_settings != settings or is_requested:
                settings = new_settings
                gateway.reload(settings)
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


def create_gateway(
    settings: RouterSettings, gateway_settings: GatewaySettings
) -> Gateway:
    """Create a gateway that knows whether the fleet has run before."""
    gateway = Gateway.from_settings(settings, gateway_settings)
    is_first_start = os.environ.get(FIRST_START_VARIABLE) == "true"
    if is_first_start:
        gateway.board.routing.software_versions.assume_first_start()
    gateway.decision_log.record(
        "starting", settings=gateway_settings._asdict(), first_start=is_first_start
    )
    return gateway


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
    reload_requested = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload_requested.set)
    AcceptFailureLog().install()
    gateway = create_gateway(settings, gateway_settings)
    await gateway.start()
    # Objects created during startup live until the end, so the garbage
    # collector need not scan them.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS)
    gateway.decision_log.record("started", identity=gateway.board.identity.format())
    watcher = asyncio.create_task(
        watch_settings(path, gateway, reload_requested, settings)
    )
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
