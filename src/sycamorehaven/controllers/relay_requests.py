"""A relayed call as a message, and back; it carries the trace along."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry import propagate

from sycamorehaven.call import Call
from sycamorehaven.exceptions.refusals import (
    InvalidWorkspaceKey,
    NotReady,
    UnknownService,
)
from sycamorehaven.transport.call_reader import choose_rule

if TYPE_CHECKING:
    from sycamorehaven.configuration.model import Configuration
    from sycamorehaven.transport.messages.relays import RelayCall

RETRY_AFTER_SECONDS = 1.0
"""Seconds a caller is asked to wait while the owner has no configuration."""


def add_trace_headers(call: Call) -> list[tuple[str, str]]:
    """Return the headers of a call and those of the current trace."""
    carrier: dict[str, str] = {}
    propagate.inject(carrier)
    return [*call.headers, *carrier.items()]


def decode_relayed_call(
    message: RelayCall, configuration: Configuration | None, now: float
) -> Call:
    """
    Return the call that another router relays.

    :param now: monotonic seconds, from which its timeout counts.
    :raises Refusal: if this router does not know what it names.
    """
    if configuration is None:
        raise NotReady("no configuration yet", retry_after=RETRY_AFTER_SECONDS)
    workspace = configuration.workspaces.get(message.workspace)
    service = configuration.services.get(message.service)
    if workspace is None:
        raise InvalidWorkspaceKey("the workspace is not known to the owner")
    if service is None:
        raise UnknownService(f"no service {message.service!r}")
    rule = choose_rule(service, message.method, message.path)
    fields = propagate.get_global_textmap().fields
    return Call(
        request_id=message.request_id,
        workspace=workspace,
        service=service,
        rule=rule._replace(idempotent=False, resumable=False),
        method=message.method,
        path=message.path,
        headers=tuple((n, v) for n, v in message.headers if n not in fields),
        body=message.body,
        priority=message.priority,
        deadline=now + message.timeout,
        cost_hint=message.cost_hint,
        token=message.token,
    )
