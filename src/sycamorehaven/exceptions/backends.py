"""Failures of an attempt on a backend server, seen by the router only."""

from __future__ import annotations

from sycamorehaven.exceptions.base import SycamorehavenError


class BackendError(SycamorehavenError):
    """
    An attempt on a backend server failed.

    :param sent: whether any byte of the call was handed to the connection.
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
    """No connection could be opened; the call provably did not run."""

    code = "connect_failed"


class ServerLost(BackendError):
    """The connection broke while the call ran."""

    code = "server_lost"


class ServerSilent(BackendError):
    """The connection made no progress within its timeout."""

    code = "server_silent"


class ServerLeaving(BackendError):
    """The backend server refused the call because it is leaving."""

    code = "server_leaving"


class ServerOverloaded(BackendError):
    """The backend server refused the call for lack of capacity."""

    code = "server_overloaded"


class AnswerInvalid(BackendError):
    """The answer is not valid HTTP, or a resumed one is of another kind."""

    code = "answer_invalid"


class PermitUnused(BackendError):
    """The permit could not be used; nothing was sent."""

    code = "permit_unused"

    def __init__(self, detail: str) -> None:
        super().__init__(detail, was_sent=False)


class RunPreempted(BackendError):
    """The scheduler wants the slot of a resumable stream back."""

    code = "run_preempted"

    def __init__(self) -> None:
        super().__init__("the scheduler wants the slot back", was_sent=True)
