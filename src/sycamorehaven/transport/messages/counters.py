"""Messages that share totals of service."""

from __future__ import annotations

from typing import NamedTuple


class CounterRow(NamedTuple):
    """
    One scheduler's total of service given to a workspace; only grows.

    :ivar host: the scheduler's host; "" is that of the row before, and in the
        first row the sender.
    :ivar incarnation: its incarnation, 0 if ``host`` is "".
    :ivar service: the service; "" is that of the row before.
    :ivar workspace: the workspace.
    :ivar total: service given since the incarnation's start.
    :ivar base: the total when the sender began to tell the receiver, for a
        receiver that has not heard of it yet; 0 once it has.
    :ivar reserved: estimated cost of what runs and is not in the total; told
        by the scheduler itself only, 0 from others.
    """

    host: str
    incarnation: int
    service: str
    workspace: str
    total: float
    base: float = 0
    reserved: float = 0


class CounterUpdate(NamedTuple):
    """
    Totals that the receiver merges by maximum, and reservations.

    :ivar sequence: rises with every update of this sender; 0 wants no
        acknowledgement.
    :ivar rows: totals.
    """

    sequence: int
    rows: list[CounterRow]


class CounterAck(NamedTuple):
    """
    The receiver merged an update.

    :ivar sequence: the update's.
    """

    sequence: int


class CounterRequest(NamedTuple):
    """
    A request for the totals of schedulers that are gone.

    The live ones tell their own. It is answered with ``CounterUpdate``.

    :ivar services: the services.
    """

    services: list[str]
