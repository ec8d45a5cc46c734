"""
Test real routers with large crowds that don't keep to the limits.

The crowds are larger than those of ``test_hostile_clients``; the checks are
the same.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.support import hostile_clients as clients
from tests.support.hostile_checks import check_crowd

if TYPE_CHECKING:
    from tests.support.hostile_routers import HostileEdge, HostileGateway

MANY = 150
"""Clients of a crowd at each target."""


async def test_published_routes_outlive_many_bodies_that_stop_just_short(
    hostile_gateway: HostileGateway,
) -> None:
    await check_crowd(hostile_gateway, MANY, clients.send_short_body)


async def test_published_routes_outlive_many_bodies_in_small_pieces(
    hostile_gateway: HostileGateway,
) -> None:
    await check_crowd(hostile_gateway, MANY, clients.send_body_in_pieces)


async def test_published_routes_outlive_many_large_chunks_that_stop_just_short(
    hostile_gateway: HostileGateway,
) -> None:
    await check_crowd(hostile_gateway, MANY, clients.send_large_chunk)


async def test_published_routes_outlive_many_bodies_in_chunks_of_one_byte(
    hostile_gateway: HostileGateway,
) -> None:
    await check_crowd(hostile_gateway, MANY, clients.send_tiny_chunks)


async def test_published_routes_outlive_empty_lines_without_end(
    hostile_gateway: HostileGateway,
) -> None:
    await check_crowd(hostile_gateway, MANY, clients.send_empty_lines, drip=b"\r\n")


async def test_own_interface_outlives_many_bodies_that_stop_just_short(
    hostile_edge: HostileEdge,
) -> None:
    await check_crowd(hostile_edge, MANY, clients.send_short_body)


async def test_own_interface_outlives_many_bodies_in_small_pieces(
    hostile_edge: HostileEdge,
) -> None:
    await check_crowd(hostile_edge, MANY, clients.send_body_in_pieces)


async def test_own_interface_outlives_many_large_chunks_that_stop_just_short(
    hostile_edge: HostileEdge,
) -> None:
    await check_crowd(hostile_edge, MANY, clients.send_large_chunk)


async def test_own_interface_outlives_many_bodies_in_chunks_of_one_byte(
    hostile_edge: HostileEdge,
) -> None:
    await check_crowd(hostile_edge, MANY, clients.send_tiny_chunks)


async def test_own_interface_outlives_empty_lines_without_end(
    hostile_edge: HostileEdge,
) -> None:
    await check_crowd(hostile_edge, MANY, clients.send_empty_lines, drip=b"\r\n")
