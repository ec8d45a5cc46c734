"""Headers by which clients, routers and backend servers talk."""

from __future__ import annotations

from typing import TYPE_CHECKING

from multidict import CIMultiDict

from sycamorehaven.exceptions.refusals import BadRequest
from sycamorehaven.routing.requests import (
    PromptPart,
    RequestHead,
    ResponseHead,
)
from sycamorehaven.transport.headers import HOP_BY_HOP_HEADERS, list_connection_headers

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sycamorehaven.routing.requests import RoutedRequest, SendPlan
    from sycamorehaven.transport.headers import Headers

ATTEMPT_ID_HEADER = "Sycamorehaven-Attempt-Id"
DEADLINE_HEADER = "Sycamorehaven-Deadline-Ms"
KEY_HEADER = "Sycamorehaven-Key"
MODEL_HEADER = "Sycamorehaven-Model"
# Prompt tokens and the most output tokens, not what was used.
TOKEN_COUNTS_HEADER = "Sycamorehaven-Token-Usage"
OUTPUT_LENGTH_HINT_HEADER = "Sycamorehaven-Length-Hint"
# The parts of a prompt with their lengths, not one hash.
PROMPT_PARTS_HEADER = "Sycamorehaven-Prefix-Hash"
LAST_EVENT_ID_HEADER = "Last-Event-Id"
EXPECTED_SERVER_HEADER = "Sycamorehaven-Expect-Instance"
WORKSPACE_HEADER = "Sycamorehaven-Tenant"
RESPONSE_SIGNATURE_HEADER = "Sycamorehaven-Response-Signature"
NOT_EXECUTED_HEADER = "Sycamorehaven-Not-Executed"
# Address of a server whose memory of the prompt is copied first.
PROMPT_CACHE_SOURCE_HEADER = "Kv-Fetch"
MISDIRECTED_REQUEST_STATUS = 421

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
"""Headers of a client that never reach a server as the client sent them."""


class PlatformHeaderCodec:
    """Reads and writes the platform's headers."""

    def parse_request_headers(self, headers: Iterable[tuple[str, str]]) -> RequestHead:
        """Return what the headers of a request say."""
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
            )
        except ValueError as error:
            raise BadRequest(f"a header of the request is malformed: {error}") from None

    def filter_request_headers(self, headers: Iterable[tuple[str, str]]) -> Headers:
        """Return the headers of a request that may be passed on."""
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
        """Return the headers of a request to a backend server."""
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
        """Return what the headers of an answer say."""
        values = CIMultiDict(headers)
        return ResponseHead(
            attempt_id=values.get(ATTEMPT_ID_HEADER, ""),
            is_signed=RESPONSE_SIGNATURE_HEADER in values,
            was_executed=status != MISDIRECTED_REQUEST_STATUS
            and NOT_EXECUTED_HEADER not in values,
            closes_connection=values.get("Connection", "").lower() == "close",
        )


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
