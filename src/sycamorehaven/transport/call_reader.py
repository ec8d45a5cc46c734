"""Reads a call out of an HTTP request, and refuses what is not one."""

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
"""Seconds for a request that names no timeout."""
MAX_TIMEOUT_SECONDS = 86_400.0
BODY_TIMEOUT_SECONDS = 60.0
"""Seconds for the body to arrive."""
MAX_HEADERS_BYTES = 32_768
"""All headers of a request, bytes."""
MAX_TARGET_BYTES = 8_000
"""Path and query of a request, bytes."""
NON_IDEMPOTENT_METHODS = frozenset({"POST", "PATCH"})
"""Methods whose undeclared calls are not idempotent."""

_SCHEME_AND_AUTHORITY = re.compile(r"^https?://[^/?#]*", re.IGNORECASE)
_AMBIGUOUS_PATH = re.compile(r"//|\\|%2f|%5c|(^|/)\.{1,2}(/|$)", re.IGNORECASE)


class RequestTarget(NamedTuple):
    """
    Where a request goes.

    :ivar service: name of the service.
    :ivar path: path and query at the backend server, as the caller wrote it.
    """

    service: str
    path: str


def split_target(raw: str) -> RequestTarget:
    """
    Return the service and the path of a request target.

    Nothing is decoded or normalized in the path, so a backend server sees
    what the caller wrote; it cannot name another service.

    :raises UnknownPath: if it is not a call to a service.
    """
    parts = _SCHEME_AND_AUTHORITY.sub("", raw).partition("#")[0].split("/", 4)
    if len(parts) < 5 or parts[0]:
        raise UnknownPath(f"{raw[:100]!r} is not a call to a service")
    return RequestTarget(parts[3], f"/{parts[4]}")


def choose_rule(service: Service, method: str, path: str) -> CallRule:
    """
    Return what holds for a call.

    A path that a server may read as another one gets the strictest rule of
    its method.
    """
    raw_path = path.partition("?")[0]
    decoded_path = unquote(raw_path)
    if not _AMBIGUOUS_PATH.search(raw_path) and not _AMBIGUOUS_PATH.search(
        decoded_path
    ):
        return service.match_rule(method, decoded_path)
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
    Refuse a request whose target or headers pass a limit or are doubled.

    :raises Refusal: if they do.
    """
    if len(request.raw_path) > MAX_TARGET_BYTES:
        raise TargetTooLong(f"the limit is {MAX_TARGET_BYTES} bytes")
    if measure_headers(request.headers.items()) > MAX_HEADERS_BYTES:
        raise HeadersTooLarge(f"the limit is {MAX_HEADERS_BYTES} bytes")
    repeated = find_repeated_header(request.headers.items())
    if repeated is not None:
        raise BadRequest(f"{repeated} came more than once")


def authenticate(request: web.Request, configuration: Configuration) -> Workspace:
    """
    Return the workspace whose key the request bears.

    Every key is compared, in constant time, so that timing tells nothing.

    :raises InvalidWorkspaceKey: if there is none.
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
    Return the request's class, interactive unless it says batch.

    :raises BadRequest: for any other class.
    """
    priority = request.headers.get("Priority-Class", INTERACTIVE).strip().lower()
    if priority not in (INTERACTIVE, BATCH):
        raise BadRequest(f"Priority-Class {priority!r} is not interactive or batch")
    return priority


def read_positive_number(
    request: web.Request, header: str, default: float, maximum: float
) -> float:
    """
    Return a positive number from a header, at most ``maximum``.

    :raises BadRequest: if it is not one.
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
    Return the whole body.

    :param limit: the most bytes.
    :raises Refusal: if it is larger, slow or malformed.
    """
    too_large = BodyTooLarge(f"the limit is {limit} bytes")
    if (request.content_length or 0) > limit:
        raise too_large
    try:
        async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
            body = await request.read()
    except TimeoutError as error:
        raise BodyTimeout(f"no whole body in {BODY_TIMEOUT_SECONDS:.0f} s") from error
    except web.HTTPRequestEntityTooLarge as error:
        raise too_large from error
    except (web.RequestPayloadError, ValueError) as error:
        raise BadRequest("the body is malformed") from error
    if len(body) > limit:
        raise too_large
    return body


class CallReader:
    """
    Makes calls of requests.

    :param body_limit: maximum body, bytes.
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
        Return the call that a request makes.

        :param now: monotonic seconds.
        :raises Refusal: if it makes none.
        """
        target = split_target(request.raw_path)
        service = configuration.services.get(target.service)
        if service is None:
            raise UnknownService(f"no service {target.service[:64]!r}")
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
            token=request.headers.get("Idempotency-Token", ""),
            body=await read_body(request, self._body_limit),
        )
