"""
Failures of an attempt on a backend server.

They stay within the router: a caller receives the response of another attempt
or a ``Refusal``.
"""

from __future__ import annotations

from sycamorehaven.exceptions.base import SycamorehavenError


class BackendError(SycamorehavenError):
    """
    An attempt on a backend server failed.

    :param was_sent: whether any byte of the call was handed to the
        connection.
    """

    code = "backend_error"
    remedy = "the router tries another backend server if the call allows it"

    def __init__(self, detail: str, *, was_sent: bool) -> None:
        super().__init__(detail)
        self._was_sent = was_sent

    @property
    def was_sent(self) -> bool:
        """Whether any byte of the call was handed to the connection."""
        return self._was_sent


class ConnectFailed(BackendError):
    """No connection could be opened, so the call certainly did not run."""

    code = "connect_failed"


class ConnectRefused(ConnectFailed):
    """No process listens at the server's address."""

    code = "connect_refused"


class ServerLost(BackendError):
    """The connection was lost while the call was running."""

    code = "server_lost"


class ServerSilent(BackendError):
    """The connection made no progress within the timeout."""

    code = "server_silent"


class ServerLeaving(BackendError):
    """The backend server refused the call because it is shutting down."""

    code = "server_leaving"


class ServerReplaced(ServerLeaving):
    """Another process has the address of the backend server."""

    code = "server_replaced"


class ServerOverloaded(BackendError):
    """The backend server refused the call because it has no free capacity."""

    code = "server_overloaded"


class ServerUnwilling(BackendError):
    """The server wants no request now, so the call was not sent to it."""

    code = "server_unwilling"


class AnswerInvalid(BackendError):
    """
    The response is invalid.

    It is not valid HTTP, or it doesn't fit the call: the response to a resumed
    call, for example, is of another kind than the first one.
    """

    code = "answer_invalid"


class PermitUnused(BackendError):
    """The permit for a backend server could not be used; nothing was sent."""

    code = "permit_unused"

    def __init__(self, detail: str) -> None:
        super().__init__(detail, was_sent=False)


class RunPreempted(BackendError):
    """The scheduler reclaims the slot that a resumable stream occupies."""

    code = "run_preempted"

    def __init__(self) -> None:
        super().__init__("the scheduler reclaims the slot", was_sent=True)
