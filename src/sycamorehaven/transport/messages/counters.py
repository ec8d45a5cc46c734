"""Messages that share how much service each workspace has received."""

from __future__ import annotations

from typing import NamedTuple


class CounterRow(NamedTuple):
    """
    The total of service that one scheduler has given to a workspace.

    Totals and costs are in the unit of the service. A total never decreases.

    :ivar host: host of the scheduler. "" stands for the host of the previous
        row, and in the first row for the sender.
    :ivar incarnation: incarnation of the scheduler, 0 if ``host`` is "".
    :ivar service: name of the service. "" stands for that of the previous row.
    :ivar workspace: name of the workspace.
    :ivar total: service given since the incarnation started.
    :ivar base: the total when the sender began to report it to the receiver.
        0 once the receiver has acknowledged the scheduler's total.
    :ivar reserved: estimated cost of running requests that the total does not
        include yet. Only the scheduler itself reports it; others send 0.
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
    Reports totals, which the receiver merges by maximum, and reservations.

    :ivar sequence: rises with every update of this sender; 0 asks for no
        acknowledgement.
    :ivar rows: the totals and reservations.
    """

    sequence: int
    rows: list[CounterRow]


class CounterAck(NamedTuple):
    """
    Acknowledges that the sender has merged a ``CounterUpdate``.

    :ivar sequence: sequence number of the update.
    """

    sequence: int


class CounterRequest(NamedTuple):
    """
    Asks for the totals of schedulers that no longer run.

    Running schedulers report their own totals. The reply is a
    ``CounterUpdate``.

    :ivar services: names of the services whose totals are wanted.
    """

    services: list[str]
