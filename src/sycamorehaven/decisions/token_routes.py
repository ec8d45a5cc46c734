"""Which routers can answer for an idempotency token."""

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
"""Number of routers that take over a router's used tokens when it shuts
down."""
QUERIED_SUCCESSORS = 3
"""Number of successors that are asked for a token. It is larger than
``SUCCESSOR_COUNT`` because the membership views of routers differ."""


class TokenRoute(NamedTuple):
    """
    Routers to ask for a token, in this order.

    :ivar owner: host of the router that minted the token, or "" if that
        process can't be reached any more.
    :ivar successors: hosts that may have taken the token over.
    :ivar is_final: whether no call with the token can start any more, so that
        an outcome which no router knows stays unknown.
    """

    owner: str
    successors: tuple[str, ...]
    is_final: bool


def plan_route(
    token: IdempotencyToken,
    asking_router: RouterId,
    members: Iterable[Member],
    epoch_seconds: float,
) -> TokenRoute:
    """
    Return which routers to ask for a token.

    :param token: the token.
    :param asking_router: identity of the asking router.
    :param members: members in its view of the fleet.
    :param epoch_seconds: wall-clock time, seconds since the epoch.
    """
    member_list = list(members)
    incarnations = {member.host: member.incarnation for member in member_list}
    incarnations[asking_router.host] = asking_router.incarnation
    known_incarnation = incarnations.get(token.host)
    is_owner_replaced = (
        known_incarnation is not None and known_incarnation > token.incarnation
    )
    is_own_host = token.host == asking_router.host
    is_owner_reachable = (
        known_incarnation is not None and not is_owner_replaced and not is_own_host
    )
    return TokenRoute(
        owner=token.host if is_owner_reachable else "",
        successors=rank_successors(token, member_list, QUERIED_SUCCESSORS),
        is_final=is_owner_replaced
        or epoch_seconds > token.expires_at_epoch + RETENTION_SECONDS,
    )


def rank_successors(
    token: IdempotencyToken, members: Iterable[Member], count: int
) -> tuple[str, ...]:
    """
    Return the hosts that take a token over from its owner, the best first.

    :param token: the token.
    :param members: members of the fleet; only those alive are eligible.
    :param count: number of hosts to return.
    """
    hosts = [
        member.host
        for member in members
        if member.state == "alive" and member.host != token.host
    ]
    key = f"token/{token.owner.format()}"
    return tuple(rank_candidates(key, hosts)[:count])
