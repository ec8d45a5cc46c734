"""Messages that relay a call to the router that owns its idempotency token."""

from __future__ import annotations

from typing import Literal, NamedTuple


class RelayCall(NamedTuple):
    """
    Relays a call with a token to the router that can answer it.

    The sender repeats the message until the receiver confirms that it has the
    call.

    :ivar relay: random number of the relayed call, never used twice.
    :ivar owner: incarnation of the router that must run the call.
    :ivar adopted: whether the receiver may answer only from tokens that it
        took over from a router that has shut down.
    :ivar token: the idempotency token.
    :ivar request_id: identifies the request in logs and traces.
    :ivar workspace: name of the authenticated workspace.
    :ivar service: name of the service.
    :ivar method: HTTP method.
    :ivar path: path and query at the backend server.
    :ivar headers: headers to forward to the backend server.
    :ivar body: body of the request.
    :ivar priority: priority class.
    :ivar timeout: seconds left until the caller's deadline.
    :ivar cost_hint: cost that the caller expects, 0 if it gave none.
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
    Carries a part of the answer to a ``RelayCall``.

    :ivar relay: number of the relayed call.
    :ivar session: random number above 0 of this transfer of the answer. Parts
        of two sessions are never combined.
    :ivar part: index of the part, from 0.
    :ivar last: whether this is the last part.
    :ivar status: HTTP status.
    :ivar headers: headers of the answer, in part 0 only.
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
    Refuses a ``RelayCall``.

    :ivar relay: number of the relayed call.
    :ivar code: code of the refusal.
    :ivar detail: description of what is wrong.
    :ivar was_run: whether the call ran: ``"no"``, ``"yes"`` or ``"unknown"``.
    :ivar retry_after: seconds after which the caller may retry, or ``None``.
    :ivar remedy: advice to the caller.
    """

    relay: int
    code: str
    detail: str
    was_run: Literal["no", "yes", "unknown"]
    retry_after: float | None
    remedy: str


class RelayContinue(NamedTuple):
    """
    Reports which parts of the answer to a ``RelayCall`` have arrived.

    :ivar relay: number of the relayed call.
    :ivar next_part: index of the first missing part.
    :ivar resend: whether parts seem to be lost and must be sent again.
    :ivar closed: whether no further parts are wanted.
    """

    relay: int
    next_part: int
    resend: bool
    closed: bool


class RelayStatus(NamedTuple):
    """
    Tells whether the sender is serving a ``RelayCall``.

    :ivar relay: number of the relayed call.
    :ivar known: whether the sender is serving the call.
    """

    relay: int
    known: bool
