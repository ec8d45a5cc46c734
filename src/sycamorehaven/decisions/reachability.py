"""How long to avoid a backend server after failed attempts to reach it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from random import Random

MAX_FAILED_POLLS = 3
"""Consecutive failed reads of a server's load after which it is avoided."""
INITIAL_AVOIDANCE_SECONDS = 0.5
"""Avoidance time after the first failure; doubles with each further one."""
MAX_AVOIDANCE_SECONDS = 8.0
"""Longest time before an avoided server is tried again."""
TRIAL_SECONDS = 1.0
"""Length of the trial of a server whose load could not be read."""
MAX_HELPERS = 2
"""Number of routers asked to read a load that this router can't read."""


def compute_avoidance_seconds(failure_count: int) -> float:
    """Return how long to avoid a server after consecutive failures."""
    return min(
        INITIAL_AVOIDANCE_SECONDS * 2.0 ** min(failure_count - 1, 10),
        MAX_AVOIDANCE_SECONDS,
    )


def choose_helpers(
    own_host: str, domain: str, domains: Mapping[str, str], random: Random
) -> list[str]:
    """
    Return the routers to ask to read a server's load.

    Routers in the server's failure domain alternate with routers elsewhere;
    one in the failure domain comes first.

    :param own_host: host of this router, which can't read the load.
    :param domain: failure domain of the server.
    :param domains: failure domain of each live host.
    :param random: source of the choice.
    """
    local = _sample_hosts(
        (
            host
            for host, host_domain in domains.items()
            if host != own_host and host_domain == domain
        ),
        random,
    )
    remote = _sample_hosts(
        (
            host
            for host, host_domain in domains.items()
            if host != own_host and host_domain != domain
        ),
        random,
    )
    return (local[:1] + remote[:1] + local[1:] + remote[1:])[:MAX_HELPERS]


def _sample_hosts(hosts: Iterable[str], random: Random) -> list[str]:
    sorted_hosts = sorted(hosts)
    return random.sample(sorted_hosts, min(MAX_HELPERS, len(sorted_hosts)))
