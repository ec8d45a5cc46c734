"""
Which routers read the platform's store, and how often.

Each read costs the platform a call, and a snapshot that one router has read
reaches the others within a second. So in a large fleet two routers read at
short intervals. The others read only if their snapshot gets old because these
cannot read or cannot be heard: first the readers of each failure domain, then
every router.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.decisions.rendezvous import rank_candidates
from sycamorehaven.decisions.roles import choose_configuration_readers

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_ALL_READERS_FLEET_SIZE = 12
"""Largest fleet in which every router reads at short intervals."""
FLEET_READERS = 2
"""Routers of a large fleet that read at short intervals."""
DOMAIN_READER_AGE_SECONDS = 1.3
"""Age of the snapshot from which the readers of a failure domain read."""
MAX_SNAPSHOT_AGE_SECONDS = 2.0
"""Age of the snapshot from which any router reads."""


def choose_read_age(host: str, domains: Mapping[str, str]) -> float:
    """
    Return the age of its snapshot from which a router reads, in seconds.

    :param host: host of the router.
    :param domains: failure domain of each live host.
    :returns: 0 if it reads at short intervals.
    """
    if len(domains) <= MAX_ALL_READERS_FLEET_SIZE:
        return 0.0
    hosts: dict[str, list[str]] = {}
    for name, domain in domains.items():
        hosts.setdefault(domain, []).append(name)
    readers = [
        reader
        for domain, names in hosts.items()
        for reader in choose_configuration_readers(domain, names)
    ]
    if host in rank_candidates("reader", readers)[:FLEET_READERS]:
        return 0.0
    return DOMAIN_READER_AGE_SECONDS if host in readers else MAX_SNAPSHOT_AGE_SECONDS
