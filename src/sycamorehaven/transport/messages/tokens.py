"""Messages about idempotency tokens."""

from __future__ import annotations

from typing import NamedTuple


class TokenRecord(NamedTuple):
    """
    A used token.

    :ivar token: the token.
    :ivar workspace: whose it is.
    :ivar request: xxh3-128 of the request that used it, 16 bytes.
    :ivar finished: whether the call ran to its end; if not, its outcome is
        unknown.
    :ivar status: HTTP status of the recorded answer, 0 if it is not kept.
    :ivar headers: its headers.
    :ivar body: its body.
    """

    token: str
    workspace: str
    request: bytes
    finished: bool
    status: int
    headers: list[tuple[str, str]]
    body: bytes


class TokenHandover(NamedTuple):
    """
    Used tokens of a router that shuts down; never run by the receiver.

    :ivar number: echoed by the acknowledgement.
    :ivar records: the tokens.
    """

    number: int
    records: list[TokenRecord]


class TokenHandoverAck(NamedTuple):
    """
    The receiver has taken the tokens over.

    :ivar number: the hand-over's.
    """

    number: int


class TokenStateRequest(NamedTuple):
    """
    A question for the state of a token.

    :ivar number: random, echoed by the reply.
    :ivar owner: incarnation that minted the token.
    :ivar adopted: whether the receiver answers from tokens taken over only.
    :ivar token: the token.
    :ivar workspace: the authenticated workspace.
    """

    number: int
    owner: int
    adopted: bool
    token: str
    workspace: str


class TokenStateReply(NamedTuple):
    """
    The answer to ``TokenStateRequest``.

    :ivar number: the request's.
    :ivar state: the state, ``"invalid"`` for a forged token, or "" if the
        sender can't tell.
    :ivar status: HTTP status of the finished call, or 0.
    """

    number: int
    state: str
    status: int
