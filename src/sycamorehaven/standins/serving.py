"""Runs a stand-in's application in this process or as one of its own."""

from __future__ import annotations

import asyncio
import signal

from aiohttp import web

from sycamorehaven.settings import split_address


async def start_application(
    application: web.Application, address: str
) -> web.AppRunner:
    """Serve an application on ``ip:port``; the caller cleans the runner up."""
    runner = web.AppRunner(
        application, handler_cancellation=True, access_log=None, shutdown_timeout=1.0
    )
    await runner.setup()
    host, port = split_address(address)
    await web.TCPSite(runner, host, port, backlog=1024).start()
    return runner


async def _serve_until_stopped(application: web.Application, address: str) -> None:
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    runner = await start_application(application, address)
    await stop.wait()
    await runner.cleanup()


def run_application(application: web.Application, address: str) -> None:
    """Serve an application until SIGTERM."""
    asyncio.run(_serve_until_stopped(application, address))
