"""Tests of ``sycamorehaven explain``, which reads decision logs."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

from typer.testing import CliRunner

from sycamorehaven.console.application import application
from tests.support.fixtures import fixture

if TYPE_CHECKING:
    from collections.abc import Iterator

LOG_ENTRIES = [
    {
        "time": 12.0,
        "host": "r1",
        "event": "request_ended",
        "request": "a",
        "status": 502,
    },
    {"time": 11.0, "host": "r1", "event": "placed", "request": "a", "server": "s1"},
    {"time": 11.2, "host": "r1", "event": "server_left", "server": "s1"},
    {"time": 11.2, "host": "r2", "event": "server_left", "server": "s1"},
    {"time": 90.0, "host": "r1", "event": "server_left", "server": "s2"},
    {"time": 11.1, "host": "r1", "event": "placed", "request": "b", "server": "s1"},
    {
        "time": 50.0,
        "host": "r1",
        "event": "quarantined",
        "request": "c",
        "suspect": "7",
    },
    {"time": 20.0, "host": "r2", "event": "suspect_blocked", "suspect": "7"},
    {"time": 20.0, "host": "r2", "event": "suspect_blocked", "suspect": "8"},
    {"time": 30.0, "host": "r1", "event": "server_limit", "server": "s3", "value": 5},
    {"time": 31.0, "host": "r1", "event": "server_limit", "server": "s3", "value": 4},
    {"time": 31.0, "host": "r2", "event": "server_limit", "server": "s3", "value": 4},
    {"time": 32.0, "host": "r1", "event": "server_rest", "server": "s4", "value": 2},
    {
        "time": 70.0,
        "host": "r1",
        "event": "turned_away",
        "request": "d",
        "closed_servers": ["s3"],
    },
]


@fixture
def log_file() -> Iterator[Path]:
    """Yield a decision log that also contains lines of other programs."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "log"
        text = "".join(f"collector: {json.dumps(entry)}\n" for entry in LOG_ENTRIES)
        path.write_text("not JSON {\n[1]\n" + text)
        yield path


def test_explain_shows_the_request_and_state_changes_at_its_router(
    log_file: Path,
) -> None:
    result = CliRunner().invoke(application, ["explain", "a", str(log_file), "--json"])
    entries = [(entry["event"], entry["host"]) for entry in json.loads(result.output)]
    assert entries == [("placed", "r1"), ("server_left", "r1"), ("request_ended", "r1")]


def test_explain_leads_from_a_refused_request_to_the_crashes_that_count(
    log_file: Path,
) -> None:
    result = CliRunner().invoke(application, ["explain", "c", str(log_file), "--json"])
    entries = [(entry["event"], entry["host"]) for entry in json.loads(result.output)]
    assert entries == [("suspect_blocked", "r2"), ("quarantined", "r1")]


def test_explain_leads_from_a_refused_request_to_what_servers_said(
    log_file: Path,
) -> None:
    result = CliRunner().invoke(application, ["explain", "d", str(log_file), "--json"])
    entries = [
        (entry["event"], entry["host"], entry["time"])
        for entry in json.loads(result.output)
    ]
    assert entries == [("server_limit", "r1", 31.0), ("turned_away", "r1", 70.0)]


def test_explain_reads_logs_from_standard_input(log_file: Path) -> None:
    result = CliRunner().invoke(
        application, ["explain", "b"], input=log_file.read_bytes()
    )
    assert result.exit_code == 0
    assert "placed" in result.output


def test_explain_rejects_an_unknown_request(log_file: Path) -> None:
    result = CliRunner().invoke(application, ["explain", "z", str(log_file)])
    assert result.exit_code == 1
    assert "no line of these logs is about request z" in result.output
