"""Messages that relay a call to the owner of its token."""

from __future__ import annotations

from typing import Literal, NamedTuple


class RelayCall(NamedTuple):
    """
    A call with a token, sent to the router that can answer it.

    It is sent again until the receiver says that it has it.

    :ivar relay: random number, never used twice.
    :ivar owner: incarnation that must run it.
    :ivar adopted: whether the receiver answers from tokens taken over only.
    :ivar token: the idempotency token.
    :ivar request_id: names the request in logs and traces.
    :ivar workspace: the authenticated workspace.
    :ivar service: the service.
    :ivar method: HTTP method.
    :ivar path: path at the backend server, with the query.
    :ivar headers: headers to pass on.
    :ivar body: the request body.
    :ivar priority: class.
    :ivar timeout: seconds left for the answer.
    :ivar cost_hint: cost that the caller expects, 0 for none.
    """

    relay: int
    owner: int
    adopted: bool
    token: str
    request_id: str
    workspace: str
    service: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    priority: str
    timeout: float
    cost_hint: float


class RelayReply(NamedTuple):
    """
    A part of the answer to ``RelayCall``.

    :ivar relay: the call's number.
    :ivar session: random, above 0; parts of two sessions never mix.
    :ivar part: counts the parts from 0.
    :ivar last: whether it is the last part.
    :ivar status: HTTP status.
    :ivar headers: headers, in part 0 only.
    :ivar body: this part of the body.
    """

    relay: int
    session: int
    part: int
    last: bool
    status: int
    headers: list[tuple[str, str]]
    body: bytes


class RelayRefusal(NamedTuple):
    """
    The refusal of a ``RelayCall``.

    :ivar relay: the call's number.
    :ivar code: code of the refusal.
    :ivar detail: what went wrong.
    :ivar was_run: ``"no"``, ``"yes"`` or ``"unknown"``.
    :ivar retry_after: seconds, or ``None``.
    :ivar remedy: what the caller can do.
    """

    relay: int
    code: str
    detail: str
    was_run: Literal["no", "yes", "unknown"]
    retry_after: float | None
    remedy: str


class RelayContinue(NamedTuple):
    """
    What the sender of a ``RelayCall`` has of the answer.

    :ivar relay: the call's number.
    :ivar next_part: the first part that it lacks.
    :ivar resend: whether parts that were sent seem to be lost.
    :ivar closed: whether it wants no more.
    """

    relay: int
    next_part: int
    resend: bool
    closed: bool


class RelayStatus(NamedTuple):
    """
    Whether the sender serves a ``RelayCall``.

    :ivar relay: the call's number.
    :ivar known: whether it does.
    """

    relay: int
    known: bool
