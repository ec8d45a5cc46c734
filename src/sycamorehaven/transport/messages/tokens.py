"""Messages that hand over idempotency tokens and ask for their state."""

from __future__ import annotations

from typing import NamedTuple


class TokenRecord(NamedTuple):
    """
    An idempotency token that has been used, and the outcome of its call.

    :ivar token: the token.
    :ivar workspace: name of the workspace that used the token.
    :ivar request: xxh3-128 hash of the request that used the token, 16 bytes.
    :ivar finished: whether the call ran to its end; otherwise its outcome is
        unknown.
    :ivar status: HTTP status of the recorded answer, 0 if the answer was not
        kept.
    :ivar headers: headers of the recorded answer.
    :ivar body: body of the recorded answer.
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
    Hands over the used tokens of a router that is shutting down.

    The receiver answers from the records and never runs the calls.

    :ivar number: number of the hand-over, echoed by the acknowledgement.
    :ivar records: the used tokens.
    """

    number: int
    records: list[TokenRecord]


class TokenHandoverAck(NamedTuple):
    """
    Acknowledges that the sender has taken over the tokens.

    :ivar number: number of the ``TokenHandover``.
    """

    number: int


class TokenStateRequest(NamedTuple):
    """
    Asks for the state of a token.

    :ivar number: random number, echoed by the reply.
    :ivar owner: incarnation of the router that minted the token.
    :ivar adopted: whether the receiver may answer only from tokens that it
        took over from a router that has shut down.
    :ivar token: the token.
    :ivar workspace: name of the authenticated workspace.
    """

    number: int
    owner: int
    adopted: bool
    token: str
    workspace: str


class TokenStateReply(NamedTuple):
    """
    The reply to a ``TokenStateRequest``.

    :ivar number: number of the ``TokenStateRequest``.
    :ivar state: state of the token; ``"invalid"`` for a forged token, "" if
        the sender cannot tell.
    :ivar status: HTTP status of the finished call, 0 if there is none.
    """

    number: int
    state: str
    status: int
