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

BROADCAST_PERIOD_PER_MEMBER_SECONDS = 0.005
"""Broadcast interval for each member of a fleet without collectors."""
MIN_BROADCAST_PERIOD_SECONDS = 0.02
"""Shortest broadcast interval."""
COLLECTED_PERIOD_PER_MEMBER_SECONDS = 0.0025
"""Interval of reports for each member of a fleet with collectors."""
MIN_COLLECTED_PERIOD_SECONDS = 0.2
"""Shortest interval of reports in a fleet with collectors."""
COLLECTION_DELAY_SECONDS = 0.5
"""Time that two collectors may hold a report."""
REPORT_LIFETIME_PERIODS = 2.0
"""Number of broadcast intervals for which a report counts."""
MIN_SETTLE_SECONDS = 0.5
"""Shortest time after which all routers count as having heard a report."""


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


def choose_broadcast_period_seconds(members: int) -> float:
    """
    Return the broadcast interval in seconds.

    It grows with the number of members, so that the reports that a router
    handles per second are the same in a fleet of any size.
    """
    if uses_collectors(members):
        period = members * COLLECTED_PERIOD_PER_MEMBER_SECONDS
        return max(period, MIN_COLLECTED_PERIOD_SECONDS)
    return max(
        members * BROADCAST_PERIOD_PER_MEMBER_SECONDS, MIN_BROADCAST_PERIOD_SECONDS
    )


def choose_news_period_seconds(members: int) -> float:
    """
    Return how long it takes until all routers know what one has reported.

    :param members: number of members of the fleet.
    """
    delay = COLLECTION_DELAY_SECONDS if uses_collectors(members) else 0.0
    return choose_broadcast_period_seconds(members) + delay


def choose_report_lifetime_seconds(members: int, shortest: float) -> float:
    """
    Return how long reported waiting requests count, in seconds.

    It outlasts the time until the next report, and one lost message.

    :param members: number of members of the fleet.
    :param shortest: shortest time for which they count.
    """
    lifetime = choose_broadcast_period_seconds(members) * REPORT_LIFETIME_PERIODS
    if uses_collectors(members):
        lifetime += COLLECTION_DELAY_SECONDS
    return max(lifetime, shortest)


def choose_settle_seconds(members: int) -> float:
    """
    Return the time in which all routers have heard what one has told.

    :param members: number of members of the fleet.
    """
    return choose_report_lifetime_seconds(members, MIN_SETTLE_SECONDS)
