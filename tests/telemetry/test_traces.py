"""Finished spans, the collector, and the spans of a request."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import TYPE_CHECKING

from sycamorehaven.telemetry.traces import KEPT_SPANS, Tracing
from tests.support.fleet import find_address

if TYPE_CHECKING:
    from tests.support.fleet import Fleet

TRACE = "0af7651916cd43dd8448eb211c80319c"
PARENT = "b7ad6b7169203331"


def test_buffer_is_bounded_and_found_by_trace() -> None:
    tracing = Tracing("a1", 1.0)
    tracer = tracing.provider.get_tracer("test")
    for _ in range(KEPT_SPANS + 10):
        with tracer.start_as_current_span("edge"), tracer.start_as_current_span("x"):
            pass
    spans = tracing.buffer.list()
    assert len(spans) == KEPT_SPANS
    last = tracing.buffer.list(spans[-1]["trace_id"])
    assert [span["name"] for span in last] == ["x", "edge"]
    assert last[0]["parent_id"] == last[1]["span_id"]
    assert len(tracing.buffer.list(limit=3)) == 3


def test_ratio_of_zero_traces_nothing() -> None:
    tracing = Tracing("a1", 0.0)
    with tracing.provider.get_tracer("test").start_as_current_span("edge"):
        pass
    assert tracing.buffer.list() == []


async def test_silent_collector_delays_nothing() -> None:
    accepted = asyncio.Event()

    async def stay_silent(
        reader: asyncio.StreamReader, _writer: asyncio.StreamWriter
    ) -> None:
        accepted.set()
        with contextlib.suppress(asyncio.CancelledError):
            await reader.read()

    address = find_address()
    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(stay_silent, host, int(port))
    tracing = Tracing("a1", 1.0, f"http://{address}/v1/traces")
    tracer = tracing.provider.get_tracer("test")
    for _ in range(2_500):
        with tracer.start_as_current_span("edge"):
            pass
    assert len(tracing.buffer.list()) == KEPT_SPANS
    async with asyncio.timeout(20):
        await accepted.wait()
        await tracing.close()
    server.close()


async def test_request_has_a_span_for_each_hop(fleet: Fleet) -> None:
    headers = {"traceparent": f"00-{TRACE}-{PARENT}-01"}
    status, _ = await fleet.ask(0, "traced", headers=headers)
    assert status == 200
    url = f"http://{fleet.routers[0].admin}/v1/traces?trace_id={TRACE}"
    async with fleet.client.get(url) as response:
        spans = json.loads(await response.read())["spans"]
    by_name = {span["name"]: span for span in spans}
    assert {"edge", "queue wait", "permit", "backend attempt"} <= set(by_name)
    assert by_name["edge"]["parent_id"] == PARENT
    known = {span["span_id"] for span in spans}
    for name in ("queue wait", "backend attempt"):
        assert by_name[name]["parent_id"] in known
