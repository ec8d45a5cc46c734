"""Messages about requests that crash backend servers."""

from __future__ import annotations

from typing import NamedTuple

from sycamorehaven.transport.messages.field_types import Fingerprint, ServerName


class Strike(NamedTuple):
    """
    A backend server was lost while it ran a request.

    :ivar fingerprint: xxh3-128 of the request, 16 bytes.
    :ivar strike: unique per loss, so that repeats count once.
    :ivar age: seconds since the loss.
    :ivar server: the backend server.
    :ivar ran: seconds that the request had run.
    :ivar alone: whether no other suspect was on the server.
    """

    fingerprint: Fingerprint
    strike: int
    age: float
    server: ServerName
    ran: float
    alone: bool


class SuspectRequest(NamedTuple):
    """
    A request for the lease on a suspect run, or on a server for one.

    :ivar key: fingerprint of the request or of the server, 16 bytes.
    :ivar number: of the lease at the asker; the same number renews it.
    :ivar release: whether the lease ends.
    """

    key: Fingerprint
    number: int
    release: bool


class SuspectReply(NamedTuple):
    """
    The answer to ``SuspectRequest``.

    :ivar key: the request's.
    :ivar number: the request's.
    :ivar allowed: whether the asker holds the lease.
    """

    key: Fingerprint
    number: int
    allowed: bool


class Acquittal(NamedTuple):
    """
    A suspect request was answered whole; earlier strikes are forgotten.

    :ivar fingerprint: xxh3-128 of the request, 16 bytes.
    :ivar age: seconds since the end of the answer.
    """

    fingerprint: Fingerprint
    age: float
