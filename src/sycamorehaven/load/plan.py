"""Load plans, which define the targets, limits and workloads of a load run."""

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
"""Base URL of the router that receives requests by default."""
DEFAULT_DURATION_SECONDS = 10.0
"""Default period in which requests are started."""
MAX_DURATION_SECONDS = 3_600.0
"""Maximum duration and maximum timeout of a plan."""
DEFAULT_REQUESTS = 10_000
"""Default number of requests after which a run ends early."""
MAX_REQUESTS = 1_000_000
"""Maximum number of requests of a plan."""
DEFAULT_TIMEOUT_SECONDS = 60.0
"""Default time after which a request is cancelled."""

WorkloadKind = Literal["question", "booking", "lookup"]
"""Kind of the requests of a workload."""
DEFAULT_ENDPOINTS: dict[str, tuple[str, str]] = {
    "question": ("assistant", "/v1/completions"),
    "booking": ("bookings", "/bookings"),
    "lookup": ("bookings", "/bookings"),
}
"""Default service and path of each kind of workload."""


class LoadTable(TypedDict):
    """The ``[load]`` table: targets and limits."""

    targets: NotRequired[list[Url]]
    duration: NotRequired[Annotated[float, Meta(gt=0, le=MAX_DURATION_SECONDS)]]
    requests: NotRequired[Annotated[int, Meta(ge=1, le=MAX_REQUESTS)]]
    seed: NotRequired[int]
    timeout: NotRequired[Annotated[float, Meta(gt=0, le=MAX_DURATION_SECONDS)]]


class WorkloadTable(TypedDict):
    """
    A ``[[workloads]]`` table.

    ``rate`` is in requests per second. ``tokens`` is the minimum and maximum
    number of tokens of an answer, ``prompt`` the minimum and maximum number of
    characters of a prompt. ``key_variable`` is the name of an environment
    variable that contains the key.
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

    :ivar workspace: name of the workspace in the results.
    :ivar key: bearer key of the workspace.
    :ivar kind: ``"question"``, ``"booking"`` or ``"lookup"``.
    :ivar service: name of the service.
    :ivar path: path of the requests at the service.
    :ivar rate: average rate in requests per second.
    :ivar priority: ``"interactive"`` or ``"batch"``.
    :ivar tokens: minimum and maximum number of tokens of an answer.
    :ivar prompt: minimum and maximum number of characters of a prompt.
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
    Validated plan of a load run.

    :ivar workloads: workloads, which run at the same time.
    :ivar targets: base URLs of routers; each request goes to a random one.
    :ivar duration: period in which requests are started, in seconds.
    :ivar requests: number of requests after which the run ends early.
    :ivar seed: seed of the random arrivals, sizes and targets.
    :ivar timeout: time after which a request is cancelled, in seconds.
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
        Read and validate a plan in a TOML file.

        :raises LoadPlanError: if the plan is invalid; it lists every fault.
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
        Validate a parsed plan.

        :raises LoadPlanError: if the plan is invalid; it lists every fault.
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
            "workloads", "no_workload", "no workload is listed", "add [[workloads]]"
        )
        faults.append(fault)
        return []
    workloads = []
    for index, table in enumerate(tables):
        table_path = f"workloads[{index}]"
        workload_table = convert_table(table_path, table, WorkloadTable)
        if isinstance(workload_table, list):
            faults.extend(workload_table)
            continue
        faults += _check_ranges(table_path, workload_table)
        workloads.append(_build_workload(table_path, workload_table, faults))
    return workloads


def _check_ranges(
    table_path: str, workload_table: WorkloadTable
) -> list[ValidationFault]:
    ranges = {
        "tokens": workload_table.get("tokens", (1, 1)),
        "prompt": workload_table.get("prompt", (1, 1)),
    }
    return [
        ValidationFault(
            f"{table_path}.{key}",
            "wrong_range",
            f"{pair} does not satisfy 1 <= least <= most",
            "write [least, most], from 1",
        )
        for key, pair in ranges.items()
        if not 1 <= pair[0] <= pair[1]
    ]


def _build_workload(
    table_path: str, workload_table: WorkloadTable, faults: list[ValidationFault]
) -> Workload:
    kind = workload_table.get("kind", "question")
    default_service, default_path = DEFAULT_ENDPOINTS[kind]
    key = workload_table.get("key") or os.environ.get(
        workload_table.get("key_variable", ""), ""
    )
    if not key:
        faults.append(
            ValidationFault(
                f"{table_path}.key",
                "no_key",
                "the key of the workspace is missing",
                "set key, or key_variable to a variable that holds it",
            )
        )
    return Workload(
        workspace=workload_table["workspace"],
        key=key,
        kind=kind,
        service=workload_table.get("service", default_service),
        path=workload_table.get("path", default_path),
        rate=workload_table["rate"],
        priority=workload_table.get("priority", "interactive"),
        tokens=workload_table.get("tokens", (16, 16)),
        prompt=workload_table.get("prompt", (64, 64)),
    )
