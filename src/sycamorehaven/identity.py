"""Identities of routers, which consist of a host and an incarnation."""

from __future__ import annotations

import secrets
import time
from typing import NamedTuple

INCARNATION_RANDOM_BITS = 20
"""Number of random bits in an incarnation."""


class RouterId(NamedTuple):
    """
    Identity of one router process.

    :ivar host: name of the host, unique in the fleet.
    :ivar incarnation: number of the process; of two processes on a host, the
        later one has the larger number.
    """

    host: str
    incarnation: int

    def format(self) -> str:
        """Return ``host/incarnation``."""
        return f"{self.host}/{self.incarnation}"


def create_incarnation() -> int:
    """
    Create an incarnation from the time and random bits.

    The upper bits are the milliseconds since the epoch. The random lower bits
    distinguish processes that start in the same millisecond, or at the same
    clock reading before and after the clock was set back.
    """
    milliseconds = time.time_ns() // 1_000_000
    return (milliseconds << INCARNATION_RANDOM_BITS) | secrets.randbits(
        INCARNATION_RANDOM_BITS
    )
