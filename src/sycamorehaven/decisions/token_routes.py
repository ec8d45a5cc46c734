"""Which routers can answer for a token."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.decisions.rendezvous import rank_candidates
from sycamorehaven.decisions.token_table import RETENTION_SECONDS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sycamorehaven.blackboard.members import Member
    from sycamorehaven.decisions.idempotency_tokens import IdempotencyToken
    from sycamorehaven.identity import RouterId

SUCCESSOR_COUNT = 2
"""Routers that take over the finished tokens of one that shuts down."""
QUERIED_SUCCESSORS = 3
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
    is_final: bool


def plan_route(
    token: IdempotencyToken,
    own: RouterId,
    members: Iterable[Member],
    epoch_seconds: float,
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
    is_owner_replaced = seen is not None and seen > token.incarnation
    is_own_host = token.host == own.host
    is_owner_reachable = seen is not None and not is_owner_replaced and not is_own_host
    return TokenRoute(
        owner=token.host if is_owner_reachable else "",
        successors=rank_successors(token, view, QUERIED_SUCCESSORS),
        is_final=is_owner_replaced
        or epoch_seconds > token.expires_at_epoch + RETENTION_SECONDS,
    )


def rank_successors(
    token: IdempotencyToken, members: Iterable[Member], count: int
) -> tuple[str, ...]:
    """Return the hosts to take a token over, the first choice first."""
    hosts = [
        member.host
        for member in members
        if member.state == "alive" and member.host != token.host
    ]
    key = f"token/{token.owner.format()}"
    return tuple(rank_candidates(key, hosts)[:count])
