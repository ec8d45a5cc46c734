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
    filter_request,
    find_repeated,
    measure_headers,
)

if TYPE_CHECKING:
    from sycamorehaven.configuration.model import Configuration, Service, Workspace

DEFAULT_TIMEOUT = 600.0
"""Seconds for a request that names no timeout."""
LONGEST_TIMEOUT = 86_400.0
BODY_TIMEOUT = 60.0
"""Seconds for the body to arrive."""
LARGEST_HEADERS = 32_768
"""All headers of a request, bytes."""
LONGEST_TARGET = 8_000
"""Path and query of a request, bytes."""
WRITES = frozenset({"POST", "PATCH"})
"""Methods whose undeclared calls are not idempotent."""

_AUTHORITY = re.compile(r"^https?://[^/?#]*", re.IGNORECASE)
_AMBIGUOUS = re.compile(r"//|\\|%2f|%5c|(^|/)\.{1,2}(/|$)", re.IGNORECASE)


class Target(NamedTuple):
    """
    Where a request goes.

    :ivar service: name of the service.
    :ivar path: path and query at the backend server, as the caller wrote it.
    """

    service: str
    path: str


def split_target(raw: str) -> Target:
    """
    Return the service and the path of a request target.

    Nothing is decoded or normalized in the path, so a backend server sees
    what the caller wrote; it cannot name another service.

    :raises UnknownPath: if it is not a call to a service.
    """
    parts = _AUTHORITY.sub("", raw).partition("#")[0].split("/", 4)
    if len(parts) < 5 or parts[0]:
        raise UnknownPath(f"{raw[:100]!r} is not a call to a service")
    return Target(parts[3], f"/{parts[4]}")


def choose_rule(service: Service, method: str, path: str) -> CallRule:
    """
    Return what holds for a call.

    A path that a server may read as another one gets the strictest rule of
    its method.
    """
    plain = path.partition("?")[0]
    decoded = unquote(plain)
    if not _AMBIGUOUS.search(plain) and not _AMBIGUOUS.search(decoded):
        return service.match_rule(method, decoded)
    declared = all(r.idempotent for r in service.calls if r.method == method)
    return CallRule(method, path, declared and method not in WRITES, False)


def check_head(request: web.Request) -> None:
    """
    Refuse a request whose target or headers pass a limit or are doubled.

    :raises Refusal: if they do.
    """
    if len(request.raw_path) > LONGEST_TARGET:
        raise TargetTooLong(f"the limit is {LONGEST_TARGET} bytes")
    if measure_headers(request.headers.items()) > LARGEST_HEADERS:
        raise HeadersTooLarge(f"the limit is {LARGEST_HEADERS} bytes")
    repeated = find_repeated(request.headers.items())
    if repeated is not None:
        raise BadRequest(f"{repeated} came more than once")


def authenticate(request: web.Request, configuration: Configuration) -> Workspace:
    """
    Return the workspace whose key the request bears.

    Every key is compared, in constant time, so that timing tells nothing.

    :raises InvalidWorkspaceKey: if there is none.
    """
    kind, _, key = request.headers.get("Authorization", "").partition(" ")
    data = key.strip().encode("utf-8", "surrogateescape")
    digest = hashlib.sha256(data).hexdigest()
    found = None
    for workspace in configuration.workspaces.values():
        if hmac.compare_digest(digest, workspace.key_sha256):
            found = workspace
    if kind.lower() != "bearer" or found is None:
        raise InvalidWorkspaceKey("the key belongs to no workspace")
    return found


def read_priority(request: web.Request) -> str:
    """
    Return the request's class, interactive unless it says batch.

    :raises BadRequest: for any other class.
    """
    priority = request.headers.get("Priority-Class", INTERACTIVE).strip().lower()
    if priority not in (INTERACTIVE, BATCH):
        raise BadRequest(f"Priority-Class {priority!r} is not interactive or batch")
    return priority


def read_number(
    request: web.Request, header: str, default: float, largest: float
) -> float:
    """
    Return a positive number from a header, at most ``largest``.

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
    return min(number, largest)


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
        async with asyncio.timeout(BODY_TIMEOUT):
            body = await request.read()
    except TimeoutError as error:
        raise BodyTimeout(f"no whole body in {BODY_TIMEOUT:.0f} s") from error
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

    :param body_limit: largest body, bytes.
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
        timeout = read_number(
            request, "Request-Timeout", DEFAULT_TIMEOUT, LONGEST_TIMEOUT
        )
        return Call(
            request_id=request_id,
            workspace=workspace,
            service=service,
            rule=choose_rule(service, request.method, target.path),
            method=request.method,
            path=target.path,
            headers=filter_request(request.headers.items()),
            priority=read_priority(request),
            deadline=now + timeout,
            cost_hint=read_number(request, "Cost-Hint", 0.0, service.largest_cost),
            token=request.headers.get("Idempotency-Token", ""),
            body=await read_body(request, self._body_limit),
        )
