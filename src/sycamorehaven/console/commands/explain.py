"""``sycamorehaven explain``: what became of one request, from logs."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import msgspec
import typer

from sycamorehaven.console.options import JsonOption
from sycamorehaven.console.output import EXIT_FAILED, print_json, print_table

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

COLUMN_FIELDS = frozenset({"time", "host", "event", "request"})
"""Fields that have a column of their own."""
CONTEXT_SECONDS = 5.0
"""Seconds before and after a request in which changes of belief are shown."""
STATE_CHANGE_EVENTS = frozenset(
    {
        "configuration_in_force",
        "dependency_lost",
        "dependency_regained",
        "draining",
        "lines_left_out",
        "not_ready",
        "ready",
        "reloaded",
        "server_draining",
        "server_joined",
        "server_left",
        "started",
        "stopped",
    }
)
"""Events that change what a router believes."""


def explain_request(
    request: Annotated[str, typer.Argument(help="Id of the request.")],
    logs: Annotated[
        list[Path] | None,
        typer.Argument(help="Logs of routers, else standard input."),
    ] = None,
    json: JsonOption = False,
) -> None:
    """Show the decisions on a request and what routers learned meanwhile."""
    lines = list(read_log_entries(logs or []))
    story = find_related_entries(lines, request)
    if not story:
        typer.echo(f"error: no line of these logs is about request {request}", err=True)
        raise typer.Exit(EXIT_FAILED)
    if json:
        print_json(story)
        return
    start = story[0]["time"]
    rows = [
        (
            f"{line['time'] - start:+.3f}",
            line["host"],
            line["event"],
            ", ".join(f"{k}={v}" for k, v in line.items() if k not in COLUMN_FIELDS),
        )
        for line in story
    ]
    print_table(f"Request {request}", ("s", "host", "event", "inputs, outcome"), rows)


def read_log_entries(logs: Iterable[Path]) -> Iterator[dict[str, Any]]:
    """Yield the lines of a decision log; other lines are passed over."""
    paths = list(logs)
    sources = [path.read_bytes().splitlines() for path in paths]
    if not paths:
        sources = [sys.stdin.buffer.read().splitlines()]
    for raw in (line for source in sources for line in source):
        try:
            # A collector may have put a time or a name before the object.
            line = msgspec.json.decode(raw[raw.find(b"{") :])
        except msgspec.DecodeError:
            continue
        if isinstance(line, dict) and {"time", "host", "event"} <= set(line):
            yield line


def find_related_entries(
    lines: Iterable[dict[str, Any]], request: str
) -> list[dict[str, Any]]:
    """Return the lines about a request and around it, in their order."""
    known = list(lines)
    own = [line for line in known if line.get("request") == request]
    if not own:
        return []
    hosts = {line["host"] for line in own}
    first = min(line["time"] for line in own) - CONTEXT_SECONDS
    last = max(line["time"] for line in own) + CONTEXT_SECONDS
    beliefs = [
        line
        for line in known
        if line["event"] in STATE_CHANGE_EVENTS
        and line["host"] in hosts
        and first <= line["time"] <= last
    ]
    return sorted(own + beliefs, key=lambda line: line["time"])
