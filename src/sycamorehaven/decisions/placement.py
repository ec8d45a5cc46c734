"""
Where a request goes.

Load pattern: every subject has a long prompt part in common with others about
it. A server that keeps the part reads a fifth of the prompt, so requests about
one subject go where it was read last, unless what waits there costs more time
than reading it elsewhere.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.decisions.server_model import FIRST_TOKEN
from sycamorehaven.routing.model import ServerRecord

if TYPE_CHECKING:
    from collections.abc import Sequence


REREAD_WEIGHT = 2.0
"""Weight of reading a part again: it delays this request and those behind."""
HOME_STEP = 0.03
"""Seconds that each rank in the common order puts a server behind."""
COPY_COST = 0.015
"""Seconds that copying a thousand tokens of a prompt puts a server behind."""
FAR_COST = 0.004
"""Seconds that another failure domain costs a plain request."""
ERROR_COST = 1.0
"""Seconds that a server which only answers with errors is put behind."""
SLOT_COST = 0.05
"""Seconds that a plain server with all slots taken is put behind."""
RUNNING_COST = 0.2
"""Seconds that an engine which runs all that it may is put behind."""


class Candidate(NamedTuple):
    """
    A server that may get a request.

    :ivar server: the server.
    :ivar running: requests that it runs.
    :ivar limit: requests that it may run.
    :ivar unread: prompt tokens that it has still to read.
    :ivar uncached: prompt tokens of the request that it has to read.
    :ivar copied: prompt tokens that it copies from another server.
    :ivar source: address of that server, or "".
    :ivar rate: prompt tokens that it reads a second.
    :ivar errors: recent share of errors, 0 to 1.
    :ivar near: whether it stands in the router's failure domain.
    :ivar rank: its place in the order that all routers share for the subject.
    """

    server: ServerRecord
    running: int
    limit: float
    unread: float
    uncached: int
    copied: int
    source: str
    rate: float
    errors: float
    near: bool
    rank: int


class Placement(NamedTuple):
    """
    The server that suits a request best.

    :ivar server: the server.
    :ivar wait: seconds until it begins to read the prompt.
    :ivar reading: seconds that it reads the prompt.
    :ivar uncached: prompt tokens that it has to read.
    :ivar source: address of the server from which it copies others, or "".
    """

    server: ServerRecord
    wait: float
    reading: float
    uncached: int
    source: str = ""

    @property
    def first_token(self) -> float:
        """Seconds to the first token."""
        return FIRST_TOKEN + self.wait + self.reading


def place_prompt(candidates: Sequence[Candidate]) -> Placement | None:
    """Return the engine for a prompt, ``None`` if all are full."""
    free = [one for one in candidates if one.running < one.limit]
    if not free:
        return None
    best = min(free, key=_rate_engine)
    return Placement(
        best.server,
        best.unread / best.rate,
        best.uncached / best.rate,
        best.uncached,
        best.source,
    )


def place_plain(candidates: Sequence[Candidate]) -> Placement | None:
    """Return the server for a plain request, ``None`` if all are full."""
    free = [one for one in candidates if one.running < one.server.slots]
    if not free:
        return None
    best = min(free, key=_rate_plain)
    return Placement(best.server, 0.0, 0.0, 0)


def _rate_engine(one: Candidate) -> float:
    return (
        one.unread / one.rate
        + REREAD_WEIGHT * one.uncached / one.rate
        + COPY_COST * one.copied / 1_000
        + RUNNING_COST * one.running / one.limit
        + HOME_STEP * min(one.rank, 4)
        + ERROR_COST * one.errors
    )


def _rate_plain(one: Candidate) -> float:
    return (
        SLOT_COST * one.running / one.server.slots
        + ERROR_COST * one.errors
        + (0.0 if one.near else FAR_COST)
        + HOME_STEP / 100 * one.rank
    )
