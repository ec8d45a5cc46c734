"""How long a backend server is avoided after failures to reach it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from random import Random

MAX_FAILED_POLLS = 3
"""Failed reads of its load after which a server is avoided."""
INITIAL_AVOIDANCE_SECONDS = 0.5
"""Seconds for which a server is avoided at first; doubles each time."""
MAX_AVOIDANCE_SECONDS = 8.0
"""Seconds after which an avoided server is tried again at the latest."""
TRIAL_SECONDS = 1.0
"""Seconds for which a server whose load can't be read is tried again."""
MAX_HELPERS = 2
"""Routers asked to read a load that this one can't."""


def compute_avoidance_seconds(failures: int) -> float:
    """Return the seconds to avoid a server after failures in a row."""
    return min(
        INITIAL_AVOIDANCE_SECONDS * 2.0 ** min(failures - 1, 10), MAX_AVOIDANCE_SECONDS
    )


def choose_helpers(
    own_host: str, domain: str, domains: Mapping[str, str], random: Random
) -> list[str]:
    """
    Return routers to read a server's load, those of its domain first.

    :param own: this host, which can't read it.
    :param domain: the server's failure domain.
    :param domains: failure domain of each live host.
    """
    local = _sample_hosts(
        (h for h, d in domains.items() if h != own_host and d == domain), random
    )
    remote = _sample_hosts(
        (h for h, d in domains.items() if h != own_host and d != domain), random
    )
    return (local[:1] + remote[:1] + local[1:] + remote[1:])[:MAX_HELPERS]


def _sample_hosts(hosts: Iterable[str], random: Random) -> list[str]:
    listed = sorted(hosts)
    return random.sample(listed, min(MAX_HELPERS, len(listed)))
