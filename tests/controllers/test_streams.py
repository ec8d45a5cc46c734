"""
Streams through one router: complete, bounded, resumed and cancelled.

An answer that breaks off must not look complete, and a permit must be released
in whichever way its call ends.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp import web

from sycamorehaven.standins.booking import BookingStandin
from sycamorehaven.standins.engine import EngineStandin, generate_token
from tests.support.configuration_texts import ServerPlan, build_workspace_key
from tests.support.fleet import allocate_address, wait_for

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.support.edge_harness import EdgeHarness

COMPLETIONS_PATH = "/v1/services/assistant/v1/completions"
LARGE_ANSWER_BYTES = 512 * 1_048_576
"""Size of an answer that cannot fit into the buffers on its way."""
MAX_BUFFERED_BYTES = 48 * 1_048_576
"""Bytes that the kernel and both processes may buffer on four sockets."""
MAX_WRITE_BUFFER_BYTES = 262_144
"""Bytes that the router itself may buffer for one caller."""


def list_events(prompt: str, tokens: int) -> list[bytes]:
    """Return the events of an engine's answer."""
    events = [
        b'data: {"index":%d,"token":"%s"}\n\n' % (i, generate_token(prompt, i).encode())
        for i in range(tokens)
    ]
    return [*events, b"data: [DONE]\n\n"]


def build_aborting_engine(
    prompt: str, complete_events: int, resume_headers: list[str]
) -> web.Application:
    """
    Return an engine that aborts the connection in the middle of an event.

    :param prompt: the prompt, from which the events are computed.
    :param complete_events: number of complete events that it sends first.
    :param resume_headers: collects the ``Resume-From`` header of each request.
    """

    async def complete(request: web.Request) -> web.StreamResponse:
        first = int(request.headers.get("Resume-From", "0"))
        resume_headers.append(request.headers.get("Resume-From", ""))
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        events = list_events(prompt, 1_000)
        await response.write(b"".join(events[first : first + complete_events]))
        await response.write(events[first + complete_events][:9])
        await asyncio.sleep(0.05)
        assert request.transport is not None
        request.transport.abort()
        return response

    application = web.Application()
    application.router.add_post("/v1/completions", complete)
    return application


async def request_completion(
    edge: EdgeHarness, prompt: str, tokens: int
) -> tuple[int, bytes]:
    """Request a completion; return the status and the whole answer."""
    body = {"prompt": prompt, "max_tokens": tokens}
    status, answer, _ = await edge.send("POST", COMPLETIONS_PATH, json=body)
    return status, answer


async def wait_until(condition: Callable[[], Any]) -> None:
    """Wait for a condition; the timeout of the test ends an endless wait."""

    async def holds() -> bool:
        return bool(condition())

    await wait_for(holds)


async def test_broken_stream_resumes_with_every_event_once(edge: EdgeHarness) -> None:
    resume_headers: list[str] = []
    await edge.start_server(build_aborting_engine("q", 3, resume_headers), "assistant")
    await edge.start_server(EngineStandin().build_application(), "assistant")
    await edge.start()
    status, answer = await request_completion(edge, "q", 20)
    assert status == 200, answer
    assert answer == b"".join(list_events("q", 20))
    assert resume_headers == [""]
    assert [permit.cost for permit in edge.permits.released] == [3, 17]
    assert [permit.failed for permit in edge.permits.released] == [True, False]
    assert edge.board.outcomes.events["resumption"] == 1


def has_streamed_events(edge: EdgeHarness, permit_index: int) -> bool:
    """Return whether more than five events arrived under the n-th permit."""
    granted = edge.permits.granted
    return len(granted) > permit_index and granted[permit_index].cost > 5


