"""A caller's request and the answer to it, free of any HTTP library."""

from __future__ import annotations

from typing import NamedTuple, Protocol, Self

from sycamorehaven.configuration.model import CallRule, Service, Workspace

INTERACTIVE = "interactive"
BATCH = "batch"


class Call(NamedTuple):
    """
    An authenticated request to a service.

    :ivar request_id: names the request in logs and traces.
    :ivar workspace: whose it is.
    :ivar service: the service.
    :ivar rule: what holds for this method and path.
    :ivar method: HTTP method.
    :ivar path: path at the backend server, with the query.
    :ivar headers: headers to pass on.
    :ivar body: the whole body.
    :ivar priority: ``"interactive"`` or ``"batch"``.
    :ivar deadline: monotonic seconds at which the caller gives up.
    :ivar cost_hint: cost that the caller expects, 0 for none.
    :ivar token: idempotency token, or "".
    """

    request_id: str
    workspace: Workspace
    service: Service
    rule: CallRule
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    priority: str
    deadline: float
    cost_hint: float
    token: str


class Chunks(Protocol):
    """A body as it comes; an async generator is one."""

    def __aiter__(self) -> Self:
        """Return itself."""
        ...

    async def __anext__(self) -> bytes:
        """Return the next bytes; raise if the body breaks off."""
        ...

    async def aclose(self) -> None:
        """Cancel what produces the body, if it has not ended."""
        ...


class Answer(NamedTuple):
    """
    What the caller gets.

    :ivar status: HTTP status.
    :ivar headers: headers to pass on.
    :ivar chunks: the body as it comes. It raises if the answer breaks off;
        the caller's connection is then aborted, never ended cleanly. Whoever
        takes the answer closes the chunks.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    chunks: Chunks
