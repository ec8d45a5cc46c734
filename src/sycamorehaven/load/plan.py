"""What a load run sends: targets, bounds and a mix of workloads."""

from __future__ import annotations

import os
import tomllib
from typing import (
    TYPE_CHECKING,
    Annotated,
    Any,
    Literal,
    NamedTuple,
    NotRequired,
    TypedDict,
)

from msgspec import Meta

from sycamorehaven.exceptions.load_generator import LoadPlanError
from sycamorehaven.exceptions.validation import ValidationFault
from sycamorehaven.settings import Name, Url
from sycamorehaven.table_validation import convert_table, find_unknown_keys

if TYPE_CHECKING:
    from pathlib import Path

DEFAULT_TARGET = "http://127.0.0.1:7100"
DEFAULT_DURATION_SECONDS = 10.0
"""Seconds in which requests are started."""
MAX_DURATION_SECONDS = 3_600.0
DEFAULT_REQUESTS = 10_000
"""Requests after which a run ends, whatever its duration."""
MAX_REQUESTS = 1_000_000
DEFAULT_TIMEOUT_SECONDS = 60.0
"""Seconds after which the generator gives a request up."""

WorkloadKind = Literal["question", "booking", "lookup"]
DEFAULT_ENDPOINTS: dict[str, tuple[str, str]] = {
    "question": ("assistant", "/v1/completions"),
    "booking": ("bookings", "/bookings"),
    "lookup": ("bookings", "/bookings"),
}
"""Service and path of each kind of workload, unless the plan names others."""


class LoadTable(TypedDict):
    """The ``[load]`` table: targets and bounds."""

    targets: NotRequired[list[Url]]
    duration: NotRequired[Annotated[float, Meta(gt=0, le=MAX_DURATION_SECONDS)]]
    requests: NotRequired[Annotated[int, Meta(ge=1, le=MAX_REQUESTS)]]
    seed: NotRequired[int]
    timeout: NotRequired[Annotated[float, Meta(gt=0, le=MAX_DURATION_SECONDS)]]


class WorkloadTable(TypedDict):
    """
    A ``[[workloads]]`` table.

    ``rate`` is in requests per second, ``tokens`` the least and the most
    tokens of an answer, ``prompt`` the least and most characters of a prompt.
    ``key_variable`` names an environment variable that holds the key.
    """

    workspace: Name
    rate: Annotated[float, Meta(gt=0, le=100_000)]
    key: NotRequired[str]
    key_variable: NotRequired[str]
    kind: NotRequired[WorkloadKind]
    service: NotRequired[Name]
    path: NotRequired[str]
    priority: NotRequired[Literal["interactive", "batch"]]
    tokens: NotRequired[tuple[int, int]]
    prompt: NotRequired[tuple[int, int]]


class Workload(NamedTuple):
    """
    Requests of one kind from one workspace.

    :ivar workspace: name for the report.
    :ivar key: its bearer key.
    :ivar kind: ``"question"``, ``"booking"`` or ``"lookup"``.
    :ivar service: the service.
    :ivar path: path below the service.
    :ivar rate: requests per second.
    :ivar priority: ``"interactive"`` or ``"batch"``.
    :ivar tokens: least and most tokens of an answer.
    :ivar prompt: least and most characters of a prompt.
    """

    workspace: str
    key: str
    kind: str
    service: str
    path: str
    rate: float
    priority: str = "interactive"
    tokens: tuple[int, int] = (16, 16)
    prompt: tuple[int, int] = (64, 64)


class LoadPlan(NamedTuple):
    """
    A run.

    :ivar workloads: the mix.
    :ivar targets: base URLs of routers, taken in turn at random.
    :ivar duration: seconds in which requests are started.
    :ivar requests: requests after which the run ends.
    :ivar seed: of the arrivals, sizes and targets.
    :ivar timeout: seconds after which a request is given up.
    """

    workloads: tuple[Workload, ...]
    targets: tuple[str, ...] = (DEFAULT_TARGET,)
    duration: float = DEFAULT_DURATION_SECONDS
    requests: int = DEFAULT_REQUESTS
    seed: int = 1
    timeout: float = DEFAULT_TIMEOUT_SECONDS

    @classmethod
    def from_file(cls, path: Path) -> LoadPlan:
        """
        Read and check a TOML plan.

        :raises LoadPlanError: with every fault found.
        """
        try:
            document = tomllib.loads(path.read_bytes().decode())
        except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
            fault = ValidationFault(
                str(path), "unreadable", str(error), "name a TOML file"
            )
            raise LoadPlanError([fault]) from error
        return cls.from_document(document)

    @classmethod
    def from_document(cls, document: dict[str, Any]) -> LoadPlan:
        """
        Check a parsed plan.

        :raises LoadPlanError: with every fault found.
        """
        faults = find_unknown_keys("", document, {"load", "workloads"})
        load = convert_table("load", document.get("load", {}), LoadTable)
        workloads = _convert_workloads(document.get("workloads"), faults)
        if isinstance(load, list):
            raise LoadPlanError(faults + load)
        if faults:
            raise LoadPlanError(faults)
        return cls(
            workloads=tuple(workloads),
            targets=tuple(load.get("targets", [DEFAULT_TARGET])),
            duration=load.get("duration", DEFAULT_DURATION_SECONDS),
            requests=load.get("requests", DEFAULT_REQUESTS),
            seed=load.get("seed", 1),
            timeout=load.get("timeout", DEFAULT_TIMEOUT_SECONDS),
        )


def _convert_workloads(tables: object, faults: list[ValidationFault]) -> list[Workload]:
    if not isinstance(tables, list) or not tables:
        fault = ValidationFault(
            "workloads", "no_workload", "none is listed", "add [[workloads]]"
        )
        faults.append(fault)
        return []
    workloads = []
    for index, table in enumerate(tables):
        path = f"workloads[{index}]"
        row = convert_table(path, table, WorkloadTable)
        if isinstance(row, list):
            faults.extend(row)
            continue
        faults += _check_ranges(path, row)
        workloads.append(_build_workload(path, row, faults))
    return workloads


def _check_ranges(path: str, row: WorkloadTable) -> list[ValidationFault]:
    ranges = {"tokens": row.get("tokens", (1, 1)), "prompt": row.get("prompt", (1, 1))}
    return [
        ValidationFault(
            f"{path}.{key}", "wrong_range", f"{pair}", "write [least, most], from 1"
        )
        for key, pair in ranges.items()
        if not 1 <= pair[0] <= pair[1]
    ]


def _build_workload(
    path: str, row: WorkloadTable, faults: list[ValidationFault]
) -> Workload:
    kind = row.get("kind", "question")
    service, below = DEFAULT_ENDPOINTS[kind]
    key = row.get("key") or os.environ.get(row.get("key_variable", ""), "")
    if not key:
        faults.append(
            ValidationFault(
                f"{path}.key",
                "no_key",
                "the workspace's key is missing",
                "set key, or key_variable to a variable that holds it",
            )
        )
    return Workload(
        workspace=row["workspace"],
        key=key,
        kind=kind,
        service=row.get("service", service),
        path=row.get("path", below),
        rate=row["rate"],
        priority=row.get("priority", "interactive"),
        tokens=row.get("tokens", (16, 16)),
        prompt=row.get("prompt", (64, 64)),
    )
