"""Refusals as ``application/problem+json`` answers (RFC 9457)."""

from __future__ import annotations

import math
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

if TYPE_CHECKING:
    from sycamorehaven.exceptions.refusals import Refusal


def build_problem(refusal: Refusal, request_id: str) -> web.Response:
    """Return the answer for a refusal."""
    body: dict[str, object] = {
        "type": "about:blank",
        "title": HTTPStatus(refusal.status).phrase,
        "status": refusal.status,
        "detail": refusal.detail,
        "code": refusal.code,
        "was_run": refusal.was_run,
        "remedy": refusal.advice,
        "request_id": request_id,
        **refusal.extra,
    }
    headers = {"Request-Id": request_id}
    if refusal.retry_after is not None:
        headers["Retry-After"] = str(max(math.ceil(refusal.retry_after), 1))
        body["retry_after"] = round(refusal.retry_after, 3)
    return web.Response(
        status=refusal.status,
        body=msgspec.json.encode(body),
        headers=headers,
        content_type="application/problem+json",
    )
