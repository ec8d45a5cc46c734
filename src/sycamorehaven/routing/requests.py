"""Routed requests, and the metadata in request and response headers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from sycamorehaven.routing.model import Route, ServerRecord
from sycamorehaven.transport.headers import Headers

if TYPE_CHECKING:
    from collections.abc import Iterable


OUTPUT_TOKEN_WEIGHT = 2.0
"""Cost of a generated token relative to that of a prompt token."""


class PromptPart(NamedTuple):
    """
    A part of a prompt that other requests may have in common.

    :ivar key: key that identifies the content of the part.
    :ivar tokens: length of the part, in tokens.
    """

    key: str
    tokens: int


class RequestHead(NamedTuple):
    """
    Metadata from the headers of a client's request.

    :ivar attempt_id: id that the client gave this attempt, or "".
    :ivar client_timeout: seconds for which the client waits; ``None`` if the
        request does not say.
    :ivar client_key: key that authenticates the client, or "".
    :ivar model: name of the requested model, or "".
    :ivar prompt_parts: parts of the prompt, in order. The last one is
        specific to the request or its session.
    :ivar prompt_tokens: length of the prompt, in tokens.
    :ivar output_tokens: expected length of the output, in tokens.
    :ivar last_event_id: id of the last event that the client has received;
        ``None`` if the request does not resume a stream.
    :ivar resumed_attempt_id: id of the client's attempt that brought the first
        event of the stream that the request resumes, or "".
    """

    attempt_id: str
    client_timeout: float | None
    client_key: str
    model: str
    prompt_parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    last_event_id: int | None
    resumed_attempt_id: str = ""


class RequestIdentity(NamedTuple):
    """
    The part of a request's metadata that tells whose request it is.

    :ivar attempt_id: id that the client gave this attempt, or "".
    :ivar client_timeout: seconds for which the client waits; ``None`` if the
        request does not say.
    :ivar client_key: key that authenticates the client, or "".
    """

    attempt_id: str
    client_timeout: float | None
    client_key: str


class RoutedRequest(NamedTuple):
    """
    A completely received request that is ready for a backend server.

    :ivar head: metadata from its headers.
    :ivar method: HTTP method.
    :ivar target: request target, which is the path and the query, unchanged.
    :ivar headers: headers to forward to the server.
    :ivar body: the complete body.
    :ivar route: route that the request matched.
    :ivar service: name of the service that was chosen for it.
    :ivar workspace: workspace of the client; "" on a public route.
    :ivar received_at: when the request arrived, in seconds of the monotonic
        clock.
    :ivar deadline: when the timeout of the client or of the route expires, in
        seconds of the monotonic clock.
    """

    head: RequestHead
    method: str
    target: str
    headers: Headers
    body: bytes
    route: Route
    service: str
    workspace: str
    received_at: float
    deadline: float

    @property
    def token_cost(self) -> float:
        """Cost of the request in prompt tokens."""
        return self.head.prompt_tokens + OUTPUT_TOKEN_WEIGHT * self.head.output_tokens


class SendPlan(NamedTuple):
    """
    Parameters of one attempt to send a request to a backend server.

    :ivar server: the server to send the request to.
    :ivar prompt_cache_source: address of another server, from which this one
        copies the parts of the prompt that it has not cached, or "".
    :ivar last_event_id: id of the last event that the client has received;
        -1 if it has received none.
    :ivar is_repeat: whether the request has been sent to this server before.
    """

    server: ServerRecord
    prompt_cache_source: str = ""
    last_event_id: int = -1
    is_repeat: bool = False


class ServerStatement(NamedTuple):
    """
    What a backend server says of itself in a response.

    :ivar limit: requests per second that it takes from all routers together;
        ``None`` if it names no limit.
    :ivar rest: seconds for which it wants no request from this router, counted
        from the response; ``None`` if it asks for no rest.
    :ivar leaving: whether it says that it shuts down.
    :ivar unreadable: headers of this kind whose values make no sense, as
        ``name: value``, shortened.
    :ivar cold_seconds: how long it stays cold; ``None`` if it does not say.
    """

    limit: float | None = None
    rest: float | None = None
    leaving: bool = False
    unreadable: tuple[str, ...] = ()
    cold_seconds: float | None = None

    @property
    def is_empty(self) -> bool:
        """Whether the server says nothing of itself."""
        return self == ServerStatement()


class ResponseHead(NamedTuple):
    """
    Metadata from the headers of a backend server's response.

    :ivar attempt_id: id of the attempt that the response belongs to, or "".
    :ivar is_signed: whether the response carries a server's signature.
    :ivar was_executed: ``False`` if the server reports that it did not execute
        the request.
    :ivar closes_connection: whether the server closes the connection after the
        response.
    :ivar statement: what the server says of itself; ``None`` if another server
        answered, which has the address now.
    :ivar slowdown: time that work takes at the server now, relative to the
        usual one; ``None`` if it does not tell.
    :ivar malformed_load: what the server says of its load if that makes no
        sense, shortened; else "".
    """

    attempt_id: str
    is_signed: bool
    was_executed: bool
    closes_connection: bool
    statement: ServerStatement | None
    slowdown: float | None = None
    malformed_load: str = ""


class HeaderCodec(Protocol):
    """Converts between HTTP headers and the metadata that the router uses."""

    def parse_request_headers(self, headers: Iterable[tuple[str, str]]) -> RequestHead:
        """
        Return the metadata from the headers of a client's request.

        :raises BadRequest: if a header is malformed.
        """
        ...

    def parse_identity(self, headers: Iterable[tuple[str, str]]) -> RequestIdentity:
        """
        Return whose request it is, in a fraction of the time of all metadata.

        :raises BadRequest: if a header of these is malformed.
        """
        ...

    def filter_request_headers(self, headers: Iterable[tuple[str, str]]) -> Headers:
        """Return the request headers that may be forwarded to a server."""
        ...

    def build_request_headers(
        self, request: RoutedRequest, plan: SendPlan, seconds_left: float
    ) -> Headers:
        """
        Return the headers to send to a backend server.

        :param request: the request to send.
        :param plan: parameters of this attempt.
        :param seconds_left: seconds that remain until the request's deadline.
        """
        ...

    def parse_response_headers(
        self, status: int, headers: Iterable[tuple[str, str]]
    ) -> ResponseHead:
        """Return the metadata from the headers of a server's response."""
        ...
