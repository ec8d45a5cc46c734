"""Reads calls from HTTP requests, and refuses requests that are not valid."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import re
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import unquote

from aiohttp import web

from sycamorehaven.call import BATCH, INTERACTIVE, Call
from sycamorehaven.configuration.model import CallRule
from sycamorehaven.exceptions.refusals import (
    BadRequest,
    BodyTimeout,
    BodyTooLarge,
    HeadersTooLarge,
    InvalidWorkspaceKey,
    TargetTooLong,
    UnknownPath,
    UnknownService,
)
from sycamorehaven.transport.headers import (
    filter_request_headers,
    find_repeated_header,
    measure_headers,
)

if TYPE_CHECKING:
    from sycamorehaven.configuration.model import Configuration, Service, Workspace

DEFAULT_TIMEOUT_SECONDS = 600.0
"""Time limit of a request without the header ``Request-Timeout``."""
MAX_TIMEOUT_SECONDS = 86_400.0
"""Longest time limit; a longer ``Request-Timeout`` is reduced to it."""
BODY_TIMEOUT_SECONDS = 60.0
"""Time limit for the whole body to arrive."""
IDEMPOTENCY_TOKEN_HEADER = "Idempotency-Token"
"""Header with the token of a call that must run at most once."""
MAX_HEADERS_BYTES = 32_768
"""Limit for all headers of a request together."""
MAX_TARGET_BYTES = 8_000
"""Limit for the path and query of a request."""
NON_IDEMPOTENT_METHODS = frozenset({"POST", "PATCH"})
"""Methods whose calls count as not idempotent unless declared otherwise."""

_SCHEME_AND_AUTHORITY = re.compile(r"^https?://[^/?#]*", re.IGNORECASE)
_AMBIGUOUS_PATH = re.compile(r"//|\\|%2f|%5c|(^|/)\.{1,2}(/|$)", re.IGNORECASE)
"""Dot segments and separators that servers may resolve in different ways."""


class RequestTarget(NamedTuple):
    """
    The service and path that a request target names.

    :ivar service: name of the service.
    :ivar path: path and query at the backend server, as the caller wrote them.
    """

    service: str
    path: str


def split_target(raw: str) -> RequestTarget:
    """
    Return the service and the path of a request target.

    The path is neither decoded nor normalized, so a backend server sees what
    the caller wrote, and the path cannot lead to another service.

    :param raw: the target as the caller wrote it, also in absolute form.
    :raises UnknownPath: if the target does not name a service and a path.
    """
    parts = _SCHEME_AND_AUTHORITY.sub("", raw).partition("#")[0].split("/", 4)
    if len(parts) < 5 or parts[0]:
        raise UnknownPath(f"{raw[:100]!r} is not a call to a service")
    return RequestTarget(parts[3], f"/{parts[4]}")


def choose_rule(service: Service, method: str, path: str) -> CallRule:
    """
    Return the rule for a call, which says whether it is idempotent.

    A server may resolve an ambiguous path, such as one with ``..``, ``//`` or
    an encoded slash, to another path. Such a path gets the strictest rule of
    its method: the call counts as idempotent only if every call that the
    service declares for the method is, and never for ``POST`` and ``PATCH``.
    """
    raw_path = path.partition("?")[0]
    decoded_path = unquote(raw_path)
    if not _AMBIGUOUS_PATH.search(raw_path) and not _AMBIGUOUS_PATH.search(
        decoded_path
    ):
        return service.find_call_rule(method, decoded_path)
    declared_idempotent = all(
        rule.idempotent for rule in service.calls if rule.method == method
    )
    return CallRule(
        method,
        path,
        declared_idempotent and method not in NON_IDEMPOTENT_METHODS,
        False,
    )


def check_request_head(request: web.Request) -> None:
    """
    Check the size of a request's target and headers, and repeated headers.

    :raises Refusal: if a size exceeds its limit, or a header that may occur
        only once is repeated.
    """
    if len(request.raw_path) > MAX_TARGET_BYTES:
        raise TargetTooLong(
            f"the path and query exceed the limit of {MAX_TARGET_BYTES} bytes"
        )
    if measure_headers(request.headers.items()) > MAX_HEADERS_BYTES:
        raise HeadersTooLarge(
            f"the headers exceed the limit of {MAX_HEADERS_BYTES} bytes"
        )
    repeated = find_repeated_header(request.headers.items())
    if repeated is not None:
        raise BadRequest(f"the header '{repeated}' occurs more than once")


def authenticate(request: web.Request, configuration: Configuration) -> Workspace:
    """
    Return the workspace whose key the request carries.

    The key is compared with every workspace's key in constant time, so that
    the response time reveals nothing about the keys.

    :raises InvalidWorkspaceKey: if the key belongs to no workspace.
    """
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    data = key.strip().encode("utf-8", "surrogateescape")
    digest = hashlib.sha256(data).hexdigest()
    authenticated = None
    for workspace in configuration.workspaces.values():
        if hmac.compare_digest(digest, workspace.key_sha256):
            authenticated = workspace
    if scheme.lower() != "bearer" or authenticated is None:
        raise InvalidWorkspaceKey("the key belongs to no workspace")
    return authenticated


def read_priority(request: web.Request) -> str:
    """
    Return the priority class of a request, interactive by default.

    :raises BadRequest: if the class is neither interactive nor batch.
    """
    priority = request.headers.get("Priority-Class", INTERACTIVE).strip().lower()
    if priority not in (INTERACTIVE, BATCH):
        raise BadRequest(f"Priority-Class {priority!r} is not interactive or batch")
    return priority


def read_positive_number(
    request: web.Request, header: str, default: float, maximum: float
) -> float:
    """
    Return the positive number in a header.

    :param header: name of the header.
    :param default: the result if the header is missing.
    :param maximum: upper limit, to which a larger number is reduced.
    :raises BadRequest: if the value is not a positive finite number.
    """
    text = request.headers.get(header)
    if text is None:
        return default
    try:
        number = float(text)
    except ValueError:
        number = 0.0
    if not 0.0 < number < float("inf"):
        raise BadRequest(f"{header} {text!r} is not a positive number")
    return min(number, maximum)


async def read_body(request: web.Request, limit: int) -> bytes:
    """
    Return the whole body of a request.

    :param limit: largest size, bytes.
    :raises Refusal: if the body is too large, too slow or malformed.
    """
    too_large = BodyTooLarge(f"the body exceeds the limit of {limit} bytes")
    if (request.content_length or 0) > limit:
        raise too_large
    try:
        async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
            body = await request.read()
    except TimeoutError as error:
        raise BodyTimeout(
            f"the body did not arrive within {BODY_TIMEOUT_SECONDS:.0f} s"
        ) from error
    except web.HTTPRequestEntityTooLarge as error:
        raise too_large from error
    except (web.RequestPayloadError, ValueError) as error:
        raise BadRequest("the body is malformed") from error
    if len(body) > limit:
        raise too_large
    return body


class CallReader:
    """
    Reads calls from the callers' HTTP requests.

    :param body_limit: largest body of a request, bytes.
    """

    def __init__(self, body_limit: int) -> None:
        self._body_limit = body_limit

    async def read(
        self,
        request: web.Request,
        request_id: str,
        workspace: Workspace,
        configuration: Configuration,
        now: float,
    ) -> Call:
        """
        Return the call that a request asks for.

        :param request: the caller's HTTP request.
        :param request_id: identifies the request in logs and traces.
        :param workspace: the authenticated workspace.
        :param configuration: the configuration in force.
        :param now: monotonic time, seconds, from which the deadline counts.
        :raises Refusal: if the request is not a valid call.
        """
        target = split_target(request.raw_path)
        service = configuration.services.get(target.service)
        if service is None:
            raise UnknownService(f"service {target.service[:64]!r} does not exist")
        timeout = read_positive_number(
            request, "Request-Timeout", DEFAULT_TIMEOUT_SECONDS, MAX_TIMEOUT_SECONDS
        )
        return Call(
            request_id=request_id,
            workspace=workspace,
            service=service,
            rule=choose_rule(service, request.method, target.path),
            method=request.method,
            path=target.path,
            headers=filter_request_headers(request.headers.items()),
            priority=read_priority(request),
            deadline=now + timeout,
            cost_hint=read_positive_number(
                request, "Cost-Hint", 0.0, service.largest_cost
            ),
            token=request.headers.get(IDEMPOTENCY_TOKEN_HEADER, ""),
            body=await read_body(request, self._body_limit),
        )
