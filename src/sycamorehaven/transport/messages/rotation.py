"""Messages by which routers of a failure domain tell each other their load."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec

Workspaces = Annotated[list[str], msgspec.Meta(max_length=16)]
Address = Annotated[str, msgspec.Meta(max_length=64)]
Rate = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]


class RotationRequest(NamedTuple):
    """
    Asks a router of the same failure domain for its load.

    :ivar workspaces: workspaces of which the sender gets more than it relays.
    """

    workspaces: Workspaces


class WorkspaceRate(NamedTuple):
    """
    How much of a workspace arrives at the sender.

    :ivar workspace: name of the workspace.
    :ivar rate: requests per second.
    """

    workspace: str
    rate: Rate


class RotationReply(NamedTuple):
    """
    The reply to a ``RotationRequest``.

    :ivar rates: what arrives of the workspaces that were named.
    :ivar cores: processor that the sender's host has, in cores.
    :ivar is_absent: whether the sender has left the balancer's rotation.
    :ivar callers_address: where the sender accepts requests, ``ip:port``.
    :ivar spare_cores: processor that the sender does not use, in cores.
    """

    rates: list[WorkspaceRate]
    cores: Rate
    is_absent: bool
    callers_address: Address
    spare_cores: Rate
