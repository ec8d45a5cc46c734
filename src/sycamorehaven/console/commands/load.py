"""``sycamorehaven load``: generates load and prints the results."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer
from rich.console import Console
from rich.progress import Progress

from sycamorehaven.console.options import JsonOption
from sycamorehaven.console.output import (
    EXIT_INVALID,
    print_json,
    print_table,
    report_errors,
)
from sycamorehaven.exceptions.load_generator import LoadPlanError, NothingAnswered
from sycamorehaven.load.arrivals import draw_arrivals
from sycamorehaven.load.driver import LoadDriver
from sycamorehaven.load.plan import (
    DEFAULT_TARGET,
    MAX_DURATION_SECONDS,
    MAX_REQUESTS,
    LoadPlan,
)

if TYPE_CHECKING:
    from sycamorehaven.load.summary import (
        LatencyDocument,
        LoadSummary,
        SummaryDocument,
        WorkloadDocument,
    )

COLUMNS = (
    "workspace",
    "kind",
    "class",
    "sent",
    "answered",
    "tokens",
    "share",
    "first byte ms\np50 / p95 / p99",
    "total ms\np50 / p95 / p99",
    "refusals",
)
"""Column headings of the table of results."""

PlanOption = Annotated[
    Path | None, typer.Option("--plan", help="TOML file with the load plan.")
]
TargetOption = Annotated[
    list[str] | None,
    typer.Option("--target", help="Base URL of a router; may be repeated."),
]
CallerKeyOption = Annotated[
    str, typer.Option("--key", envvar="SYCAMOREHAVEN_KEY", help="Key of the workspace.")
]
RateOption = Annotated[float, typer.Option(min=0.01, help="Requests per second.")]
KindOption = Annotated[str, typer.Option(help="question, booking or lookup.")]
TokensOption = Annotated[int, typer.Option(min=1, help="Tokens per answer.")]
DurationOption = Annotated[
    float | None,
    typer.Option(min=0.1, max=MAX_DURATION_SECONDS, help="Duration in seconds."),
]
RequestsOption = Annotated[
    int | None,
    typer.Option(min=1, max=MAX_REQUESTS, help="Maximum number of requests."),
]
SeedOption = Annotated[int | None, typer.Option(help="Seed of arrivals and sizes.")]


def drive_load(
    plan: PlanOption = None,
    target: TargetOption = None,
    key: CallerKeyOption = "",
    rate: RateOption = 10.0,
    kind: KindOption = "question",
    tokens: TokensOption = 16,
    duration: DurationOption = None,
    requests: RequestsOption = None,
    seed: SeedOption = None,
    json: JsonOption = False,
) -> None:
    """
    Send requests at given rates, and print the results.

    Requests start on time, even while earlier ones are unanswered. A load plan
    lists the workloads; without one, the options describe a single workload.
    The options for targets, duration, requests and seed override the plan.
    """
    workload: dict[str, object] = {
        "workspace": "caller",
        "rate": rate,
        "kind": kind,
        "key": key,
    }
    workload["tokens"] = [tokens, tokens]
    document: dict[str, object] = {"workloads": [workload]}
    load_plan = _load_plan_or_exit(plan, document)
    load_plan = load_plan._replace(
        duration=load_plan.duration if duration is None else duration,
        requests=load_plan.requests if requests is None else requests,
        seed=load_plan.seed if seed is None else seed,
    )
    if target or plan is None:
        targets = tuple(url.rstrip("/") for url in target or [DEFAULT_TARGET])
        load_plan = load_plan._replace(targets=targets)
    with report_errors():
        summary = run_with_progress(load_plan)
        print_summary(summary.build_document(), json=json)
        if not summary.answered:
            raise NothingAnswered("no request was answered completely")


def run_with_progress(plan: LoadPlan) -> LoadSummary:
    """Run a plan and show a progress bar on standard error."""
    total = sum(1 for _ in draw_arrivals(plan))
    with Progress(console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task("load", total=total)
        driver = LoadDriver(plan, lambda count: progress.update(task, completed=count))
        return asyncio.run(driver.run())


def print_summary(document: SummaryDocument, *, json: bool) -> None:
    """Print the results of a run."""
    if json:
        print_json(document)
        return
    title = (
        f"{document['answered']} of {document['sent']} answered in "
        f"{document['elapsed']:.1f} s, {document['not_sent']} not sent, "
        f"seed {document['seed']}"
    )
    print_table(
        title, COLUMNS, [_build_table_row(row) for row in document["workloads"]]
    )


def _load_plan_or_exit(path: Path | None, document: dict[str, object]) -> LoadPlan:
    try:
        return LoadPlan.from_file(path) if path else LoadPlan.from_document(document)
    except LoadPlanError as error:
        for fault in error.faults:
            typer.echo(fault.format(), err=True)
        raise typer.Exit(EXIT_INVALID) from error


def _build_table_row(row: WorkloadDocument) -> tuple[object, ...]:
    refusals = ", ".join(f"{code}: {count}" for code, count in row["refusals"].items())
    return (
        row["workspace"],
        row["kind"],
        row["priority"],
        row["sent"],
        row["answered"],
        row["tokens"],
        f"{row['share']:.1%}",
        format_latencies(row["first_byte"]),
        format_latencies(row["total"]),
        refusals or "none",
    )


def format_latencies(latencies: LatencyDocument) -> str:
    """Format the percentiles of a latency in milliseconds."""
    values = (latencies["p50"], latencies["p95"], latencies["p99"])
    return " / ".join(f"{value * 1_000:.0f}" for value in values)
