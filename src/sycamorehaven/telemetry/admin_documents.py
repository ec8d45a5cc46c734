"""JSON documents that the admin interface returns about a router."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING, Any, TypedDict

from sycamorehaven import __version__
from sycamorehaven.decisions.roles import choose_scheduler

if TYPE_CHECKING:
    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.configuration.model import Configuration, Service
    from sycamorehaven.telemetry.monitor import Monitor

UNIT_BY_SERVICE_KIND = {"model": "tokens", "plain": "slot seconds"}
"""Unit of cost, by kind of service."""


class QueueDocument(TypedDict):
    """
    Requests of one queue at this router.

    ``oldest_age`` is in seconds. ``permits`` is the number of permits that the
    router holds for such requests.
    """

    service: str
    workspace: str
    priority: str
    waiting: int
    oldest_age: float
    permits: int


class ShareDocument(TypedDict):
    """
    What one workspace has received of a service.

    ``received`` is the amount that this router knows of, in the unit of the
    service. It covers the whole fleet if the router schedules the service.
    ``share`` is its fraction of what all workspaces received, and ``entitled``
    is the fraction of the workspace's weight in the sum of all weights.
    ``waiting`` is the number of requests that wait at this router.
    """

    workspace: str
    weight: float
    received: float
    share: float
    entitled: float
    waiting: int


class ServiceDocument(TypedDict):
    """
    The use of one service.

    ``schedules`` lists the backend servers that this router schedules. If it
    is empty, the router does not know what the workspaces received. ``gap`` is
    the present fairness gap in units of cost per weight, ``gap_in_requests``
    the same gap in multiples of the service's largest request, and
    ``largest_gap`` the largest gap since the start of the process.
    ``backlogged`` lists the workspaces that are known to have waiting
    requests.
    """

    service: str
    schedules: list[str]
    unit: str
    gap: float
    gap_in_requests: float
    largest_gap: float
    backlogged: list[str]
    workspaces: list[ShareDocument]


def list_unready_reasons(board: Blackboard) -> list[str]:
    """Return the reasons why the router is not ready, none if it is ready."""
    reasons = []
    if board.configuration.current is None:
        reasons.append(board.configuration.missing_reason)
    if board.lifecycle.is_draining:
        reasons.append("shutting down")
    if not board.lifecycle.is_listening:
        reasons.append("not listening for callers yet")
    return reasons


def build_status_document(board: Blackboard, monitor: Monitor) -> dict[str, Any]:
    """Return the identity and the present state of the router."""
    reasons = list_unready_reasons(board)
    configuration = board.configuration.current
    return {
        "host": board.identity.host,
        "incarnation": board.identity.incarnation,
        "version": __version__,
        "failure_domain": board.members.own.failure_domain,
        "uptime": round(monitor.uptime, 3),
        "ready": not reasons,
        "reasons": reasons,
        "draining": board.lifecycle.is_draining,
        "in_progress": board.lifecycle.requests_in_progress,
        "waiting": sum(len(queue) for _, queue in board.queues.list()),
        "permits": len(board.permits.list()),
        "members": len(board.members.list()),
        "configuration_revision": board.configuration.revision,
        "configuration_digest": configuration.digest if configuration else "",
        "configuration_refused": build_refused_document(board),
        "refusals": _count_refusals_by_code(board),
        "events": dict(board.outcomes.events),
    }


def list_scheduled_servers(
    board: Blackboard, configuration: Configuration, service: str
) -> list[str]:
    """Return the backend servers of a service that this router schedules."""
    domains = board.members.map_failure_domains()
    own = board.identity.host
    return [
        server.name
        for server in configuration.list_servers(service)
        if choose_scheduler(server, domains) == own
    ]


def build_refused_document(board: Blackboard) -> dict[str, Any] | None:
    """Return the revision and faults of the newest refused text, if any."""
    if board.configuration.latest_refusal is None:
        return None
    revision, error = board.configuration.latest_refusal
    return {"revision": revision, "faults": [f._asdict() for f in error.faults]}


def build_members_document(board: Blackboard) -> dict[str, Any]:
    """Return the live routers of the fleet."""
    return {"members": [member._asdict() for member in board.members.list()]}


def build_queues_document(board: Blackboard) -> dict[str, Any]:
    """Return the queues of this router with the permits held for each."""
    now = time.monotonic()
    rows: dict[tuple[str, str, str], QueueDocument] = {}
    for key, queue in board.queues.list():
        oldest = now - min((request.arrived_at for request in queue), default=now)
        rows[key] = QueueDocument(
            service=key.service,
            workspace=key.workspace,
            priority=key.priority,
            waiting=len(queue),
            oldest_age=round(oldest, 3),
            permits=0,
        )
    for permit in board.permits.list():
        queue_key = (permit.service, permit.workspace, permit.priority)
        row = rows.setdefault(queue_key, _create_empty_queue_document(*queue_key))
        row["permits"] += 1
    return {"queues": [rows[queue_key] for queue_key in sorted(rows)]}


def build_workspaces_document(
    board: Blackboard, monitor: Monitor, service: str = ""
) -> dict[str, Any]:
    """
    Return what each workspace received of each service, and the gaps.

    Workspaces that have received nothing and have no waiting requests are
    omitted.

    :param service: name of the only service to return, "" for all services.
    """
    configuration = board.configuration.current
    if configuration is None:
        return {"services": []}
    monitor.update_gaps()
    return {
        "services": [
            _build_service_document(board, monitor, configuration, row)
            for row in configuration.services.values()
            if service in ("", row.name)
        ]
    }


def build_configuration_document(board: Blackboard) -> dict[str, Any]:
    """Return the configuration in force without the workspaces' keys."""
    current = board.configuration.current
    document: dict[str, Any] = {
        "revision": board.configuration.revision,
        "refused": build_refused_document(board),
    }
    if current is None:
        return document
    document["digest"] = current.digest
    document["workspaces"] = {
        name: {k: v for k, v in row._asdict().items() if k != "key_sha256"}
        for name, row in current.workspaces.items()
    }
    document["services"] = {
        name: {**row._asdict(), "calls": [rule._asdict() for rule in row.calls]}
        for name, row in current.services.items()
    }
    document["servers"] = {n: row._asdict() for n, row in current.servers.items()}
    return document


