"""A request on a route and what a backend server's answer says of itself."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from sycamorehaven.routing.model import Route, ServerRecord
from sycamorehaven.transport.headers import Headers

if TYPE_CHECKING:
    from collections.abc import Iterable


class PromptPart(NamedTuple):
    """
    A part of a prompt that other requests may share.

    :ivar key: names the part.
    :ivar tokens: its length.
    """

    key: str
    tokens: int


class RequestHead(NamedTuple):
    """
    What the headers of a request say.

    :ivar attempt: id of this attempt of the client.
    :ivar patience: seconds that the client waits, ``None`` if it does not say.
    :ivar key: the client's key, or "".
    :ivar model: model that is asked, or "".
    :ivar parts: parts of the prompt in their order; the last one belongs to
        the request or its session.
    :ivar prompt_tokens: tokens of the prompt.
    :ivar output_tokens: tokens that are likely generated.
    :ivar last_event: last event that the client already has, ``None`` if it
        does not resume.
    """

    attempt: str
    patience: float | None
    key: str
    model: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    last_event: int | None


class RoutedRequest(NamedTuple):
    """
    A request that was read whole and may be sent to a backend server.

    :ivar head: what its headers say.
    :ivar method: HTTP method.
    :ivar target: path with the query, as it came.
    :ivar headers: headers to pass on.
    :ivar body: the whole body.
    :ivar route: its route.
    :ivar service: the service that serves it.
    :ivar workspace: whose it is, "" on a public route.
    :ivar received: monotonic seconds at which it came.
    :ivar deadline: monotonic seconds at which client or route gives up.
    """

    head: RequestHead
    method: str
    target: str
    headers: Headers
    body: bytes
    route: Route
    service: str
    workspace: str
    received: float
    deadline: float


class SendPlan(NamedTuple):
    """
    How a request is sent to a backend server.

    :ivar server: the server.
    :ivar source: address of a server from which it copies what it does not
        keep of the prompt, or "".
    :ivar event: last event that the client has, -1 for none of them.
    """

    server: ServerRecord
    source: str = ""
    event: int = -1


class AnswerHead(NamedTuple):
    """
    What the headers of a backend server's answer say.

    :ivar attempt: id of the request that it answers, or "".
    :ivar signed: whether a server vouches for it.
    :ivar executed: ``False`` if the server says that the request did not run.
    :ivar closing: whether the server closes the connection.
    """

    attempt: str
    signed: bool
    executed: bool
    closing: bool


class RequestDialect(Protocol):
    """How requests and answers carry what the router needs to know."""

    def read_request(self, headers: Iterable[tuple[str, str]]) -> RequestHead:
        """
        Return what the headers of a request say.

        :raises BadRequest: for headers that cannot be read.
        """
        ...

    def filter_request(self, headers: Iterable[tuple[str, str]]) -> Headers:
        """Return the headers of a request that may be passed on."""
        ...

    def build_request(
        self, request: RoutedRequest, send: SendPlan, left: float
    ) -> Headers:
        """
        Return the headers of a request to a backend server.

        :param send: where it goes and how.
        :param left: seconds that the server may take.
        """
        ...

    def read_answer(
        self, status: int, headers: Iterable[tuple[str, str]]
    ) -> AnswerHead:
        """Return what the headers of an answer say."""
        ...
