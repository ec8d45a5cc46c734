"""Ids of the request and trace that the current task handles, for logs."""

from __future__ import annotations

from contextvars import ContextVar

from opentelemetry import trace

_current_request_id: ContextVar[str] = ContextVar("request_id", default="")


def bind_request_id(request_id: str) -> None:
    """Add a request id to every further log line of the current task."""
    _current_request_id.set(request_id)


def get_request_id() -> str:
    """Return the id of the request that the task handles, "" for none."""
    return _current_request_id.get()


def get_trace_id() -> str:
    """Return the id of the current trace as 32 hex digits, "" for none."""
    context = trace.get_current_span().get_span_context()
    return trace.format_trace_id(context.trace_id) if context.is_valid else ""
