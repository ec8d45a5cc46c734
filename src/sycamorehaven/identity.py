"""Names of routers: a host and the incarnation of its process."""

from __future__ import annotations

import secrets
import time
from typing import NamedTuple

INCARNATION_RANDOM_BITS = 20


class RouterId(NamedTuple):
    """
    One process of the fleet.

    :ivar host: name of the host, unique in the fleet.
    :ivar incarnation: larger for every later process on the same host.
    """

    host: str
    incarnation: int

    def format(self) -> str:
        """Return ``host/incarnation``."""
        return f"{self.host}/{self.incarnation}"


def create_incarnation() -> int:
    """
    Return a new incarnation: milliseconds since the epoch, then random bits.

    The random bits keep two starts within one millisecond, or before and
    after a clock step, apart.
    """
    milliseconds = time.time_ns() // 1_000_000
    return (milliseconds << INCARNATION_RANDOM_BITS) | secrets.randbits(
        INCARNATION_RANDOM_BITS
    )
