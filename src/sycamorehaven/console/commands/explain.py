"""``sycamorehaven explain``: shows the log entries about one request."""

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
"""Log fields that are shown in separate columns."""
SUSPECT_EVENTS = frozenset({"suspect_blocked", "suspect_cleared", "suspect_tried"})
"""Log events about what is blamed for lost servers."""
STATEMENT_EVENTS = frozenset({"server_leaving", "server_limit", "server_rest"})
"""Log events about what servers say of themselves."""
CONTEXT_SECONDS = 5.0
"""Time before and after a request in which state changes are shown."""
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
        "server_leaving",
        "server_left",
        "server_limit",
        "server_rest",
        "server_unreadable",
        "started",
        "stopped",
    }
)
"""Log events by which a router reports a change of its state or of its view
of the fleet."""


def explain_request(
    request: Annotated[str, typer.Argument(help="Id of the request.")],
    logs: Annotated[
        list[Path] | None,
        typer.Argument(help="Log files of routers; standard input by default."),
    ] = None,
    json: JsonOption = False,
) -> None:
    """Show the decisions about a request, and state changes at that time."""
    entries = list(read_log_entries(logs or []))
    related_entries = find_related_entries(entries, request)
    if not related_entries:
        typer.echo(f"error: no line of these logs is about request {request}", err=True)
        raise typer.Exit(EXIT_FAILED)
    if json:
        print_json(related_entries)
        return
    start = related_entries[0]["time"]
    rows = [
        (
            f"{entry['time'] - start:+.3f}",
            entry["host"],
            entry["event"],
            ", ".join(f"{k}={v}" for k, v in entry.items() if k not in COLUMN_FIELDS),
        )
        for entry in related_entries
    ]
    print_table(f"Request {request}", ("s", "host", "event", "inputs, outcome"), rows)


def read_log_entries(logs: Iterable[Path]) -> Iterator[dict[str, Any]]:
    """Yield the entries of decision logs, skipping all other lines."""
    paths = list(logs)
    sources = [path.read_bytes().splitlines() for path in paths]
    if not paths:
        sources = [sys.stdin.buffer.read().splitlines()]
    for raw_line in (line for source in sources for line in source):
        try:
            # A log collector may have put a time or a name before the object.
            entry = msgspec.json.decode(raw_line[raw_line.find(b"{") :])
        except msgspec.DecodeError:
            continue
        if isinstance(entry, dict) and {"time", "host", "event"} <= set(entry):
            yield entry


def find_related_entries(
    entries: Iterable[dict[str, Any]], request: str
) -> list[dict[str, Any]]:
    """
    Return the log entries that concern a request, ordered by time.

    These are the entries with the id of the request, the state changes of the
    same routers within ``CONTEXT_SECONDS`` of them, at any time and router
    what is known of a suspect for which the request was refused, and at any
    time what servers last said of themselves that took no request.

    :param entries: entries of decision logs.
    :param request: id of the request.
    """
    all_entries = list(entries)
    request_entries = [
        entry for entry in all_entries if entry.get("request") == request
    ]
    if not request_entries:
        return []
    hosts = {entry["host"] for entry in request_entries}
    first = min(entry["time"] for entry in request_entries) - CONTEXT_SECONDS
    last = max(entry["time"] for entry in request_entries) + CONTEXT_SECONDS
    state_changes = [
        entry
        for entry in all_entries
        if entry["event"] in STATE_CHANGE_EVENTS
        and entry["host"] in hosts
        and first <= entry["time"] <= last
    ]
    suspects = {entry["suspect"] for entry in request_entries if "suspect" in entry}
    blames = [
        entry
        for entry in all_entries
        if entry["event"] in SUSPECT_EVENTS
        and entry.get("suspect") in suspects
        and entry.get("request") != request
    ]
    statements = _find_last_statements(all_entries, request_entries, state_changes)
    related = request_entries + state_changes + blames + statements
    return sorted(related, key=lambda entry: entry["time"])


def _find_last_statements(
    entries: Iterable[dict[str, Any]],
    request_entries: Iterable[dict[str, Any]],
    shown: Iterable[dict[str, Any]],
) -> list[dict[str, Any]]:
    """
    Return what closed servers said last before a request was refused.

    :param shown: entries that are shown anyway.
    """
    refusals = [entry for entry in request_entries if entry.get("closed_servers")]
    shown_entries = list(shown)
    last: dict[tuple[str, str, str], dict[str, Any]] = {}
    for entry in sorted(entries, key=lambda entry: entry["time"]):
        if entry["event"] in STATEMENT_EVENTS and any(
            entry["host"] == refusal["host"]
            and entry["time"] <= refusal["time"]
            and entry.get("server") in refusal["closed_servers"]
            for refusal in refusals
        ):
            last[entry["host"], entry["server"], entry["event"]] = entry
    return [entry for entry in last.values() if entry not in shown_entries]
