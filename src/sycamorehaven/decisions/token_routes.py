"""Which routers can answer for a token."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.decisions.rendezvous import rank_candidates
from sycamorehaven.decisions.token_table import RETENTION

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sycamorehaven.blackboard.members import Member
    from sycamorehaven.decisions.tokens import Token
    from sycamorehaven.identity import RouterId

SUCCESSORS = 2
"""Routers that take over the finished tokens of one that shuts down."""
ASKED_SUCCESSORS = 3
"""Routers asked for a taken-over token, as views of the fleet differ."""


class TokenRoute(NamedTuple):
    """
    Routers to ask, in order.

    :ivar owner: host of the owner if it may be alive, or "".
    :ivar successors: hosts that may have taken the token over.
    :ivar final: whether no call with the token can start any more, so that
        an outcome that nobody knows stays unknown.
    """

    owner: str
    successors: tuple[str, ...]
    final: bool


def plan_route(
    token: Token, own: RouterId, members: Iterable[Member], epoch: float
) -> TokenRoute:
    """
    Return whom to ask for a token.

    :param own: the asking router.
    :param members: its view of the fleet.
    :param epoch: wall clock, seconds since the epoch.
    """
    view = list(members)
    incarnations = {member.host: member.incarnation for member in view}
    incarnations[own.host] = own.incarnation
    seen = incarnations.get(token.host)
    gone = seen is not None and seen > token.incarnation
    is_own_host = token.host == own.host
    reachable = seen is not None and not gone and not is_own_host
    return TokenRoute(
        owner=token.host if reachable else "",
        successors=rank_successors(token, view, ASKED_SUCCESSORS),
        final=gone or epoch > token.expires_at_epoch + RETENTION,
    )


def rank_successors(
    token: Token, members: Iterable[Member], count: int
) -> tuple[str, ...]:
    """Return the hosts to take a token over, the first choice first."""
    hosts = [
        member.host
        for member in members
        if member.state == "alive" and member.host != token.host
    ]
    key = f"token/{token.owner.format()}"
    return tuple(rank_candidates(key, hosts)[:count])
