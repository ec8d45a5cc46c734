"""Tests of the callers' interface over real TCP connections."""

from __future__ import annotations

import asyncio
import json
import random
from typing import TYPE_CHECKING, NoReturn

from aiohttp import web

from tests.support.configuration_texts import ServerPlan, build_workspace_key
from tests.support.fleet import allocate_port

if TYPE_CHECKING:
    from sycamorehaven.call import Call
    from tests.support.edge_harness import EdgeHarness

CALL_PATH = "/v1/services/bookings/bookings"
AUTHORIZATION_LINE = (
    f"Authorization: Bearer {build_workspace_key('oakcourt')}\r\n".encode()
)


async def exchange(edge: EdgeHarness, data: bytes, timeout: float = 10.0) -> bytes:
    """
    Send raw bytes to the edge and return the bytes that it sends back.

    :param timeout: seconds after which an open connection is no longer read.
    """
    host, _, port = edge.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    received = b""
    try:
        async with asyncio.timeout(timeout):
            while chunk := await reader.read(65_536):
                received += chunk
    except (ConnectionError, TimeoutError):
        pass
    finally:
        writer.close()
    return received


def build_echo(seen: list[web.Request]) -> web.Application:
    """
    Return a server that echoes a request's path and body.

    :param seen: list to which the server appends each request.
    """

    async def echo(request: web.Request) -> web.Response:
        seen.append(request)
        body = await request.read()
        status = int(request.query.get("status", "200"))
        headers = {"X-Path": request.raw_path, "Connection": "X-Hop", "X-Hop": "1"}
        return web.Response(status=status, body=body or b"echo", headers=headers)

    application = web.Application()
    application.router.add_route("*", "/{path:.*}", echo)
    return application


async def test_refusals_are_problems_with_code_and_remedy(edge: EdgeHarness) -> None:
    seen: list[web.Request] = []
    await edge.start_server(build_echo(seen), "bookings")
    await edge.start()
    cases = [
        ("GET", "/", {}, b"", 404, "unknown_path"),
        ("GET", "/v1/services/bookings", {}, b"", 404, "unknown_path"),
        ("GET", "/v1/services/none/x", {}, b"", 404, "unknown_service"),
        ("TRACE", CALL_PATH, {}, b"", 405, "method_not_allowed"),
        (
            "GET",
            CALL_PATH,
            {"Authorization": "Bearer x"},
            b"",
            401,
            "invalid_workspace_key",
        ),
        ("GET", CALL_PATH, {"Priority-Class": "first"}, b"", 400, "bad_request"),
        ("GET", CALL_PATH, {"Request-Timeout": "nan"}, b"", 400, "bad_request"),
        ("GET", CALL_PATH, {"Cost-Hint": "-1"}, b"", 400, "bad_request"),
        ("GET", CALL_PATH, {"Expect": "wonders"}, b"", 400, "bad_request"),
        ("PUT", CALL_PATH, {}, b"x" * 1_001, 413, "body_too_large"),
        (
            "PUT",
            CALL_PATH,
            {"Expect": "100-continue"},
            b"x" * 2_000,
            413,
            "body_too_large",
        ),
        ("GET", f"{CALL_PATH}?{'q' * 8_000}", {}, b"", 414, "target_too_long"),
        ("GET", CALL_PATH, {"X": "x" * 31_000, "Y": "y" * 3_000}, b"", 431, None),
        ("GET", CALL_PATH, {"X": "x" * 40_000}, b"", 431, "headers_too_large"),
    ]
    for method, path, headers, body, status, code in cases:
        actual_status, raw, response_headers = await edge.send(
            method, path, headers, data=body or None
        )
        problem = json.loads(raw)
        assert (actual_status, problem["code"]) == (
            status,
            code or "headers_too_large",
        ), path
        assert response_headers["Content-Type"] == "application/problem+json"
        assert problem["was_run"] == "no"
        assert problem["remedy"]
        assert problem["request_id"] == response_headers["Request-Id"]
    assert not seen
    assert edge.permits.held_count == 0


async def test_body_at_the_limit_and_unusual_paths_are_forwarded_unchanged(
    edge: EdgeHarness,
) -> None:
    await edge.start_server(build_echo([]), "bookings")
    await edge.start()
    status, body, _ = await edge.send("PUT", CALL_PATH, data=b"x" * 1_000)
    assert (status, len(body)) == (200, 1_000)
    for path in ("/a%2Fb/../c", "/..%2f..", "//x//", "/ok?a=%2F..&b=%20"):
        raw = f"PUT /v1/services/bookings{path} HTTP/1.1\r\nHost: x\r\n".encode()
        received = await exchange(
            edge, raw + AUTHORIZATION_LINE + b"Connection: close\r\n\r\n"
        )
        assert received.startswith(b"HTTP/1.1 200"), received
        assert f"X-Path: {path}\r\n".encode() in received
        assert b"X-Hop" not in received