async def test_preempted_stream_is_queued_first_and_resumes(edge: EdgeHarness) -> None:
    for _ in range(2):
        engine = EngineStandin(token_time=0.01)
        await edge.start_server(engine.build_application(), "assistant")
    await edge.start()
    requesting = asyncio.ensure_future(request_completion(edge, "long", 60))
    for permit_index in range(2):
        await wait_until(functools.partial(has_streamed_events, edge, permit_index))
        permit = edge.permits.granted[permit_index]
        assert permit.resumable
        permit.preempted.set()
    status, answer = await requesting
    assert status == 200
    assert answer == b"".join(list_events("long", 60))
    assert edge.board.outcomes.events["preemption"] == 2
    assert edge.board.outcomes.events["retry"] == 0
    assert sum(permit.cost for permit in edge.permits.released) == 60
    assert not any(permit.failed for permit in edge.permits.released)
    assert edge.permits.held_count == 0


async def test_preemption_before_the_first_event(edge: EdgeHarness) -> None:
    engine = EngineStandin(prefill_time=0.3)
    await edge.start_server(engine.build_application(), "assistant")
    await edge.start()
    requesting = asyncio.ensure_future(request_completion(edge, "early", 5))
    await wait_until(lambda: engine.started["early"])
    edge.permits.granted[0].preempted.set()
    _, answer = await requesting
    assert answer == b"".join(list_events("early", 5))
    assert edge.permits.held_count == 0
    assert edge.board.outcomes.events["preemption"] == 1


