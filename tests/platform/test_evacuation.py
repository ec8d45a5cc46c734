"""Evacuation of a failure domain by an item of the platform's store."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any
from unittest import mock

import msgspec

from sycamorehaven.routing.model import Evacuation
from tests.support import gateway_harness
from tests.support.fixtures import async_fixture
from tests.support.gateway_client import COMPLETE_STREAM, send_request
from tests.support.gateway_harness import GatewayHarness, wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ITEM = "op/evacuate/north"
"""Item that evacuates the router's own failure domain, whose server ``s2`` it
prefers."""


@async_fixture
async def domains() -> AsyncIterator[GatewayHarness]:
    """Yield a harness with ``s1`` in the south and ``s2`` in the north."""
    made = GatewayHarness()
    made.servers[0].failure_domain = "south"
    try:
        await made.start()
        yield made
    finally:
        await made.stop()


def record_lines(harness: GatewayHarness) -> list[tuple[str, dict[str, Any]]]:
    """Return a list that receives the lines of the decision log."""
    lines: list[tuple[str, dict[str, Any]]] = []
    assert harness.gateway is not None
    harness.gateway.decision_log.record = (  # type: ignore[method-assign]
        lambda event, **fields: lines.append((event, fields))
    )
    return lines


def evacuate_now(harness: GatewayHarness, domain: str) -> None:
    """Let the router know at once that a failure domain is evacuated."""
    routing = harness.board.routing
    assert routing.snapshot is not None
    evacuations = (Evacuation(domain, 9_000),)
    routing.apply_snapshot(
        routing.snapshot._replace(
            revision=9_000, operator_revision=9_000, evacuations=evacuations
        ),
        time.monotonic(),
    )


async def send_many(harness: GatewayHarness, path: str, method: str = "GET") -> None:
    """Send more requests at a time than one server has slots for."""
    statuses = await asyncio.gather(
        *(send_request(harness, path, method, attempt=f"a{n}") for n in range(6))
    )
    assert [status for status, *_ in statuses] == [200] * 6


# Without the evacuation, both servers get a part of the requests.
async def test_nothing_is_sent_to_a_domain_until_its_evacuation_ends(
    domains: GatewayHarness,
) -> None:
    lines = record_lines(domains)
    domains.store.put(ITEM, {})
    await domains.wait_for_store()
    for path, method in (
        ("/look/1", "GET"),
        ("/book/1", "POST"),
        ("/stream/1", "POST"),
    ):
        await send_many(domains, path, method)
    assert not domains.servers[1].received_headers
    domains.store.remove(ITEM)
    await domains.wait_for_store()
    await send_many(domains, "/look/2")
    assert domains.servers[1].received_headers
    told = [(event, fields) for event, fields in lines if "evacuation" in event]
    assert [event for event, _ in told] == ["evacuation_begun", "evacuation_ended"]
    assert all(fields["domain"] == "north" for _, fields in told)
    assert all(fields["servers"] == 1 for _, fields in told)


async def test_requests_are_rejected_at_once_if_all_servers_are_evacuated(
    domains: GatewayHarness,
) -> None:
    domains.store.put(ITEM, {})
    domains.store.put("op/evacuate/south", {})
    await domains.wait_for_store()
    began_at = time.monotonic()
    for path, method in (("/look/1", "GET"), ("/stream/1", "POST")):
        status, body, headers = await send_request(domains, path, method)
        problem = msgspec.json.decode(body)
        assert (status, problem["code"]) == (503, "domains_evacuated")
        assert problem["was_run"] == "no"
        assert 0.0 < float(headers["Retry-After"]) <= 3.0
    assert time.monotonic() - began_at < 1.0
    assert not any(server.received_headers for server in domains.servers)


# A lost item would let the servers get requests before the operator has
# written it again.
async def test_evacuation_that_a_restored_copy_lacks_holds_for_a_while(
    domains: GatewayHarness,
) -> None:
    copied = domains.store.copy()
    domains.store.put(ITEM, {})
    await domains.wait_for_store()
    domains.store.restore(copied)
    await wait_until(lambda: domains.board.routing.position[0] == 1)
    restored_at = time.monotonic()
    while time.monotonic() - restored_at < 1.6:
        await send_many(domains, "/look/1")
        await asyncio.sleep(0.1)
    assert not domains.servers[1].received_headers
    await wait_until(lambda: not domains.board.routing.evacuated_domains)
    assert time.monotonic() - restored_at > 2.2
    await send_many(domains, "/look/2")
    assert domains.servers[1].received_headers


async def test_resumed_stream_does_not_go_to_an_evacuated_domain(
    domains: GatewayHarness,
) -> None:
    third = await domains.add_server("s3", "v1", "south")
    domains.servers[0].behaviour = "break"
    domains.store.put(ITEM, {})
    await domains.wait_for_store()
    for number in range(6):
        status, body, _ = await send_request(
            domains, "/stream/1", "POST", attempt=f"a{number}"
        )
        assert (status, body) == (200, COMPLETE_STREAM)
    assert third.received_headers
    assert not domains.servers[1].received_headers


async def test_running_stream_ends_at_its_server(domains: GatewayHarness) -> None:
    domains.servers[1].behaviour = "preempt"
    # Shorter than the silence after which a stream goes on elsewhere.
    with mock.patch.object(gateway_harness, "PREEMPTION_SECONDS", 1.2):
        stream = asyncio.create_task(send_request(domains, "/stream/1", "POST"))
        await wait_until(lambda: domains.servers[1].received_headers)
        evacuate_now(domains, "north")
        assert not stream.done()
        assert (await stream)[:2] == (200, COMPLETE_STREAM)
    assert not domains.servers[0].received_headers


async def test_request_whose_connection_opens_late_goes_elsewhere(
    domains: GatewayHarness,
) -> None:
    # The server is chosen; the evacuation comes before the first byte.
    chosen = domains.servers[1]
    assert domains.gateway is not None
    recorder = domains.gateway.condition_recorder
    check = recorder.check_open
    checked: list[str] = []

    def evacuate_and_check(server: Any, copy_source: str = "") -> None:
        if not checked:
            evacuate_now(domains, "north")
        checked.append(server.id)
        check(server, copy_source)

    recorder.check_open = evacuate_and_check  # type: ignore[method-assign]
    status, body, _ = await send_request(domains, "/book/1", "POST")
    assert (status, body) == (200, b"by s1")
    assert checked == ["s2", "s1"]
    assert not chosen.received_headers


async def test_odd_items_are_kept_or_ignored_and_logged_once(
    domains: GatewayHarness,
) -> None:
    lines = record_lines(domains)
    for key in ("op/evacuate/", "op/evacuate/" + "x" * 1_000, "op/evacuate/nowhere"):
        domains.store.put(key, b"\xff")
    await domains.wait_for_store()
    domains.store.put("op/other", {})
    await domains.wait_for_store()
    assert domains.board.routing.evacuated_domains == {"nowhere"}
    await send_many(domains, "/look/1")
    unknown = [
        fields for event, fields in lines if event == "evacuation_unknown_domain"
    ]
    assert [fields["domain"] for fields in unknown] == ["nowhere"]
