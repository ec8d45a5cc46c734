"""
Which router answers a request that this one has no time for.

The load balancer sends all connections of a client to one host, and the load
of a workspace with few clients to one host after the other, none of which may
be able to carry it. The hosts of the failure domain can carry it together. To
pass the bytes of a request and its answer on takes less time than to serve
it: nothing of the answer is parsed, and no engine has to be chosen.

The load pattern that this answers: a workspace sends one host several times
what it relays, beside hosts that have time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sycamorehaven.decisions.rotation import RotationReport

MIN_SPARE_CORES = 0.05
"""Processor that a router must have left to be sent requests, in cores."""
MAX_LAG_SECONDS = 0.15
"""Lag of the event loop from which no request is passed on any more. A host
whose quota is a third of a core is 0.06 s late whenever it is busy."""
DESCRIPTORS_RATIO = 0.08
"""Requests that are passed on at a time, as a fraction of the process's file
descriptors; each uses two."""
REQUESTS_PER_CORE = 512
"""The same for each core of the host."""


class OffloadPeer(NamedTuple):
    """
    A router that may answer a request.

    :ivar host: its host.
    :ivar callers_address: where it accepts requests, ``ip:port``.
    """

    host: str
    callers_address: str


def choose_max_offloads(descriptors: int, cores: float) -> int:
    """
    Return how many requests other routers may answer at a time.

    :param descriptors: number of file descriptors of the process.
    :param cores: processor that the host has, in cores.
    """
    return int(min(DESCRIPTORS_RATIO * descriptors, REQUESTS_PER_CORE * cores))


def choose_peer(
    reports: Mapping[str, RotationReport], position: float
) -> OffloadPeer | None:
    """
    Return the router that answers a request.

    Each gets requests in proportion to the processor that it has left.

    :param reports: what the routers of the failure domain said, by host.
    :param position: a random number, at least 0 and less than 1.
    :returns: ``None`` if no router has time.
    """
    able = [
        (host, report)
        for host, report in reports.items()
        if report.callers_address
        and not report.is_absent
        and report.spare_cores >= MIN_SPARE_CORES
    ]
    remaining = position * sum(report.spare_cores for _, report in able)
    for host, report in able:
        remaining -= report.spare_cores
        if remaining < 0.0:
            return OffloadPeer(host, report.callers_address)
    return None
