"""
Test real routers with clients that don't keep to the limits.

Each test guards against a crowd that makes a router run out of memory or of
descriptors, or end. Nothing that is checked depends on the machine's speed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.support import hostile_clients as clients
from tests.support.hostile_checks import check_crowd, exchange
from tests.support.hostile_routers import DESCRIPTORS

if TYPE_CHECKING:
    from tests.support.hostile_routers import HostileEdge, HostileGateway

FEW = 40
"""Clients of a crowd in which each takes megabytes."""
PIPELINING = 20
"""Clients that each send hundreds of requests."""
SOME = 120
"""Clients of a crowd in which each takes up to a megabyte."""
MANY = DESCRIPTORS + 100
"""Clients of a crowd that takes all descriptors."""
PIECE_PAUSE_SECONDS = 0.02
"""Pause after each of 64 pieces; routes of the tests take 3 s in all."""


async def test_published_routes_outlive_bodies_that_stop_just_short(
    hostile_gateway: HostileGateway,
) -> None:
    await check_crowd(hostile_gateway, FEW, clients.send_short_body)


async def test_published_routes_outlive_bodies_in_small_pieces_that_stop_just_short(
    hostile_gateway: HostileGateway,
) -> None:
    await check_crowd(hostile_gateway, FEW, clients.send_body_in_pieces)


async def test_published_routes_outlive_chunked_bodies_that_stop_just_short(
    hostile_gateway: HostileGateway,
) -> None:
    await check_crowd(hostile_gateway, FEW, clients.send_body_in_chunks)


async def test_published_routes_outlive_bodies_far_over_the_limit(
    hostile_gateway: HostileGateway,
) -> None:
    await check_crowd(hostile_gateway, FEW, clients.send_oversized_body)


async def test_published_routes_outlive_chunked_bodies_far_over_the_limit(
    hostile_gateway: HostileGateway,
) -> None:
    await check_crowd(hostile_gateway, FEW, clients.send_oversized_chunks)


async def test_published_routes_outlive_legal_heads_of_very_short_fields(
    hostile_gateway: HostileGateway,
) -> None:
    await check_crowd(hostile_gateway, SOME, clients.send_short_fields)


async def test_published_routes_outlive_heads_that_never_end(
    hostile_gateway: HostileGateway,
) -> None:
    await check_crowd(hostile_gateway, FEW, clients.send_endless_head)


async def test_published_routes_outlive_heads_of_short_fields_that_never_end(
    hostile_gateway: HostileGateway,
) -> None:
    await check_crowd(hostile_gateway, SOME, clients.send_endless_short_fields)


async def test_published_routes_outlive_pipelined_requests_without_reading(
    hostile_gateway: HostileGateway,
) -> None:
    await check_crowd(hostile_gateway, PIPELINING, clients.send_pipelined_requests)


async def test_published_routes_outlive_pipelined_bodies_without_reading(
    hostile_gateway: HostileGateway,
) -> None:
    await check_crowd(hostile_gateway, PIPELINING, clients.send_pipelined_bodies)


async def test_published_routes_outlive_more_silent_connections_than_descriptors(
    hostile_gateway: HostileGateway,
) -> None:
    await check_crowd(hostile_gateway, MANY, clients.send_nothing)


async def test_published_routes_outlive_more_half_heads_than_descriptors(
    hostile_gateway: HostileGateway,
) -> None:
    await check_crowd(hostile_gateway, MANY, clients.send_half_head)


async def test_published_routes_outlive_more_half_bodies_than_descriptors(
    hostile_gateway: HostileGateway,
) -> None:
    await check_crowd(hostile_gateway, MANY, clients.send_half_body)


async def test_published_routes_outlive_more_slow_senders_than_descriptors(
    hostile_gateway: HostileGateway,
) -> None:
    await check_crowd(hostile_gateway, MANY, clients.send_half_body, drip=b"x")


async def test_published_routes_outlive_more_slow_heads_than_descriptors(
    hostile_gateway: HostileGateway,
) -> None:
    await check_crowd(hostile_gateway, MANY, clients.send_half_head, drip=b"x")


async def test_published_routes_outlive_clients_that_read_nothing(
    hostile_gateway: HostileGateway,
) -> None:
    await check_crowd(hostile_gateway, SOME, clients.request_large_answer)


async def test_published_routes_outlive_more_slow_readers_than_descriptors(
    hostile_gateway: HostileGateway,
) -> None:
    await check_crowd(
        hostile_gateway, MANY, clients.request_large_answer, reads_slowly=True
    )


async def test_own_interface_outlives_bodies_that_stop_just_short(
    hostile_edge: HostileEdge,
) -> None:
    await check_crowd(hostile_edge, FEW, clients.send_short_body)


async def test_own_interface_outlives_bodies_in_small_pieces_that_stop_just_short(
    hostile_edge: HostileEdge,
) -> None:
    await check_crowd(hostile_edge, FEW, clients.send_body_in_pieces)


async def test_own_interface_outlives_chunked_bodies_that_stop_just_short(
    hostile_edge: HostileEdge,
) -> None:
    await check_crowd(hostile_edge, FEW, clients.send_body_in_chunks)


async def test_own_interface_outlives_bodies_far_over_the_limit(
    hostile_edge: HostileEdge,
) -> None:
    await check_crowd(hostile_edge, FEW, clients.send_oversized_body)


async def test_own_interface_outlives_chunked_bodies_far_over_the_limit(
    hostile_edge: HostileEdge,
) -> None:
    await check_crowd(hostile_edge, FEW, clients.send_oversized_chunks)


async def test_own_interface_outlives_legal_heads_of_very_short_fields(
    hostile_edge: HostileEdge,
) -> None:
    await check_crowd(hostile_edge, SOME, clients.send_short_fields)


async def test_own_interface_outlives_heads_that_never_end(
    hostile_edge: HostileEdge,
) -> None:
    await check_crowd(hostile_edge, FEW, clients.send_endless_head)


async def test_own_interface_outlives_heads_of_short_fields_that_never_end(
    hostile_edge: HostileEdge,
) -> None:
    await check_crowd(hostile_edge, SOME, clients.send_endless_short_fields)


async def test_own_interface_outlives_pipelined_requests_without_reading(
    hostile_edge: HostileEdge,
) -> None:
    await check_crowd(hostile_edge, PIPELINING, clients.send_pipelined_requests)


async def test_own_interface_outlives_pipelined_bodies_without_reading(
    hostile_edge: HostileEdge,
) -> None:
    await check_crowd(hostile_edge, PIPELINING, clients.send_pipelined_bodies)


async def test_own_interface_outlives_more_silent_connections_than_descriptors(
    hostile_edge: HostileEdge,
) -> None:
    await check_crowd(hostile_edge, MANY, clients.send_nothing)


async def test_own_interface_outlives_more_half_heads_than_descriptors(
    hostile_edge: HostileEdge,
) -> None:
    await check_crowd(hostile_edge, MANY, clients.send_half_head)


async def test_own_interface_outlives_more_half_bodies_than_descriptors(
    hostile_edge: HostileEdge,
) -> None:
    await check_crowd(hostile_edge, MANY, clients.send_half_body)


async def test_own_interface_outlives_more_slow_senders_than_descriptors(
    hostile_edge: HostileEdge,
) -> None:
    await check_crowd(hostile_edge, MANY, clients.send_half_body, drip=b"x")


async def test_own_interface_outlives_more_slow_heads_than_descriptors(
    hostile_edge: HostileEdge,
) -> None:
    await check_crowd(hostile_edge, MANY, clients.send_half_head, drip=b"x")


async def test_own_interface_outlives_clients_that_read_nothing(
    hostile_edge: HostileEdge,
) -> None:
    await check_crowd(hostile_edge, SOME, clients.request_large_answer)


async def test_own_interface_outlives_more_slow_readers_than_descriptors(
    hostile_edge: HostileEdge,
) -> None:
    await check_crowd(
        hostile_edge, MANY, clients.request_large_answer, reads_slowly=True
    )


async def test_published_routes_serve_a_legal_request_of_very_short_fields(
    hostile_gateway: HostileGateway,
) -> None:
    target = hostile_gateway.targets[0]
    status = await exchange(target, clients.send_whole_short_fields(target))
    assert status == 200, status


async def test_published_routes_serve_the_largest_body_in_slow_pieces(
    hostile_gateway: HostileGateway,
) -> None:
    target = hostile_gateway.targets[0]
    pieces = clients.send_whole_body(target)
    status = await exchange(target, pieces, PIECE_PAUSE_SECONDS)
    assert status == 200, status


async def test_own_interface_serves_a_legal_request_of_very_short_fields(
    hostile_edge: HostileEdge,
) -> None:
    target = hostile_edge.targets[0]
    status = await exchange(target, clients.send_whole_short_fields(target))
    assert status == 200, status


async def test_own_interface_serves_the_largest_body_in_slow_pieces(
    hostile_edge: HostileEdge,
) -> None:
    target = hostile_edge.targets[0]
    pieces = clients.send_whole_body(target)
    status = await exchange(target, pieces, PIECE_PAUSE_SECONDS)
    assert status == 200, status
