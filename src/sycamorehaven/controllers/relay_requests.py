"""
Converts calls to and from the messages that relay them between routers.

The context of the current trace travels in the headers of the call.
"""

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
"""``Retry-After`` while this router has no configuration."""


def add_trace_headers(call: Call) -> list[tuple[str, str]]:
    """Return the headers of a call, followed by those of the current trace."""
    carrier: dict[str, str] = {}
    propagate.inject(carrier)
    return [*call.headers, *carrier.items()]


def decode_relayed_call(
    message: RelayCall, configuration: Configuration | None, now: float
) -> Call:
    """
    Return the call that another router relays.

    The call is marked as neither idempotent nor resumable: it runs with its
    token on this router and nowhere else.

    :param message: the received message.
    :param configuration: this router's configuration, if it has one.
    :param now: monotonic seconds, from which the timeout of the call counts.
    :raises Refusal: if this router does not know the workspace or the service.
    """
    if configuration is None:
        raise NotReady(
            "the router that the call was relayed to has no configuration yet",
            retry_after=RETRY_AFTER_SECONDS,
        )
    workspace = configuration.workspaces.get(message.workspace)
    service = configuration.services.get(message.service)
    if workspace is None:
        raise InvalidWorkspaceKey(
            "the workspace is unknown to the router that the call was relayed to"
        )
    if service is None:
        raise UnknownService(
            f"the service {message.service!r} is unknown to the router that the call "
            "was relayed to"
        )
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