def build_truncating_handler(head: bytes, body: bytes) -> Callable[..., Any]:
    """Return a handler that closes before its answer is complete."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\n" + body)
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.close()

    return handle


async def test_truncated_answer_is_not_ended_cleanly(edge: EdgeHarness) -> None:
    truncated_answers = [
        (b"Transfer-Encoding: chunked", b"5\r\nhello\r\n"),
        (b"Transfer-Encoding: chunked", b"5\r\nhel"),
        (b"Content-Length: 100", b"x" * 50),
    ]
    listeners = []
    for number, (head, body) in enumerate(truncated_answers):
        address = allocate_address()
        host, _, port = address.rpartition(":")
        handler = build_truncating_handler(head, body)
        listeners.append(await asyncio.start_server(handler, host, int(port)))
        edge.add_server(ServerPlan(f"cut-{number}", "bookings", address))
    await edge.start()
    for number in range(len(truncated_answers)):
        try:
            response = await edge.send(
                "GET", f"/v1/services/bookings/bookings?{number}"
            )
        except aiohttp.ClientError:
            continue
        raise AssertionError(f"a truncated answer looked complete: {response}")
    assert edge.permits.held_count == 0
    assert edge.board.outcomes.events["broken_answer"] == len(truncated_answers)
    for listener in listeners:
        listener.close()


async def test_event_stream_closed_inside_an_event_is_not_ended_cleanly(
    edge: EdgeHarness,
) -> None:
    services = {"assistant": COMPLETIONS_PATH, "bookings": "/v1/services/bookings/x"}
    handler = build_truncating_handler(
        b"Content-Type: text/event-stream", b"data: 0\n\ndata"
    )
    listeners = []
    for service in services:
        address = allocate_address()
        host, _, port = address.rpartition(":")
        listeners.append(await asyncio.start_server(handler, host, int(port)))
        edge.add_server(ServerPlan(f"cut-{service}", service, address))
    await edge.start()
    for path in services.values():
        method = "GET" if "bookings" in path else "POST"
        try:
            response = await edge.send(method, path, json={"prompt": "q"})
        except aiohttp.ClientError:
            continue
        raise AssertionError(f"a truncated stream looked complete: {response}")
    assert edge.permits.held_count == 0
    for listener in listeners:
        listener.close()


async def test_buffer_of_a_slow_caller_is_bounded(edge: EdgeHarness) -> None:
    sent = 0

    async def send_large_answer(request: web.Request) -> web.StreamResponse:
        nonlocal sent
        response = web.StreamResponse()
        await response.prepare(request)
        while sent < LARGE_ANSWER_BYTES:
            await response.write(b"x" * 65_536)
            sent += 65_536
        return response

    application = web.Application()
    application.router.add_get("/flood", send_large_answer)
    await edge.start_server(application, "bookings")
    await edge.start()
    host, _, port = edge.address.rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port), limit=1_024)
    key = build_workspace_key("oakcourt")
    request = f"GET /v1/services/bookings/flood HTTP/1.1\r\nAuthorization: Bearer {key}"
    writer.write(f"{request}\r\nHost: x\r\n\r\n".encode())
    previously_sent = -1
    try:
        while sent == 0 or sent != previously_sent:
            previously_sent = sent
            await asyncio.sleep(0.2)
        buffer_sizes = [t.get_write_buffer_size() for t in edge.list_transports()]
        assert sent < MAX_BUFFERED_BYTES, sent
        assert max(buffer_sizes) <= MAX_WRITE_BUFFER_BYTES, buffer_sizes
    finally:
        writer.transport.abort()
    await wait_until(lambda: edge.permits.held_count == 0)


async def test_caller_disconnect_cancels_the_run_and_releases_the_permit(
    edge: EdgeHarness,
) -> None:
    engine = EngineStandin(token_time=0.01)
    await edge.start_server(engine.build_application(), "assistant")
    await edge.start()
    requesting = asyncio.ensure_future(request_completion(edge, "gone", 5_000))
    await wait_until(lambda: edge.permits.granted and edge.permits.granted[0].cost)
    requesting.cancel()
    await wait_until(lambda: engine.cancelled["gone"])
    await wait_until(lambda: edge.permits.held_count == 0)
    assert not edge.permits.released[0].failed
    assert len(edge.board.suspect_requests) == 0


async def test_caller_disconnect_in_the_queue_leaves_no_state(
    edge: EdgeHarness,
) -> None:
    engine = EngineStandin()
    await edge.start_server(engine.build_application(), "assistant")
    await edge.start()
    edge.permits.paused = True
    requesting = asyncio.ensure_future(request_completion(edge, "queued", 5))
    await wait_until(lambda: edge.board.queues.count_waiting("assistant", "oakcourt"))
    requesting.cancel()
    await wait_until(
        lambda: not edge.board.queues.count_waiting("assistant", "oakcourt")
    )
    await wait_until(lambda: not edge.board.lifecycle.requests_in_progress)
    assert edge.permits.granted == []
    assert not engine.started


async def test_caller_disconnect_at_the_moment_of_the_grant_releases_the_permit(
    edge: EdgeHarness,
) -> None:
    await edge.start_server(BookingStandin().build_application(), "bookings")
    await edge.start()
    call = edge.create_call("GET", "/bookings")
    # The cancellation arrives at a different await on the way from the grant
    # to the answer for each number of event loop iterations.
    for loop_iterations in range(6):
        edge.permits.paused = True
        answering = asyncio.ensure_future(edge.calls.answer(call))
        await wait_until(
            lambda: edge.board.queues.count_waiting("bookings", "oakcourt")
        )
        edge.permits.paused = False
        edge.permits.grant()
        for _ in range(loop_iterations):
            await asyncio.sleep(0)
        answering.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await answering
        assert edge.permits.held_count == 0, loop_iterations


async def test_deadline_at_the_moment_of_the_grant_releases_the_permit(
    edge: EdgeHarness,
) -> None:
    await edge.start_server(BookingStandin().build_application(), "bookings")
    await edge.start()
    edge.permits.paused = True
    call = edge.create_call("GET", "/bookings", timeout=0.05)
    answering = asyncio.ensure_future(edge.calls.answer(call))
    await asyncio.sleep(0)
    # Blocking the event loop makes the grant and the timeout due at once.
    edge.block_event_loop_until(call.deadline + 0.01)
    edge.permits.paused = False
    edge.permits.grant()
    with contextlib.suppress(Exception):
        answer = await answering
        await answer.chunks.aclose()
    assert len(edge.permits.granted) == 1
    assert edge.permits.held_count == 0


async def test_closing_an_unread_answer_releases_its_permit(edge: EdgeHarness) -> None:
    await edge.start_server(BookingStandin().build_application(), "bookings")
    await edge.start()
    answer = await edge.calls.answer(edge.create_call("GET", "/bookings"))
    await answer.chunks.aclose()
    assert edge.permits.held_count == 0
