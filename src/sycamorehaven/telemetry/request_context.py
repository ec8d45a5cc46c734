"""The request that the running task works for, for log lines."""

from __future__ import annotations

from contextvars import ContextVar

from opentelemetry import trace

_current_request_id: ContextVar[str] = ContextVar("request_id", default="")


def bind_request_id(request_id: str) -> None:
    """Put a request's id on every later log line of the current task."""
    _current_request_id.set(request_id)


def get_request_id() -> str:
    """Return the id of the request that the task works for, or ""."""
    return _current_request_id.get()


def get_trace_id() -> str:
    """Return the id of the current trace, 32 hex digits, or ""."""
    context = trace.get_current_span().get_span_context()
    return trace.format_trace_id(context.trace_id) if context.is_valid else ""
