"""Runs a router of the operators' configuration as a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from sycamorehaven.draining import EXIT_REQUESTS_CUT_OFF, Drain
from sycamorehaven.router import Router
from sycamorehaven.stop_signals import StopSignals
from sycamorehaven.telemetry.accept_failures import AcceptFailureLog
from sycamorehaven.telemetry.tracing import Tracing

if TYPE_CHECKING:
    from sycamorehaven.settings import RouterSettings


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
