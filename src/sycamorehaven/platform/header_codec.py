"""Codec of the platform's headers between clients and backend servers."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from multidict import CIMultiDict

from sycamorehaven.exceptions.refusals import BadRequest
from sycamorehaven.platform.decoding import MAX_COLD_SECONDS
from sycamorehaven.routing.requests import (
    PromptPart,
    RequestHead,
    RequestIdentity,
    ResponseHead,
    ServerStatement,
)
from sycamorehaven.transport.headers import HOP_BY_HOP_HEADERS, list_connection_headers

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sycamorehaven.routing.requests import RoutedRequest, SendPlan
    from sycamorehaven.transport.headers import Headers

ATTEMPT_ID_HEADER = "Sycamorehaven-Attempt-Id"
"""Id that the client gave this attempt; a response repeats it."""
DEADLINE_HEADER = "Sycamorehaven-Deadline-Ms"
"""Milliseconds that remain until the sender stops waiting."""
KEY_HEADER = "Sycamorehaven-Key"
"""Key that authenticates the client; it is never forwarded."""
MODEL_HEADER = "Sycamorehaven-Model"
"""Name of the requested model."""
TOKEN_COUNTS_HEADER = "Sycamorehaven-Token-Usage"
"""Prompt tokens and the maximum of output tokens, not the tokens used."""
OUTPUT_LENGTH_HINT_HEADER = "Sycamorehaven-Length-Hint"
"""Expected number of output tokens."""
PROMPT_PARTS_HEADER = "Sycamorehaven-Prefix-Hash"
"""Keys and lengths of all parts of the prompt, not a single hash."""
LAST_EVENT_ID_HEADER = "Last-Event-Id"
"""Id of the last event received of a stream that is being resumed."""
RESUMED_ATTEMPT_HEADER = "Resumes"
"""Id of the attempt that brought the first event of a resumed stream."""
EXPECTED_SERVER_HEADER = "Sycamorehaven-Expect-Instance"
"""Id of the backend server that the request is meant for."""
WORKSPACE_HEADER = "Sycamorehaven-Tenant"
"""Name of the client's workspace."""
RESPONSE_SIGNATURE_HEADER = "Sycamorehaven-Response-Signature"
"""Signature that shows that a backend server produced the response."""
NOT_EXECUTED_HEADER = "Sycamorehaven-Not-Executed"
"""Present if the server did not execute the request."""
PROMPT_CACHE_SOURCE_HEADER = "Kv-Fetch"
"""Address of a server whose cache of the prompt is copied first."""
SERVER_LIMIT_HEADER = "Server-Limit"
"""Requests per second that a server takes from all routers together."""
SERVER_LEAVING_HEADER = "Server-Leaving"
"""``1`` in every response of a server that shuts down."""
COLD_HEADER = "Sycamorehaven-Cold-Remaining-Ms"
"""Milliseconds for which a server stays cold."""
REST_HEADER = "Retry-After"
"""In a 503 of a server: seconds for which it wants nothing from this router.
Clients get the header from the router, never from a server."""
USUAL_LOAD_PERCENTAGE = 100
"""Fourth figure of the load of a server that is as fast as usual."""
SERVER_LOAD_HEADER = "Sycamorehaven-Server-Load"
"""Running and waiting requests, slots and, at some servers, the time that work
takes now in percent of the usual one."""
REST_STATUS = 503
"""Status of the responses in which a server may ask for rest."""
MISDIRECTED_REQUEST_STATUS = 421
"""Status by which a server rejects a request meant for another server."""

POSITIVE_DECIMAL = re.compile(r"(?=.*[1-9])\d{1,9}(\.\d{1,9})?", re.ASCII)
"""A positive number without an exponent, of a sensible length."""
NON_NEGATIVE_DECIMAL = re.compile(r"\d{1,9}(\.\d{1,9})?", re.ASCII)
"""The same, or zero."""
LOAD_FIGURES = re.compile(
    r"\d{1,9}\s*,\s*\d{1,9}\s*,\s*\d{1,9}(?:\s*,\s*([1-9]\d{0,3}|10000))?",
    re.ASCII,
)
"""Three figures of a server's load and perhaps a fourth one, 1 to 10,000."""
MAX_LOGGED_VALUE_CHARACTERS = 40
"""Length to which a value is cut that is no number."""

