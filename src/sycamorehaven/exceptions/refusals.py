"""
Refusals and failures that a router reports to the caller.

Each is sent as an ``application/problem+json`` response (RFC 9457). Its
``was_run`` member is ``"no"`` only if no byte of the call was handed to the
connection to a backend server.
"""

from __future__ import annotations

from typing import ClassVar, Literal

from sycamorehaven.exceptions.base import SycamorehavenError

WasRun = Literal["no", "yes", "unknown"]
"""Whether a call ran on a backend server."""


class Refusal(SycamorehavenError):
    """
    A final response that the router itself makes.

    :cvar status: HTTP status code of the response.
    :param detail: why the call was refused or failed.
    :param was_run: whether the call ran on a backend server.
    :param retry_after: seconds after which a retry may succeed, ``None`` if
        the response shall not suggest a retry.
    :param problem_members: further members of the problem document.
    :param remedy: remedy of this occurrence, ``None`` for the class's remedy.
    """

    status: ClassVar[int] = 500

    def __init__(
        self,
        detail: str,
        *,
        was_run: WasRun = "no",
        retry_after: float | None = None,
        problem_members: dict[str, str] | None = None,
        remedy: str | None = None,
    ) -> None:
        super().__init__(detail, remedy=remedy)
        self._was_run: WasRun = was_run
        self._retry_after = retry_after
        self._problem_members = problem_members or {}

    @property
    def was_run(self) -> WasRun:
        """Whether the call ran on a backend server."""
        return self._was_run

    def mark_outcome_uncertain(self, *, is_retry_safe: bool = True) -> None:
        """
        Record that the call, or an earlier copy of it, may have run.

        Without ``is_retry_safe``, the response no longer suggests a retry.

        :param is_retry_safe: whether a retry does no harm even if the call
            has already run.
        """
        if self._was_run == "no":
            self._was_run = "unknown"
        if not is_retry_safe:
            self._retry_after = None

    @property
    def retry_after(self) -> float | None:
        """Seconds after which a retry may succeed, or ``None``."""
        return self._retry_after

    @property
    def problem_members(self) -> dict[str, str]:
        """Further members of the problem document."""
        return self._problem_members


class BadRequest(Refusal):
    """A header or the body of the request is malformed."""

    code = "bad_request"
    status = 400
    remedy = "correct the named header or body and send the request again"


class InvalidToken(Refusal):
    """The idempotency token is malformed, forged or of another workspace."""

    code = "invalid_idempotency_token"
    status = 400
    remedy = "send the token exactly as it was minted for this workspace"


class InvalidWorkspaceKey(Refusal):
    """The bearer key belongs to no workspace."""

    code = "invalid_workspace_key"
    status = 401
    remedy = "send 'Authorization: Bearer <workspace key>' with a valid key"


class UnknownService(Refusal):
    """The configuration has no service of the requested name."""

    code = "unknown_service"
    status = 404
    remedy = "use a service named in the operators' configuration"


class UnknownPath(Refusal):
    """The router has no resource at the requested path."""

    code = "unknown_path"
    status = 404
    remedy = "call /v1/services/<service>/<path at the service>"


class MethodNotAllowed(Refusal):
    """The router does not accept the method on the requested path."""

    code = "method_not_allowed"
    status = 405
    remedy = "use a method named in the Allow header"


class BodyTimeout(Refusal):
    """The request body was not received within the time limit."""

    code = "body_timeout"
    status = 408
    remedy = "send the whole body without long pauses"


class HeadTimeout(Refusal):
    """The request line and headers were not received within the time limit."""

    code = "head_timeout"
    status = 408
    remedy = "send the whole head without pauses"


class OutcomeUnknown(Refusal):
    """The router that owned the token is gone; the call is never repeated."""

    code = "outcome_unknown"
    status = 409
    remedy = "look up whether the call took effect, then use a new token"


class TokenExpired(Refusal):
    """The idempotency token has expired or was not minted by this router."""

    code = "token_expired"
    status = 409
    remedy = "mint a new token with POST /v1/idempotency-tokens"


class TokenMismatch(Refusal):
    """The token was first used with another request."""

    code = "token_mismatch"
    status = 422
    remedy = "use one token per request; mint a new one for this request"


class AnswerGone(Refusal):
    """The call with the token ran, but its response is no longer stored."""

    code = "answer_gone"
    status = 410
    remedy = "look up the effect of the call; do not send it with a new token"


class BodyTooLarge(Refusal):
    """The request body exceeds the size limit."""

    code = "body_too_large"
    status = 413
    remedy = "send a smaller body"


class TargetTooLong(Refusal):
    """The path and query of the request exceed the length limit."""

    code = "target_too_long"
    status = 414
    remedy = "send a shorter path and query"


