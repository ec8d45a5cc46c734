"""Serves the HTTP application of a stand-in."""

from __future__ import annotations

import asyncio
import signal

from aiohttp import web

from sycamorehaven.settings import split_address


async def start_application(
    application: web.Application, address: str
) -> web.AppRunner:
    """
    Start to serve an application in this process.

    :param address: ``ip:port`` to listen on.
    :return: the runner, which the caller must clean up.
    """
    runner = web.AppRunner(
        application, handler_cancellation=True, access_log=None, shutdown_timeout=1.0
    )
    await runner.setup()
    host, port = split_address(address)
    await web.TCPSite(runner, host, port, backlog=1024).start()
    return runner


async def _serve_until_stopped(application: web.Application, address: str) -> None:
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
    runner = await start_application(application, address)
    await stop.wait()
    await runner.cleanup()


def run_application(application: web.Application, address: str) -> None:
    """Serve an application until this process receives SIGTERM or SIGINT."""
    asyncio.run(_serve_until_stopped(application, address))
