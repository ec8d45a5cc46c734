"""Tests of ``sycamorehaven replay``, which simulates overload."""

from __future__ import annotations

import json

from typer.testing import CliRunner

from sycamorehaven.console.application import application
from sycamorehaven.replay.overload import EnabledMechanisms

SHORT_REPLAY = ["replay", "--rate", "80", "--seconds", "3"]


def test_each_mechanism_is_disabled_once() -> None:
    result = CliRunner().invoke(application, [*SHORT_REPLAY, "--json"])
    assert result.exit_code == 0
    rows = json.loads(result.stdout)
    assert [row["without"] for row in rows] == ["nothing", *EnabledMechanisms._fields]
    assert len({row["asked"] for row in rows}) == 1
    assert rows[0]["on_time"] > rows[1]["on_time"]


def test_same_seed_gives_the_same_table() -> None:
    tables = {CliRunner().invoke(application, SHORT_REPLAY).stdout for _ in range(2)}
    assert len(tables) == 1


def test_unknown_mechanism_is_rejected() -> None:
    result = CliRunner().invoke(application, [*SHORT_REPLAY, "--without", "luck"])
    assert result.exit_code != 0
    assert 'mechanism "luck" does not exist' in result.output
