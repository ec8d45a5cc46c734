"""
The ways that news take through a large fleet.

If each router told each other one what it does, the messages of the fleet
would grow with the square of its size. So each router reports to one collector
in its failure domain. The collectors pass the reports on to each other and to
the routers that report to them, a batch at a time. A failure domain that is
cut off has collectors of its own.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sycamorehaven.decisions.rendezvous import rank_candidates

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

DIRECT_FLEET_SIZE = 19
"""Largest fleet in which each router tells each other one directly."""
ROUTERS_PER_COLLECTOR = 16
"""Routers of a failure domain for each of its collectors."""


def uses_collectors(members: int) -> bool:
    """Return whether news go through collectors in a fleet of this size."""
    return members > DIRECT_FLEET_SIZE


def choose_collectors(domain: str, hosts: Collection[str]) -> list[str]:
    """
    Return the collectors of a failure domain.

    :param domain: name of the failure domain.
    :param hosts: its live hosts.
    """
    count = math.ceil(len(hosts) / ROUTERS_PER_COLLECTOR)
    return rank_candidates(f"collector/{domain}", hosts)[:count]


def map_collectors(domains: Mapping[str, str]) -> dict[str, list[str]]:
    """
    Return the collectors of each failure domain.

    :param domains: failure domain of each live host.
    """
    hosts: dict[str, list[str]] = {}
    for host, domain in domains.items():
        hosts.setdefault(domain, []).append(host)
    return {domain: choose_collectors(domain, names) for domain, names in hosts.items()}


def choose_collector(
    host: str, collectors: Iterable[str], silent: Collection[str]
) -> str | None:
    """
    Return the collector that a router reports to.

    :param host: host of the router; a collector reports to itself.
    :param collectors: collectors of its failure domain.
    :param silent: collectors that have not answered its reports.
    :returns: ``None`` if all of them are silent.
    """
    candidates = list(collectors)
    if host in candidates:
        return host
    audible = [name for name in candidates if name not in silent]
    return rank_candidates(f"reporter/{host}", audible)[0] if audible else None
