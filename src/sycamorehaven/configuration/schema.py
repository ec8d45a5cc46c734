"""The tables of the operators' configuration text (TOML)."""

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
    ``[workspaces.NAME]``.

    ``weight`` is the share relative to other workspaces, ``queue_limit`` the
    most requests that one router queues for it.
    """

    key_sha256: Sha256
    weight: NotRequired[Weight]
    queue_limit: NotRequired[Annotated[int, Meta(ge=1, le=100_000)]]


class CallTable(TypedDict):
    """
    ``[[services.NAME.calls]]``: calls by method and path prefix.

    ``resumable`` calls answer with server-sent events and take
    ``Resume-From``.
    """

    method: HttpMethod
    path: PathPrefix
    idempotent: NotRequired[bool]
    resumable: NotRequired[bool]


class ServiceTable(TypedDict):
    """``[services.NAME]``; costs are in tokens (model) or seconds (plain)."""

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