def _count_refusals_by_code(board: Blackboard) -> dict[str, int]:
    totals: dict[str, int] = {}
    for (_, code), count in board.outcomes.refusals.items():
        totals[code] = totals.get(code, 0) + count
    return totals


def _create_empty_queue_document(
    service: str, workspace: str, priority: str
) -> QueueDocument:
    return QueueDocument(
        service=service,
        workspace=workspace,
        priority=priority,
        waiting=0,
        oldest_age=0.0,
        permits=0,
    )


def _build_service_document(
    board: Blackboard, monitor: Monitor, configuration: Configuration, service: Service
) -> ServiceDocument:
    tracker = monitor.get_gap_tracker(service.name)
    return ServiceDocument(
        service=service.name,
        schedules=list_scheduled_servers(board, configuration, service.name),
        unit=UNIT_BY_SERVICE_KIND[service.kind],
        gap=round(tracker.gap, 6),
        gap_in_requests=round(tracker.gap / service.largest_cost, 6),
        largest_gap=round(tracker.largest_gap, 6),
        backlogged=sorted(monitor.list_backlogged_workspaces(service.name)),
        workspaces=_build_share_documents(board, configuration, service.name),
    )


def _build_share_documents(
    board: Blackboard, configuration: Configuration, service: str
) -> list[ShareDocument]:
    received = {
        name: board.counters.sum_service(service, name)
        for name in configuration.workspaces
    }
    total = sum(received.values()) or 1.0
    weights = sum(row.weight for row in configuration.workspaces.values())
    waiting = _count_waiting_requests(board, service)
    return [
        ShareDocument(
            workspace=name,
            weight=row.weight,
            received=round(received[name], 6),
            share=round(received[name] / total, 6),
            entitled=round(row.weight / weights, 6),
            waiting=waiting[name],
        )
        for name, row in sorted(configuration.workspaces.items())
        if received[name] or waiting[name]
    ]


def _count_waiting_requests(board: Blackboard, service: str) -> Counter[str]:
    counts: Counter[str] = Counter()
    for key, queue in board.queues.list():
        if key.service == service:
            counts[key.workspace] += len(queue)
    return counts
