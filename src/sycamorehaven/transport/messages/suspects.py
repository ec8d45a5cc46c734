"""Messages about requests that are suspected of crashing backend servers."""

from __future__ import annotations

from typing import NamedTuple

from sycamorehaven.transport.messages.field_types import Fingerprint, ServerName


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
