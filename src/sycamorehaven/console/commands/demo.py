"""``sycamorehaven demo``: runs a small fleet in one process."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, Annotated

import aiohttp
import typer

from sycamorehaven.console.commands.load import print_summary
from sycamorehaven.console.options import JsonOption
from sycamorehaven.console.output import EXIT_FAILED, print_json, report_errors
from sycamorehaven.demo.fleet import DemoFleet
from sycamorehaven.demo.guide import render_guide
from sycamorehaven.demo.plan import DemoPlan, find_free_addresses, list_fixed_addresses
from sycamorehaven.demo.scenario import DemoScenario

if TYPE_CHECKING:
    from sycamorehaven.demo.scenario import DemoResult

ServeOption = Annotated[
    bool, typer.Option("--serve", help="Keep running, and print commands to try.")
]


def run_demo(serve: ServeOption = False, json: JsonOption = False) -> None:
    """
    Run three routers with stand-in servers, and check their answers.

    One workspace floods the fleet while another sends a few questions. Then
    one booking is sent twice. The exit status is 1 if a check failed.
    """
    with report_errors():
        if serve:
            asyncio.run(serve_until_stopped())
            return
        result = asyncio.run(run_demo_scenario())
    if json:
        print_json(build_result_document(result))
    else:
        print_result(result)
    if result.faults:
        raise typer.Exit(EXIT_FAILED)


async def run_demo_scenario() -> DemoResult:
    """Run the demo's fleet and scenario, and return the result."""
    fleet = DemoFleet(DemoPlan.from_addresses(find_free_addresses()))
    async with fleet.run(), aiohttp.ClientSession() as http:
        return await DemoScenario(fleet, http).run()


async def serve_until_stopped() -> None:
    """Run the demo's fleet until SIGINT or SIGTERM."""
    stop = asyncio.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
    fleet = DemoFleet(DemoPlan.from_addresses(list_fixed_addresses()))
    async with fleet.run():
        typer.echo(render_guide(fleet.plan))
        typer.echo("Press Ctrl-C to stop the demo.")
        await stop.wait()
    typer.echo("demo stopped")


def build_result_document(result: DemoResult) -> dict[str, object]:
    """Return the JSON document of a result."""
    bookings = [
        {"status": answer.status, "body": answer.body.decode()}
        for answer in result.bookings
    ]
    return {**result._asdict(), "bookings": bookings}


def print_result(result: DemoResult) -> None:
    """Print a result for people."""
    print_summary(result.load, json=False)
    statuses = ", ".join(str(answer.status) for answer in result.bookings)
    typer.echo(
        "one booking sent through two routers with one idempotency token: "
        f"answered with {statuses}, run {result.runs} time(s)"
    )
    for fault in result.faults:
        typer.echo(f"fault: {fault}", err=True)
    typer.echo("demo failed" if result.faults else "demo passed")
