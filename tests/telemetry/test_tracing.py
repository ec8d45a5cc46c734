"""Tests of the span buffer, the export of spans and the spans of requests."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from aiohttp import web

from sycamorehaven.standins.serving import start_application
from sycamorehaven.telemetry.tracing import SPAN_BUFFER_CAPACITY, Tracing
from tests.support.configuration_texts import ServerPlan, build_configuration_text
from tests.support.fleet import allocate_address, wait_for

if TYPE_CHECKING:
    from typing import Any

    from tests.support.fleet import Fleet

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
PARENT_SPAN_ID = "b7ad6b7169203331"


def test_span_buffer_is_bounded_and_filtered_by_trace() -> None:
    tracing = Tracing("a1", 1.0)
    tracer = tracing.provider.get_tracer("test")
    for _ in range(SPAN_BUFFER_CAPACITY + 10):
        with tracer.start_as_current_span("edge"), tracer.start_as_current_span("x"):
            pass
    spans = tracing.buffer.list_spans()
    assert len(spans) == SPAN_BUFFER_CAPACITY
    last = tracing.buffer.list_spans(spans[-1]["trace_id"])
    assert [span["name"] for span in last] == ["x", "edge"]
    assert last[0]["parent_id"] == last[1]["span_id"]
    assert len(tracing.buffer.list_spans(limit=3)) == 3


def test_zero_trace_ratio_records_no_spans() -> None:
    tracing = Tracing("a1", 0.0)
    with tracing.provider.get_tracer("test").start_as_current_span("edge"):
        pass
    assert tracing.buffer.list_spans() == []


async def test_unresponsive_collector_does_not_block() -> None:
    accepted = asyncio.Event()

    async def accept_and_never_respond(
        reader: asyncio.StreamReader, _writer: asyncio.StreamWriter
    ) -> None:
        accepted.set()
        with contextlib.suppress(asyncio.CancelledError):
            await reader.read()

    address = allocate_address()
    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(accept_and_never_respond, host, int(port))
    tracing = Tracing("a1", 1.0, f"http://{address}/v1/traces")
    tracer = tracing.provider.get_tracer("test")
    for _ in range(2_500):
        with tracer.start_as_current_span("edge"):
            pass
    assert len(tracing.buffer.list_spans()) == SPAN_BUFFER_CAPACITY
    async with asyncio.timeout(20):
        await accepted.wait()
        await tracing.close()
    server.close()


async def test_request_has_a_span_for_each_hop(fleet: Fleet) -> None:
    traceparents = await trace_through_recording_server(fleet)
    spans: dict[str, dict[str, Any]] = {}

    async def is_finished() -> bool:
        rows = (await fleet.fetch_admin_document(0, f"/v1/traces?trace_id={TRACE_ID}"))[
            "spans"
        ]
        spans.update((row["name"], row) for row in rows)
        return "edge" in spans

    await wait_for(is_finished)
    edge, permit = spans["edge"], spans["permit"]
    assert edge["parent_id"] == PARENT_SPAN_ID
    assert spans["queue wait"]["parent_id"] == edge["span_id"]
    assert permit["parent_id"] == edge["span_id"]
    attempt = spans["backend attempt"]
    assert attempt["parent_id"] == permit["span_id"]
    assert traceparents == [f"00-{TRACE_ID}-{attempt['span_id']}-01"]


async def test_relayed_booking_is_a_single_trace(fleet: Fleet) -> None:
    minted = fleet.build_request(1, "/v1/idempotency-tokens")
    async with fleet.client.post(**minted) as response:
        token = (await response.json())["idempotency_token"]
    headers = {
        "traceparent": f"00-{TRACE_ID}-{PARENT_SPAN_ID}-01",
        "Idempotency-Token": token,
    }
    booking = fleet.build_request(0, "/v1/services/bookings/bookings", headers=headers)
    async with fleet.client.post(data=b"washer 3", **booking) as response:
        assert response.status == 201, await response.text()

    async def list_spans(router: int) -> dict[str, dict[str, Any]]:
        rows = (
            await fleet.fetch_admin_document(router, f"/v1/traces?trace_id={TRACE_ID}")
        )["spans"]
        return {row["name"]: row for row in rows}

    async def is_finished() -> bool:
        return "relay" in await list_spans(0) and "relayed call" in await list_spans(1)

    await wait_for(is_finished)
    entry_spans, owner_spans = await list_spans(0), await list_spans(1)
    assert owner_spans["relayed call"]["parent_id"] == entry_spans["relay"]["span_id"]
    assert owner_spans["backend attempt"]["trace_id"] == TRACE_ID


async def answer_load_poll(_request: web.Request) -> web.Response:
    return web.json_response({"running": 0, "capacity": 4, "leaving": False})


async def trace_through_recording_server(fleet: Fleet) -> list[str]:
    """
    Send a traced request through the fleet to a recording backend server.

    Returns the ``traceparent`` headers that the server received.
    """
    traceparents: list[str] = []

    async def answer(request: web.Request) -> web.Response:
        traceparents.append(request.headers.get("traceparent", ""))
        return web.Response(text="whole")

    application = web.Application()
    application.router.add_post("/v1/completions", answer)
    application.router.add_get("/load", answer_load_poll)
    plan = ServerPlan("recorder", "assistant", allocate_address())
    runner = await start_application(application, plan.address)
    revision = await fleet.publish(build_configuration_text([plan]))

    async def is_in_force() -> bool:
        status = await fleet.fetch_admin_document(0, "/v1/status")
        return bool(status["configuration_revision"] >= revision)

    await wait_for(is_in_force)
    headers = {"traceparent": f"00-{TRACE_ID}-{PARENT_SPAN_ID}-01"}
    status, body = await fleet.request_completion(0, "traced", headers=headers)
    await runner.cleanup()
    assert (status, body) == (200, b"whole")
    return traceparents
