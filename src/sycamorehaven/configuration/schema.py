"""Schema of the tables in the operators' configuration text (TOML)."""

from __future__ import annotations

from typing import Annotated, Any, Literal, NotRequired, TypedDict

from msgspec import Meta

from sycamorehaven.settings import Address, Name

Weight = Annotated[float, Meta(gt=0, le=1000)]
SlotCount = Annotated[int, Meta(ge=1, le=4096)]
Sha256 = Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]
ServiceKind = Literal["model", "plain"]
PathPrefix = Annotated[str, Meta(pattern="^/", max_length=512)]
HttpMethod = Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


class WorkspaceTable(TypedDict):
    """
    ``[workspaces.NAME]``: a tenant of the fleet.

    ``weight`` is the share of capacity relative to the other workspaces.
    ``queue_limit`` is the largest number of requests that one router queues
    for the workspace.
    """

    key_sha256: Sha256
    weight: NotRequired[Weight]
    queue_limit: NotRequired[Annotated[int, Meta(ge=1, le=100_000)]]


class CallTable(TypedDict):
    """
    ``[[services.NAME.calls]]``: properties of calls by method and path prefix.

    A ``resumable`` call is answered with server-sent events and accepts the
    ``Resume-From`` header.
    """

    method: HttpMethod
    path: PathPrefix
    idempotent: NotRequired[bool]
    resumable: NotRequired[bool]


class ServiceTable(TypedDict):
    """
    ``[services.NAME]``: a service that the fleet routes to.

    Costs are in tokens for the kind ``model`` and in slot seconds for
    ``plain``.
    """

    kind: ServiceKind
    depends_on: NotRequired[list[Name]]
    calls: NotRequired[list[dict[str, Any]]]
    expected_cost: NotRequired[Annotated[float, Meta(gt=0, le=10_000_000)]]
    largest_cost: NotRequired[Annotated[float, Meta(gt=0, le=10_000_000)]]
    batch_fraction: NotRequired[Annotated[float, Meta(ge=0.01, le=0.9)]]


class ServerTable(TypedDict):
    """``[servers.NAME]``: a backend server."""

    address: Address
    service: Name
    failure_domain: Name
    slots: NotRequired[SlotCount]
    slots_ceiling: NotRequired[SlotCount]
    models: NotRequired[list[Name]]
    adapters: NotRequired[list[Name]]
    version: NotRequired[Name]
    role: NotRequired[Name]
    checks_fencing: NotRequired[bool]
