"""Requests of callers and their answers, independent of any HTTP library."""

from __future__ import annotations

from typing import NamedTuple, Protocol, Self

from sycamorehaven.configuration.model import CallRule, Service, Workspace

INTERACTIVE = "interactive"
"""Priority of interactive requests, as in the header ``Priority-Class``."""
BATCH = "batch"
"""Priority of batch requests, as in the header ``Priority-Class``."""


class Call(NamedTuple):
    """
    An authenticated request of a caller to a service.

    :ivar request_id: id of the request in logs and traces.
    :ivar workspace: workspace that sent the request.
    :ivar service: service to which the request is addressed.
    :ivar rule: configured rule for this method and path.
    :ivar method: HTTP method.
    :ivar path: path at the backend server, including the query string.
    :ivar headers: headers to forward.
    :ivar body: complete request body.
    :ivar priority: ``"interactive"`` or ``"batch"``.
    :ivar deadline: time at which the caller gives up, in monotonic seconds.
    :ivar cost_hint: cost that the caller expects in the service's unit of
        cost, 0 for none.
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
    """A response body that arrives in chunks, such as an async generator."""

    def __aiter__(self) -> Self:
        """Return this iterator."""
        ...

    async def __anext__(self) -> bytes:
        """Return the next chunk; raise an error if the body is cut off."""
        ...

    async def aclose(self) -> None:
        """Cancel the producer of the body unless the body is complete."""
        ...


class Answer(NamedTuple):
    """
    The answer to a caller's request.

    :ivar status: HTTP status.
    :ivar headers: headers to forward.
    :ivar chunks: the body as it arrives. The iterator raises an error if the
        body is cut off; the listener then aborts the caller's connection, so
        that the caller cannot mistake the answer for a complete one. The
        receiver of the answer must close the chunks.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    chunks: Chunks
