"""The limits of clients of published routes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.transport.client_limits.pool import ConnectionLimits
from sycamorehaven.transport.problem_details import PROTOCOL_OPTIONS

if TYPE_CHECKING:
    from sycamorehaven.routing.model import RequestLimits

DEFAULT_IDLE_TIMEOUT_SECONDS = 60.0
"""Time limit for an unused connection until a configuration sets another."""
DEFAULT_HEADER_BYTES = 16_384
"""Limit of a request's headers until a configuration sets another."""
DEFAULT_HEADER_TIMEOUT_SECONDS = 3.0
"""Time limit of a head until a configuration sets another."""
MIN_FIELD_BYTES = 5
"""Size of the shortest header, as ``measure_headers`` counts it."""


def create_frontend_limits(
    limits: RequestLimits | None, connections: int
) -> ConnectionLimits:
    """
    Return the limits of connections.

    :param limits: those of the configuration, if there is one yet.
    :param connections: connections that may be open at a time.
    """
    header_bytes = DEFAULT_HEADER_BYTES
    header_timeout = DEFAULT_HEADER_TIMEOUT_SECONDS
    idle_timeout = DEFAULT_IDLE_TIMEOUT_SECONDS
    if limits is not None:
        header_bytes, header_timeout = limits.max_header_bytes, limits.header_timeout
        idle_timeout = limits.idle_timeout
    return ConnectionLimits(
        connections=connections,
        head_bytes=header_bytes + PROTOCOL_OPTIONS["max_line_size"],
        header_timeout=header_timeout,
        body_timeout=idle_timeout,
        write_timeout=idle_timeout,
    )


def get_max_fields(limits: ConnectionLimits) -> int:
    """Return more headers than a request inside the limits can have."""
    return limits.head_bytes // MIN_FIELD_BYTES
