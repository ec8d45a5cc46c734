"""Requests that a router has no time for."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from typing import TYPE_CHECKING
from unittest import mock

from sycamorehaven.blackboard.event_loop import EventLoopSection
from sycamorehaven.decisions.arrivals import MAX_LAG_SECONDS
from sycamorehaven.platform.header_codec import PlatformHeaderCodec
from sycamorehaven.telemetry.decision_log import DecisionLog
from sycamorehaven.transport.time_gate import TimeGate
from tests.support.gateway_client import send_request
from tests.support.gateway_harness import API_KEY, ROUTE_HOST

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tests.support.gateway_harness import GatewayHarness


def build_request(attempt: str, key: str = API_KEY, body: bytes = b"") -> bytes:
    """Return a request for a route of the harness."""
    return (
        f"GET /look/1 HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nSycamorehaven-Key: {key}\r\n"
        f"Sycamorehaven-Attempt-Id: {attempt}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


async def read_response(reader: asyncio.StreamReader) -> tuple[int, bytes, bytes]:
    """Return the status, head and body of a response."""
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
    length = next(
        int(line.split(b":")[1])
        for line in head.split(b"\r\n")
        if line.lower().startswith(b"content-length")
    )
    return int(head.split()[1]), head, await reader.readexactly(length)


@contextlib.asynccontextmanager
async def connect(
    harness: GatewayHarness,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Open a connection to the router of the harness."""
    host, port = harness.callers_address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield reader, writer
    finally:
        writer.close()


def make_late(harness: GatewayHarness, *, late: bool = True) -> None:
    """Let the router believe that it is late, or is not, for good."""
    section = harness.board.event_loop
    lag = 2 * MAX_LAG_SECONDS if late else 0.0
    EventLoopSection.update(section, lag, 100.0)
    section.update = lambda *_: None  # type: ignore[method-assign]


async def test_late_router_spends_no_parsing_on_requests_that_it_rejects(
    harness: GatewayHarness,
) -> None:
    assert (await send_request(harness, "/look/1"))[0] == 200
    async with connect(harness) as (reader, writer):
        make_late(harness)
        for number in range(3):
            writer.write(build_request(f"late{number}", body=b"x" * 100))
            status, head, body = await read_response(reader)
            assert status == 503
            assert b"router_busy" in body
            assert f"late{number}".encode() in body
            assert float(head.split(b"Retry-After:")[1].split()[0]) > 0
        assert harness.board.lifecycle.requests_in_progress == 0
        # The same connection serves once there is time again.
        make_late(harness, late=False)
        writer.write(build_request("ok"))
        assert (await read_response(reader))[0] == 200
    run = [attempt for server in harness.servers for attempt in server.run_attempt_ids]
    assert not any(attempt.startswith("late") for attempt in run)


async def test_late_router_leaves_unknown_keys_and_paths_to_their_own_refusal(
    harness: GatewayHarness,
) -> None:
    assert (await send_request(harness, "/look/1"))[0] == 200
    async with connect(harness) as (reader, writer):
        make_late(harness)
        writer.write(build_request("k", key="unknown"))
        assert (await read_response(reader))[0] == 401
        writer.write(build_request("p").replace(b"/look/1", b"/nothing"))
        assert (await read_response(reader))[0] == 404


async def test_body_that_looks_like_a_request_gets_no_response_of_its_own(
    harness: GatewayHarness,
) -> None:
    inner = build_request("inner")
    whole = build_request("outer", body=inner)
    async with connect(harness) as (reader, writer):
        writer.write(whole[: -len(inner)])
        await asyncio.sleep(0.1)
        make_late(harness)
        writer.write(inner)
        _, _, body = await read_response(reader)
        assert b"inner" not in body
        with contextlib.suppress(TimeoutError):
            assert await asyncio.wait_for(reader.read(1), 0.3) == b""


# Connections to servers would use the descriptors for accepting connections.
async def test_idle_router_rejects_requests_that_it_has_no_descriptors_for(
    harness: GatewayHarness,
) -> None:
    assert (await send_request(harness, "/look/1"))[0] == 200
    board = harness.board

    def is_full(max_requests: float) -> bool:
        gate = TimeGate(
            board,
            PlatformHeaderCodec(),
            DecisionLog("a1", None),
            mock.Mock(),
            max_requests=max_requests,
        )
        return gate.may_reject_early()

    for _ in range(3):
        board.lifecycle.begin_request()
    assert not is_full(4)
    assert is_full(3)


# Setting up connections to reject their requests takes the time for answers.
async def test_late_router_sets_up_no_connection_for_requests_that_it_rejects(
    harness: GatewayHarness,
) -> None:
    assert (await send_request(harness, "/look/1"))[0] == 200
    make_late(harness)
    workload = harness.board.workload
    workload.take_connections()
    host, port = harness.callers_address.rsplit(":", 1)
    for number in range(3):
        # The request is there before the router accepts the connection.
        with socket.create_connection((host, int(port))) as client:
            client.sendall(build_request(f"late{number}", body=b"x" * 20_000))
            client.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=client)
            status, head, body = await read_response(reader)
            assert status == 503
            assert b"router_busy" in body
            assert f"late{number}".encode() in head
            assert b"Connection: close" in head
            assert await reader.read() == b""
            writer.close()
    assert workload.take_rejection_stages()["on_arrival"] == 3
    assert workload.take_connections() == 0
    make_late(harness, late=False)
    assert (await send_request(harness, "/look/1", attempt="ok"))[0] == 200


async def test_request_whose_body_is_still_arriving_is_rejected_by_its_head(
    harness: GatewayHarness,
) -> None:
    assert (await send_request(harness, "/look/1"))[0] == 200
    async with connect(harness) as (reader, writer):
        writer.write(build_request("first"))
        assert (await read_response(reader))[0] == 200
        make_late(harness)
        harness.board.workload.take_rejection_stages()
        request = build_request("late", body=b"x" * 50_000)
        writer.write(request[:1_000])
        assert (await read_response(reader))[0] == 503
        writer.write(request[1_000:])
        writer.write(build_request("late2"))
        status, _, body = await read_response(reader)
        assert status == 503
        assert b"late2" in body
        assert harness.board.workload.take_rejection_stages() == {"by_head": 2}
        assert harness.board.lifecycle.requests_in_progress == 0


async def test_body_beyond_the_limit_is_left_to_its_own_refusal(
    harness: GatewayHarness,
) -> None:
    assert (await send_request(harness, "/look/1"))[0] == 200
    async with connect(harness) as (_, writer):
        make_late(harness)
        head = build_request("large").replace(
            b"Content-Length: 0", b"Content-Length: 9999999"
        )
        writer.write(head)
        harness.board.workload.take_rejection_stages()
        await asyncio.sleep(0.1)
        assert "by_head" not in harness.board.workload.take_rejection_stages()


# Nothing looks at the dispatcher's delay again once nobody waits there.
async def test_router_rejects_all_requests_after_those_that_waited_are_withdrawn(
    harness: GatewayHarness,
) -> None:
    assert (await send_request(harness, "/look/1"))[0] == 200
    harness.board.event_loop.update_dispatch(time.monotonic() + 0.3)
    assert (await send_request(harness, "/look/1", attempt="a2"))[0] == 503
    await asyncio.sleep(0.4)
    assert (await send_request(harness, "/look/1", attempt="a3"))[0] == 200