class RequestQuarantined(Refusal):
    """The request is quarantined: servers were lost while they ran it."""

    code = "request_quarantined"
    status = 422
    remedy = "change the request; the same one stays refused for a while"


class TokenRequired(Refusal):
    """A call that is not idempotent has no idempotency token."""

    code = "idempotency_token_required"
    status = 428
    remedy = "send the call again with the Idempotency-Token in this answer"


class QueueFull(Refusal):
    """The workspace's queue on the router has reached its limit."""

    code = "queue_full"
    status = 429
    remedy = "send again after Retry-After seconds, or send less at once"


class QueueMemoryFull(Refusal):
    """The workspace uses too much of the memory for queued bodies."""

    code = "queue_memory_full"
    status = 429
    remedy = "send again after Retry-After seconds, or queue fewer large bodies"


class HeadersTooLarge(Refusal):
    """The request headers exceed the size limit."""

    code = "headers_too_large"
    status = 431
    remedy = "send fewer or shorter headers"


class InternalError(Refusal):
    """An unexpected error occurred while the router handled the request."""

    code = "internal_error"
    status = 500
    remedy = "report the request id; an idempotent request may be sent again"


class DeadlineUnreachable(Refusal):
    """The request cannot be served within its timeout."""

    code = "deadline_unreachable"
    status = 503
    remedy = "send again after Retry-After seconds or with a longer timeout"


class DependencyUnavailable(Refusal):
    """A service that this one depends on has no serving backend server."""

    code = "dependency_unavailable"
    status = 503
    remedy = "send again after Retry-After seconds"


class NoBackendServer(Refusal):
    """No backend server of the service accepts requests."""

    code = "no_backend_server"
    status = 503
    remedy = "send again after Retry-After seconds"


class ServersLimited(Refusal):
    """All backend servers of the service take fewer requests than arrive."""

    code = "servers_limited"
    status = 503
    remedy = "send again after Retry-After seconds"


class ServersResting(Refusal):
    """All backend servers of the service have asked for rest."""

    code = "servers_resting"
    status = 503
    remedy = "send again after Retry-After seconds"


class DomainsEvacuated(Refusal):
    """All backend servers of the service are in evacuated failure domains."""

    code = "domains_evacuated"
    status = 503
    remedy = "send again after Retry-After seconds"


class CrashSuspected(Refusal):
    """Servers were lost while they ran the request or others like it."""

    code = "crash_suspected"
    status = 503
    remedy = (
        "change the request or the part of its prompt that is named, or send it"
        " again after Retry-After seconds"
    )


class StreamOriginUnknown(Refusal):
    """It cannot be shown which software version began a stream."""

    code = "stream_origin_unknown"
    status = 503
    remedy = "request the stream from its beginning"


class RouterBusy(Refusal):
    """The router has more requests than it has time to handle."""

    code = "router_busy"
    status = 503
    remedy = "send again after Retry-After seconds"


class MemoryShort(Refusal):
    """The requests of all clients occupy the memory for them."""

    code = "memory_short"
    status = 503
    remedy = "send again after Retry-After seconds"


class NotReady(Refusal):
    """The router has no configuration yet."""

    code = "not_ready"
    status = 503
    remedy = "send again after Retry-After seconds, through any router"


class Draining(Refusal):
    """The router is shutting down and accepts no new requests."""

    code = "draining"
    status = 503
    remedy = "send again at once; the balancer picks another router"


class TokenOwnerUnreachable(Refusal):
    """The router that owns the token is currently unreachable."""

    code = "token_owner_unreachable"
    status = 503
    remedy = "send the same token again after Retry-After seconds"


class TokenTableFull(Refusal):
    """The router's table of used idempotency tokens is full."""

    code = "token_table_full"
    status = 503
    remedy = "mint a token through another router or after Retry-After seconds"


class AttemptsExhausted(Refusal):
    """Every permitted attempt on a backend server failed."""

    code = "attempts_exhausted"
    status = 502
    remedy = "an idempotent request may be sent again after Retry-After"


class BackendTimeout(Refusal):
    """The backend server's response did not begin or progress in time."""

    code = "backend_timeout"
    status = 504
    remedy = "an idempotent request may be sent again after Retry-After"


def create_refusal(
    code: str,
    detail: str,
    *,
    was_run: WasRun,
    retry_after: float | None,
    remedy: str,
) -> Refusal:
    """
    Create a refusal that another router has described in a relay message.

    An unknown code gives a plain ``Refusal``.

    :param code: code of one of the refusal classes.
    """
    classes = {
        refusal_class.code: refusal_class for refusal_class in Refusal.__subclasses__()
    }
    refusal_class = classes.get(code, Refusal)
    return refusal_class(
        detail, was_run=was_run, retry_after=retry_after, remedy=remedy
    )
