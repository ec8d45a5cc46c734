"""How long a backend server is avoided after failures to reach it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from random import Random

MOST_FAILED_POLLS = 3
"""Failed reads of its load after which a server is avoided."""
FIRST_AVOIDANCE = 0.5
"""Seconds for which a server is avoided at first; doubles each time."""
LONGEST_AVOIDANCE = 8.0
"""Seconds after which an avoided server is tried again at the latest."""
TRIAL = 1.0
"""Seconds for which a server whose load can't be read is tried again."""
HELPERS = 2
"""Routers asked to read a load that this one can't."""


def compute_avoidance(failures: int) -> float:
    """Return the seconds to avoid a server after failures in a row."""
    return min(FIRST_AVOIDANCE * 2.0 ** min(failures - 1, 10), LONGEST_AVOIDANCE)


def choose_helpers(
    own: str, domain: str, domains: Mapping[str, str], random: Random
) -> list[str]:
    """
    Return routers to read a server's load, those of its domain first.

    :param own: this host, which can't read it.
    :param domain: the server's failure domain.
    :param domains: failure domain of each live host.
    """
    near = _draw((h for h, d in domains.items() if h != own and d == domain), random)
    far = _draw((h for h, d in domains.items() if h != own and d != domain), random)
    return (near[:1] + far[:1] + near[1:] + far[1:])[:HELPERS]


def _draw(hosts: Iterable[str], random: Random) -> list[str]:
    listed = sorted(hosts)
    return random.sample(listed, min(HELPERS, len(listed)))