async def test_empty_and_error_responses_are_forwarded_unchanged(
    edge: EdgeHarness,
) -> None:
    await edge.start_server(build_echo([]), "bookings")
    await edge.start()
    for status in (200, 201, 204, 304, 404, 418, 500, 599):
        for method in ("GET", "HEAD"):
            actual_status, body, headers = await edge.send(
                method, f"{CALL_PATH}?status={status}"
            )
            is_empty = method == "HEAD" or status in (204, 304)
            assert (actual_status, body) == (status, b"" if is_empty else b"echo")
            if method == "HEAD" and status not in (204, 304):
                assert headers["Content-Length"] == "4"
    assert edge.permits.held_count == 0


async def test_trace_and_request_id_reach_the_server(edge: EdgeHarness) -> None:
    seen: list[web.Request] = []
    await edge.start_server(build_echo(seen), "bookings")
    await edge.start()
    trace = "0af7651916cd43dd8448eb211c80319c"
    parent = f"00-{trace}-b7ad6b7169203331-01"
    sent = {"traceparent": parent, "Request-Id": "forged", "Idempotency-Key": "forged"}
    _, _, headers = await edge.send("GET", CALL_PATH, sent)
    assert seen[0].headers["traceparent"].split("-")[1] == trace
    assert seen[0].headers["Request-Id"] == headers["Request-Id"] != "forged"
    assert "Authorization" not in seen[0].headers
    assert "Idempotency-Key" not in seen[0].headers


class FailingHandler:
    """Raises an exception that no handler is expected to raise."""

    async def answer(self, call: Call) -> NoReturn:
        """Raise an exception whose text callers must not see."""
        raise LookupError(f"secret of {call.path}")


async def test_internal_failure_is_a_problem_without_traceback(
    edge: EdgeHarness,
) -> None:
    await edge.start_server(build_echo([]), "bookings")
    await edge.start(FailingHandler())
    status, body, _ = await edge.send("GET", CALL_PATH)
    problem = json.loads(body)
    assert (status, problem["code"]) == (500, "internal_error")
    assert problem["was_run"] == "unknown"
    assert b"secret" not in body
    assert b"Traceback" not in body


async def test_malformed_bytes_get_a_problem_or_no_response(edge: EdgeHarness) -> None:
    seen: list[web.Request] = []
    await edge.start_server(build_echo(seen), "bookings")
    await edge.start()
    generator = random.Random(7)
    names = [b"Content-Length", b"Transfer-Encoding", b"Host", b"Cost-Hint", b"\xff:"]
    response_count = 0
    for _ in range(150):
        lines = [b"GET /v1/services/bookings/x HTTP/1.1\r\nConnection: close\r\n"]
        for _ in range(generator.randrange(6)):
            value = bytes(generator.randrange(256) for _ in range(12))
            lines.append(generator.choice(names) + b": " + value + b"\r\n")
        data = bytearray(b"".join(lines) + b"\r\n")
        for _ in range(generator.randrange(3)):
            data[generator.randrange(len(data))] = generator.randrange(256)
        received = await exchange(edge, bytes(data), timeout=0.2)
        response_count += bool(received)
        assert not received or b"application/problem+json" in received, (data, received)
        assert b"Traceback" not in received
    assert response_count > 75
    assert not seen
    assert (await edge.send("GET", CALL_PATH))[0] == 200
    assert edge.board.lifecycle.requests_in_progress == 0


async def test_repeated_control_header_is_refused(edge: EdgeHarness) -> None:
    await edge.start_server(build_echo([]), "bookings")
    await edge.start()
    head = f"GET {CALL_PATH} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n".encode()
    received = await exchange(
        edge, head + AUTHORIZATION_LINE + AUTHORIZATION_LINE + b"\r\n"
    )
    assert b" 400 " in received
    assert b"occurs more than once" in received


async def test_refused_connection_is_reported_as_not_run(edge: EdgeHarness) -> None:
    edge.add_server(ServerPlan("gone", "bookings", f"127.0.0.1:{allocate_port()}"))
    await edge.start()
    status, body, headers = await edge.send("POST", CALL_PATH, data=b"x")
    problem = json.loads(body)
    assert (status, problem["code"]) == (502, "attempts_exhausted")
    assert problem["was_run"] == "no"
    assert "Retry-After" in headers
    assert edge.permits.held_count == 0
