"""Messages about requests that are suspected of crashing backend servers."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec

from sycamorehaven.transport.messages.field_types import Fingerprint, ServerName

SuspectHash = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
"""Hash of a request, or of a part of prompts at a service."""


class Strike(NamedTuple):
    """
    Reports that a backend server was lost while it ran a request.

    :ivar fingerprint: xxh3-128 hash of the request, 16 bytes.
    :ivar strike: number that is unique per loss, so that a repeated report
        counts once.
    :ivar age: seconds since the loss.
    :ivar server: name of the backend server.
    :ivar ran: seconds for which the request had run.
    :ivar alone: whether the server ran no other suspect request.
    """

    fingerprint: Fingerprint
    strike: int
    age: float
    server: ServerName
    ran: float
    alone: bool


class SuspectRequest(NamedTuple):
    """
    Asks for, renews or releases a lease.

    A router needs a lease on a suspect request, and one on the server, to run
    the request.

    :ivar key: hash of the request or of the server, 16 bytes.
    :ivar number: number of the lease at the sender. The same number renews
        the lease.
    :ivar release: whether the sender releases the lease.
    """

    key: Fingerprint
    number: int
    release: bool


class SuspectReply(NamedTuple):
    """
    The reply to a ``SuspectRequest``.

    :ivar key: key of the ``SuspectRequest``.
    :ivar number: number of the ``SuspectRequest``.
    :ivar allowed: whether the receiver of the reply holds the lease.
    """

    key: Fingerprint
    number: int
    allowed: bool


class Acquittal(NamedTuple):
    """
    Clears a suspect request that a server has answered completely.

    The receiver discards earlier strikes against the request.

    :ivar fingerprint: xxh3-128 hash of the request, 16 bytes.
    :ivar age: seconds since the end of the answer.
    """

    fingerprint: Fingerprint
    age: float


class LostRunReport(NamedTuple):
    """
    A run on a published route that ended because its server was lost.

    :ivar server: id of the server together with its start.
    :ivar age: seconds since the loss.
    :ivar request: hash of the request.
    :ivar parts: hashes of the parts of its prompt that are suspected.
    """

    server: ServerName
    age: Annotated[float, msgspec.Meta(ge=0.0)]
    request: SuspectHash
    parts: Annotated[list[SuspectHash], msgspec.Meta(max_length=64)]


class LostRuns(NamedTuple):
    """
    Tells of lost runs.

    :ivar runs: the runs.
    """

    runs: Annotated[list[LostRunReport], msgspec.Meta(max_length=32)]


class Exoneration(NamedTuple):
    """
    Clears suspects on published routes, and servers that were taken for lost.

    :ivar suspects: hashes of requests and parts that servers have answered.
    :ivar servers: id of each server together with its start.
    :ivar is_reply: whether it replies to a report of the receiver, who then
        tells those that have the report.
    """

    suspects: Annotated[list[SuspectHash], msgspec.Meta(max_length=4_096)]
    servers: Annotated[list[ServerName], msgspec.Meta(max_length=64)]
    is_reply: bool


class TrialRequest(NamedTuple):
    """
    Asks whether one request with a blocked suspect may be tried.

    :ivar suspect: hash of the suspect.
    """

    suspect: SuspectHash


class TrialReply(NamedTuple):
    """
    The reply to a ``TrialRequest``.

    :ivar suspect: hash of the suspect.
    :ivar allowed: whether the receiver may try one request.
    """

    suspect: SuspectHash
    allowed: bool
