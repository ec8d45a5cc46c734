"""Tests of the operators' interface: keys, readiness, problems, documents."""

from __future__ import annotations

import contextlib
import hashlib
from typing import TYPE_CHECKING

from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from sycamorehaven.configuration.acceptance import accept_text
from sycamorehaven.settings import RouterSettings
from sycamorehaven.telemetry.monitor import Monitor
from sycamorehaven.telemetry.tracing import SpanBuffer
from sycamorehaven.transport.admin_listener import AdminListener
from tests.support.configuration_texts import (
    ServerPlan,
    build_configuration_text,
    build_workspace_key,
)
from tests.support.doubles import create_board

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sycamorehaven.blackboard.board import Blackboard

AUTHENTICATED_PATHS = (
    "/metrics",
    "/v1/status",
    "/v1/members",
    "/v1/queues",
    "/v1/workspaces",
    "/v1/traces",
    "/v1/configuration",
)
Client = TestClient[web.Request, web.Application]


def create_settings(key: str = "") -> RouterSettings:
    admin = {"address": "127.0.0.1:7003"}
    if key:
        admin["key_sha256"] = hashlib.sha256(key.encode()).hexdigest()
    return RouterSettings.from_document(
        {
            "router": {"host": "a1", "failure_domain": "a"},
            "callers": {"address": "127.0.0.1:7001"},
            "peers": {"address": "127.0.0.1:7002"},
            "admin": admin,
            "platform": {"url": "http://127.0.0.1:7000"},
        }
    )


@contextlib.asynccontextmanager
async def serve_admin(key: str = "") -> AsyncIterator[tuple[Blackboard, Client]]:
    board = create_board()
    listener = AdminListener(board, create_settings(key), Monitor(board), SpanBuffer())
    async with TestClient(TestServer(listener.build_application())) as client:
        yield board, client


def apply_configuration(board: Blackboard) -> None:
    text = build_configuration_text(
        [ServerPlan("engine-1", "assistant", "127.0.0.1:1")]
    )
    board.configuration.replace(accept_text(text.encode(), 4))


async def test_key_is_required_except_for_health_checks() -> None:
    async with serve_admin("sesame") as (_, client):
        for path in AUTHENTICATED_PATHS:
            assert (await client.get(path)).status == 401
            wrong = await client.get(path, headers={"Authorization": "Bearer se"})
            assert wrong.status == 401
            assert (await wrong.json(content_type=None))["code"] == "invalid_admin_key"
            right = {"Authorization": "Bearer sesame"}
            assert (await client.get(path, headers=right)).status == 200
        assert (await client.get("/livez")).status == 200
        assert (await client.get("/readyz")).status == 503


async def test_readiness_lists_the_reasons() -> None:
    async with serve_admin() as (board, client):
        document = await (await client.get("/readyz")).json()
        assert document == {
            "ready": False,
            "reasons": ["no configuration yet", "not listening for callers yet"],
        }
        apply_configuration(board)
        document = await (await client.get("/readyz")).json()
        assert document["reasons"] == ["not listening for callers yet"]
        board.lifecycle.mark_listening()
        assert (await client.get("/readyz")).status == 200
        board.lifecycle.begin_draining()
        document = await (await client.get("/readyz")).json()
        assert document["reasons"] == ["shutting down"]


async def test_errors_are_problems_with_code_and_remedy() -> None:
    async with serve_admin() as (_, client):
        for method, path, status, code in (
            ("GET", "/v1/nothing", 404, "unknown_admin_path"),
            ("POST", "/v1/status", 405, "read_only_interface"),
            ("GET", "/v1/traces?limit=x", 400, "invalid_admin_query"),
        ):
            response = await client.request(method, path)
            assert response.status == status
            assert response.content_type == "application/problem+json"
            problem = await response.json(content_type=None)
            assert problem["code"] == code
            assert problem["remedy"]


async def test_configuration_omits_workspace_keys() -> None:
    async with serve_admin() as (board, client):
        apply_configuration(board)
        text = await (await client.get("/v1/configuration")).text()
        assert '"oakcourt"' in text
        assert "key_sha256" not in text
        digest = hashlib.sha256(build_workspace_key("oakcourt").encode()).hexdigest()
        assert digest not in text


async def test_workspaces_show_service_share_and_weight() -> None:
    async with serve_admin() as (board, client):
        apply_configuration(board)
        board.counters.charge("assistant", "oakcourt", 30.0)
        board.counters.charge("assistant", "elmplace", 10.0)
        document = await (await client.get("/v1/workspaces")).json()
        assistant = document["services"][0]
        rows = {row["workspace"]: row for row in assistant["workspaces"]}
        assert assistant["unit"] == "tokens"
        assert assistant["schedules"] == ["engine-1"]
        assert rows["oakcourt"]["received"] == 30.0
        assert rows["oakcourt"]["share"] == 0.75
        assert rows["elmplace"]["entitled"] == 0.5
        one = await (await client.get("/v1/workspaces?service=bookings")).json()
        assert [row["service"] for row in one["services"]] == ["bookings"]
        assert one["services"][0]["workspaces"] == []


async def test_metrics_include_fairness_utilisation_and_control_traffic() -> None:
    async with serve_admin() as (board, client):
        apply_configuration(board)
        board.control_traffic.count_sent("Probe", 120)
        board.outcomes.count_refusal("oakcourt", "queue_full")
        status = board.server_statuses.get("engine-1")
        report = status._replace(running_requests=3, reported_slots=4, reported_at=1.0)
        board.server_statuses.put("engine-1", report)
        text = await (await client.get("/metrics")).text()
        for line in (
            'sycamorehaven_fairness_gap_units{service="assistant"} 0.0',
            'sycamorehaven_utilisation_ratio{service="assistant"} 0.75',
            'sycamorehaven_control_sent_bytes_total{kind="Probe"} 120.0',
            'sycamorehaven_refusals_total{code="queue_full"} 1.0',
            "sycamorehaven_configuration_revision 4.0",
        ):
            assert line in text.splitlines()
        assert "process_resident_memory_bytes" in text
        assert "sycamorehaven_event_loop_lag_seconds_count" in text
