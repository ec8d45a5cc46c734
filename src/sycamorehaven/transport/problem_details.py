"""Responses to refused requests, as problem details (RFC 9457)."""

from __future__ import annotations

import math
import secrets
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import msgspec
from absl import logging
from aiohttp import web
from aiohttp.http_exceptions import LineTooLong

from sycamorehaven.exceptions.refusals import (
    BadRequest,
    BodyTooLarge,
    HeadersTooLarge,
    InternalError,
    MethodNotAllowed,
    Refusal,
    UnknownPath,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.web_request import BaseRequest

PROBLEM_CONTENT_TYPE = "application/problem+json"
"""Media type of problem details."""
PROTOCOL_OPTIONS: dict[str, Any] = {
    "access_log": None,
    "auto_decompress": False,
    "max_field_size": 32_768,
    "max_line_size": 16_384,
    "max_headers": 8_192,
    "read_bufsize": 65_536,
}
"""Options of aiohttp's protocol: size limits of the parser in bytes, more
headers than fit into the largest head, bodies that stay compressed, and half
of the bytes of a body at which reading pauses."""


def build_problem_response(refusal: Refusal, request_id: str) -> web.Response:
    """
    Return the problem response for a refusal.

    :param refusal: the reason why the request is not served.
    :param request_id: identifies the request in logs and traces.
    """
    headers = {"Request-Id": request_id}
    if refusal.retry_after is not None:
        headers["Retry-After"] = str(max(math.ceil(refusal.retry_after), 1))
    return web.Response(
        status=refusal.status,
        body=encode_problem(refusal, request_id),
        headers=headers,
        content_type=PROBLEM_CONTENT_TYPE,
    )


def encode_problem(refusal: Refusal, request_id: str) -> bytes:
    """Return the body of the problem response for a refusal."""
    body: dict[str, object] = {
        "type": "about:blank",
        "title": HTTPStatus(refusal.status).phrase,
        "status": refusal.status,
        "detail": refusal.detail,
        "code": refusal.code,
        "was_run": refusal.was_run,
        "remedy": refusal.effective_remedy,
        "request_id": request_id,
        **refusal.problem_members,
    }
    if refusal.retry_after is not None:
        body["retry_after"] = round(refusal.retry_after, 3)
    return msgspec.json.encode(body)


def build_refusal_response(refusal: Refusal, request_id: str) -> web.Response:
    """Return a problem response whose ``Retry-After`` has fractions."""
    response = build_problem_response(refusal, request_id)
    if refusal.retry_after is not None:
        response.headers["Retry-After"] = f"{refusal.retry_after:.3f}"
    return response


def render_refusal(
    refusal: Refusal, request_id: str, *, closes_connection: bool = False
) -> bytes:
    """Return a problem response as the bytes to send."""
    connection = "Connection: close\r\n" if closes_connection else ""
    retry_after = ""
    if refusal.retry_after is not None:
        retry_after = f"Retry-After: {refusal.retry_after:.3f}\r\n"
    body = encode_problem(refusal, request_id)
    head = (
        f"HTTP/1.1 {refusal.status} {HTTPStatus(refusal.status).phrase}\r\n"
        f"Content-Type: {PROBLEM_CONTENT_TYPE}\r\n"
        f"Content-Length: {len(body)}\r\n"
        f"Request-Id: {request_id}\r\n"
        f"{connection}"
        f"{retry_after}\r\n"
    )
    return head.encode("latin-1") + body


@web.middleware
async def problem_middleware(
    request: web.Request,
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> web.StreamResponse:
    """Turn exceptions of routing and of handlers into problem responses."""
    request_id = secrets.token_hex(8)
    try:
        return await handler(request)
    except web.HTTPMethodNotAllowed as error:
        allowed = ", ".join(sorted(error.allowed_methods))
        response = build_problem_response(
            MethodNotAllowed(f"the path allows only {allowed}"), request_id
        )
        response.headers["Allow"] = allowed
        return response
    except web.HTTPException as error:
        return build_problem_response(
            build_refusal_for_status(error.status), request_id
        )
    except Refusal as refusal:
        return build_problem_response(refusal, request_id)
    except Exception:
        logging.exception("request %s failed", request_id)
        failure = InternalError(
            "the router failed while it handled the request", was_run="unknown"
        )
        return build_problem_response(failure, request_id)


def build_refusal_for_status(status: int) -> Refusal:
    """Return the refusal for an error status that aiohttp has chosen."""
    if status == HTTPStatus.NOT_FOUND:
        return UnknownPath("the router does not serve this path")
    if status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
        return BodyTooLarge("the body exceeds the limit")
    return BadRequest(f"the request cannot be served: {HTTPStatus(status).phrase}")


async def handle_expect_header(request: web.Request) -> web.StreamResponse | None:
    """
    Respond to ``Expect: 100-continue`` before the caller sends the body.

    :return: the problem response for another expectation or a body that is
        too large, ``None`` if the caller may send the body.
    """
    # The listener sets ``client_max_size`` to its body limit plus one.
    limit = request.client_max_size
    refusal: Refusal | None = None
    if request.headers.get("Expect", "").lower() != "100-continue":
        refusal = BadRequest("the header Expect must be 100-continue")
    elif (request.content_length or 0) >= limit:
        refusal = BodyTooLarge(f"the body exceeds the limit of {limit - 1} bytes")
    if refusal is not None:
        return build_problem_response(refusal, secrets.token_hex(8))
    await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    # The response itself has not begun: ``handle_error`` may still send one.
    request.writer.output_size = 0
    return None


class ProblemProtocol(web.RequestHandler):
    """Sends a problem response also to requests that are not valid HTTP."""

    def handle_error(
        self,
        request: BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,  # noqa: ARG002
    ) -> web.StreamResponse:
        """Return the response to a request that can't be read or served."""
        if request.writer.output_size > 0:
            raise ConnectionError("the response has already begun")
        refusal: Refusal
        if isinstance(exc, LineTooLong):
            refusal = HeadersTooLarge("a line of the request is too long")
        elif status < HTTPStatus.INTERNAL_SERVER_ERROR:
            refusal = BadRequest("the request is not valid HTTP")
        else:
            logging.error("a request failed in the HTTP server", exc_info=exc)
            refusal = InternalError(
                "the router failed while it handled the request", was_run="unknown"
            )
        response = build_problem_response(refusal, secrets.token_hex(8))
        response.force_close()
        return response
