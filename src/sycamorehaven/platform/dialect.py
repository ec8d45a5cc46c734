"""Headers by which clients, routers and backend servers talk."""

from __future__ import annotations

from typing import TYPE_CHECKING

from multidict import CIMultiDict

from sycamorehaven.exceptions.refusals import BadRequest
from sycamorehaven.routing.requests import (
    AnswerHead,
    PromptPart,
    RequestHead,
)
from sycamorehaven.transport.headers import HOP_BY_HOP_HEADERS, list_connection_headers

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sycamorehaven.routing.requests import RoutedRequest, SendPlan
    from sycamorehaven.transport.headers import Headers

ATTEMPT = "Sycamorehaven-Attempt-Id"
DEADLINE = "Sycamorehaven-Deadline-Ms"
KEY = "Sycamorehaven-Key"
MODEL = "Sycamorehaven-Model"
# Prompt tokens and the most output tokens, not what was used.
TOKENS = "Sycamorehaven-Token-Usage"
LENGTH = "Sycamorehaven-Length-Hint"
# The parts of a prompt with their lengths, not one hash.
PROMPT = "Sycamorehaven-Prefix-Hash"
LAST_EVENT = "Last-Event-Id"
INSTANCE = "Sycamorehaven-Expect-Instance"
WORKSPACE = "Sycamorehaven-Tenant"
SIGNATURE = "Sycamorehaven-Response-Signature"
NOT_EXECUTED = "Sycamorehaven-Not-Executed"
# Address of a server whose memory of the prompt is copied first.
SOURCE = "Kv-Fetch"
MISDIRECTED = 421

SET_BY_ROUTER = frozenset(
    name.lower()
    for name in (
        KEY,
        DEADLINE,
        LAST_EVENT,
        INSTANCE,
        WORKSPACE,
        "Content-Length",
        SOURCE,
        "Kv-From",
        "Sycamorehaven-Cache-Retain",
        "Sycamorehaven-Kv-Backup",
        "Sycamorehaven-Pin-Ms",
    )
)
"""Headers of a client that never reach a server as the client sent them."""


class PlatformDialect:
    """Reads and writes the platform's headers."""

    def read_request(self, headers: Iterable[tuple[str, str]]) -> RequestHead:
        """Return what the headers of a request say."""
        found = CIMultiDict(headers)
        deadline = found.get(DEADLINE)
        event = found.get(LAST_EVENT)
        try:
            parts = _read_parts(found.get(PROMPT, ""))
            prompt, output = _read_tokens(found.get(TOKENS, ""))
            if hint := found.get(LENGTH):
                output = min(output, int(float(hint)))
            return RequestHead(
                attempt=found.get(ATTEMPT, ""),
                patience=float(deadline) / 1_000 if deadline else None,
                key=found.get(KEY, ""),
                model=found.get(MODEL, ""),
                parts=parts,
                prompt_tokens=prompt,
                output_tokens=output,
                last_event=int(event) if event else None,
            )
        except ValueError as error:
            raise BadRequest(f"a header of the request is malformed: {error}") from None

    def filter_request(self, headers: Iterable[tuple[str, str]]) -> Headers:
        """Return the headers of a request that may be passed on."""
        pairs = list(headers)
        left_out = (
            (HOP_BY_HOP_HEADERS - {"host"})
            | SET_BY_ROUTER
            | list_connection_headers(pairs)
        )
        return tuple(
            (name, value) for name, value in pairs if name.lower() not in left_out
        )

    def build_request(
        self, request: RoutedRequest, send: SendPlan, left: float
    ) -> Headers:
        """Return the headers of a request to a backend server."""
        own = [(DEADLINE, str(max(int(left * 1_000), 1))), (INSTANCE, send.server.id)]
        if request.workspace:
            own.append((WORKSPACE, request.workspace))
        if send.event >= 0:
            own.append((LAST_EVENT, str(send.event)))
        if send.source:
            own.append((SOURCE, send.source))
        return (*request.headers, *own)

    def read_answer(
        self, status: int, headers: Iterable[tuple[str, str]]
    ) -> AnswerHead:
        """Return what the headers of an answer say."""
        found = CIMultiDict(headers)
        return AnswerHead(
            attempt=found.get(ATTEMPT, ""),
            signed=SIGNATURE in found,
            executed=status != MISDIRECTED and NOT_EXECUTED not in found,
            closing=found.get("Connection", "").lower() == "close",
        )


def _read_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in filter(None, (piece.strip() for piece in text.split(","))):
        key, _, tokens = entry.partition(":")
        parts.append(PromptPart(key, int(tokens or 0)))
    return tuple(parts)


def _read_tokens(text: str) -> tuple[int, int]:
    if not text:
        return 0, 0
    prompt, _, output = text.partition(",")
    return int(prompt), int(output or 0)