ROUTER_CONTROLLED_HEADERS = frozenset(
    name.lower()
    for name in (
        KEY_HEADER,
        DEADLINE_HEADER,
        LAST_EVENT_ID_HEADER,
        EXPECTED_SERVER_HEADER,
        WORKSPACE_HEADER,
        "Content-Length",
        PROMPT_CACHE_SOURCE_HEADER,
        "Kv-From",
        "Sycamorehaven-Cache-Retain",
        "Sycamorehaven-Kv-Backup",
        "Sycamorehaven-Pin-Ms",
    )
)
"""Headers of a client that are never forwarded as the client sent them."""


_ATTEMPT_ID_NAME = ATTEMPT_ID_HEADER.lower()
_DEADLINE_NAME = DEADLINE_HEADER.lower()
_KEY_NAME = KEY_HEADER.lower()


class PlatformHeaderCodec:
    """Parses and builds the platform's headers."""

    def parse_request_headers(self, headers: Iterable[tuple[str, str]]) -> RequestHead:
        """Return the metadata from the headers of a client's request."""
        values = CIMultiDict(headers)
        deadline = values.get(DEADLINE_HEADER)
        last_event_id = values.get(LAST_EVENT_ID_HEADER)
        try:
            parts = _parse_prompt_parts(values.get(PROMPT_PARTS_HEADER, ""))
            prompt, output = _parse_token_counts(values.get(TOKEN_COUNTS_HEADER, ""))
            if hint := values.get(OUTPUT_LENGTH_HINT_HEADER):
                output = min(output, int(float(hint)))
            return RequestHead(
                attempt_id=values.get(ATTEMPT_ID_HEADER, ""),
                client_timeout=float(deadline) / 1_000 if deadline else None,
                client_key=values.get(KEY_HEADER, ""),
                model=values.get(MODEL_HEADER, ""),
                prompt_parts=parts,
                prompt_tokens=prompt,
                output_tokens=output,
                last_event_id=int(last_event_id) if last_event_id else None,
                resumed_attempt_id=values.get(RESUMED_ATTEMPT_HEADER, ""),
            )
        except ValueError as error:
            raise BadRequest(f"a header of the request is malformed: {error}") from None

    def parse_identity(self, headers: Iterable[tuple[str, str]]) -> RequestIdentity:
        """Return whose request it is from the headers of the request."""
        values = {name.lower(): value for name, value in headers}
        deadline = values.get(_DEADLINE_NAME)
        try:
            return RequestIdentity(
                attempt_id=values.get(_ATTEMPT_ID_NAME, ""),
                client_timeout=float(deadline) / 1_000 if deadline else None,
                client_key=values.get(_KEY_NAME, ""),
            )
        except ValueError as error:
            raise BadRequest(f"a header of the request is malformed: {error}") from None

    def filter_request_headers(self, headers: Iterable[tuple[str, str]]) -> Headers:
        """Return the request headers that may be forwarded to a server."""
        pairs = list(headers)
        excluded = (
            (HOP_BY_HOP_HEADERS - {"host"})
            | ROUTER_CONTROLLED_HEADERS
            | list_connection_headers(pairs)
        )
        return tuple(
            (name, value) for name, value in pairs if name.lower() not in excluded
        )

    def build_request_headers(
        self, request: RoutedRequest, plan: SendPlan, seconds_left: float
    ) -> Headers:
        """Return the headers to send to a backend server."""
        router_headers = [
            (DEADLINE_HEADER, str(max(int(seconds_left * 1_000), 1))),
            (EXPECTED_SERVER_HEADER, plan.server.id),
        ]
        if request.workspace:
            router_headers.append((WORKSPACE_HEADER, request.workspace))
        if plan.last_event_id >= 0:
            router_headers.append((LAST_EVENT_ID_HEADER, str(plan.last_event_id)))
        if plan.prompt_cache_source:
            router_headers.append(
                (PROMPT_CACHE_SOURCE_HEADER, plan.prompt_cache_source)
            )
        return (*request.headers, *router_headers)

    def parse_response_headers(
        self, status: int, headers: Iterable[tuple[str, str]]
    ) -> ResponseHead:
        """Return the metadata from the headers of a server's response."""
        values = CIMultiDict(headers)
        slowdown, malformed_load = _parse_slowdown(values)
        return ResponseHead(
            attempt_id=values.get(ATTEMPT_ID_HEADER, ""),
            is_signed=RESPONSE_SIGNATURE_HEADER in values,
            was_executed=status != MISDIRECTED_REQUEST_STATUS
            and NOT_EXECUTED_HEADER not in values,
            closes_connection=values.get("Connection", "").lower() == "close",
            statement=None
            if status == MISDIRECTED_REQUEST_STATUS
            else _parse_statement(status, values),
            slowdown=slowdown,
            malformed_load=malformed_load,
        )


