"""``sycamorehaven replay``: simulates overloaded model engines."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import typer

from sycamorehaven.console.options import JsonOption
from sycamorehaven.console.output import EXIT_INVALID, print_json, print_table
from sycamorehaven.replay.overload import (
    EnabledMechanisms,
    ReplayLoad,
    ReplayOutcome,
    run_replay,
)

BAR_WIDTH_CHARACTERS = 30
"""Width of the longest bar in the table."""
MAX_REPLAY_SECONDS = 600.0
"""Maximum duration of the load."""
MAX_REQUESTS_PER_SECOND = 1_000.0
"""Maximum rate of the load."""

RateOption = Annotated[
    float,
    typer.Option(min=0.1, max=MAX_REQUESTS_PER_SECOND, help="Requests per second."),
]
SecondsOption = Annotated[
    float,
    typer.Option(
        min=1.0, max=MAX_REPLAY_SECONDS, help="Duration of the load in seconds."
    ),
]
SubjectsOption = Annotated[
    int, typer.Option(min=1, help="Number of shared prompt prefixes.")
]
SeedOption = Annotated[int, typer.Option(help="Seed of arrivals and sizes.")]
WithoutOption = Annotated[
    list[str] | None,
    typer.Option(help="Mechanism to disable in every row; may be repeated."),
]


class ReplayRow(NamedTuple):
    """
    A simulation run in the table of results.

    :ivar disabled_mechanisms: names of the disabled mechanisms, or "nothing".
    :ivar outcome: results of the run.
    """

    disabled_mechanisms: str
    outcome: ReplayOutcome


def replay_overload(
    rate: RateOption = 80.0,
    seconds: SecondsOption = 12.0,
    subjects: SubjectsOption = 110,
    seed: SeedOption = 1,
    without: WithoutOption = None,
    json: JsonOption = False,
) -> None:
    """Simulate overload with all mechanisms, and with each one disabled."""
    disabled = without or []
    for name in disabled:
        if name not in EnabledMechanisms._fields:
            known = ", ".join(EnabledMechanisms._fields)
            typer.echo(
                f'error: mechanism "{name}" does not exist; the mechanisms are {known}',
                err=True,
            )
            raise typer.Exit(EXIT_INVALID)
    load = ReplayLoad(rate, seconds, subjects, seed)
    base_mechanisms = EnabledMechanisms()._replace(**dict.fromkeys(disabled, False))
    rows = [
        ReplayRow(
            "nothing" if not disabled else ", ".join(disabled),
            run_replay(base_mechanisms, load),
        )
    ]
    for name in EnabledMechanisms._fields:
        if getattr(base_mechanisms, name):
            mechanisms = base_mechanisms._replace(**{name: False})
            rows.append(ReplayRow(name, run_replay(mechanisms, load)))
    if json:
        print_json(
            [
                {"without": row.disabled_mechanisms, **row.outcome._asdict()}
                for row in rows
            ]
        )
        return
    print_table(
        f"{rate:g} requests per second for {seconds:g} s",
        ("without", "asked", "on time", "late", "tokens read", "on time"),
        [
            (
                row.disabled_mechanisms,
                str(row.outcome.asked),
                str(row.outcome.on_time),
                str(row.outcome.late),
                f"{row.outcome.read:,}",
                _draw_bar(row.outcome),
            )
            for row in rows
        ],
    )


def _draw_bar(outcome: ReplayOutcome) -> str:
    return "█" * round(BAR_WIDTH_CHARACTERS * outcome.on_time / max(outcome.asked, 1))