def _parse_statement(status: int, values: CIMultiDict[str]) -> ServerStatement:
    """Return what a server says of itself in a response."""
    unreadable: list[str] = []
    rest = None
    if status == REST_STATUS:
        rest = _parse_positive_decimal(REST_HEADER, values, unreadable)
    leaving = values.getall(SERVER_LEAVING_HEADER, [])
    if leaving not in ([], ["1"]):
        unreadable.append(_describe_header(SERVER_LEAVING_HEADER, leaving))
    limit = _parse_positive_decimal(SERVER_LIMIT_HEADER, values, unreadable)
    cold_seconds = _parse_cold_seconds(values, unreadable)
    return ServerStatement(
        limit,
        rest,
        leaving == ["1"],
        tuple(unreadable),
        cold_seconds,
    )


def _parse_cold_seconds(
    values: CIMultiDict[str], unreadable: list[str]
) -> float | None:
    """
    Return how long a server stays cold, ``None`` if it does not say.

    :param unreadable: gets the header if it cannot be read.
    """
    texts = values.getall(COLD_HEADER, [])
    if not texts:
        return None
    if len(texts) == 1 and NON_NEGATIVE_DECIMAL.fullmatch(texts[0].strip()):
        seconds = float(texts[0]) / 1_000
        if seconds <= MAX_COLD_SECONDS:
            return seconds
    unreadable.append(_describe_header(COLD_HEADER, texts))
    return None


def _parse_slowdown(values: CIMultiDict[str]) -> tuple[float | None, str]:
    """Return the slowdown that a server reports, and what makes no sense."""
    texts = values.getall(SERVER_LOAD_HEADER, [])
    if not texts:
        return None, ""
    match = LOAD_FIGURES.fullmatch(texts[0].strip()) if len(texts) == 1 else None
    if match is None:
        return None, _describe_header(SERVER_LOAD_HEADER, texts)
    percentage = match.group(1)
    return (int(percentage) / USUAL_LOAD_PERCENTAGE if percentage else None), ""


def _parse_positive_decimal(
    name: str, values: CIMultiDict[str], unreadable: list[str]
) -> float | None:
    """
    Return the number in a header, ``None`` if it is missing or unreadable.

    :param unreadable: gets the header if it cannot be read.
    """
    texts = values.getall(name, [])
    if not texts:
        return None
    if len(texts) == 1 and POSITIVE_DECIMAL.fullmatch(texts[0].strip()):
        return float(texts[0])
    unreadable.append(_describe_header(name, texts))
    return None


def _describe_header(name: str, texts: list[str]) -> str:
    return f"{name}: {', '.join(texts)[:MAX_LOGGED_VALUE_CHARACTERS]}"


def _parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in filter(None, (piece.strip() for piece in text.split(","))):
        key, _, tokens = entry.partition(":")
        parts.append(PromptPart(key, int(tokens or 0)))
    return tuple(parts)


def _parse_token_counts(text: str) -> tuple[int, int]:
    if not text:
        return 0, 0
    prompt, _, output = text.partition(",")
    return int(prompt), int(output or 0)
