"""Short rows of totals: what repeats from row to row is left out."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.decisions.counter_updates import TotalKey
from sycamorehaven.identity import RouterId
from sycamorehaven.transport.messages.counters import CounterRow

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

MAX_TOTAL_UNITS = 1e15
"""Units; a larger total is taken as damaged."""
MAX_ROWS = 8_192
"""Rows that are read of one update."""


class SchedulerTotal(NamedTuple):
    """
    One scheduler's total.

    :ivar scheduler: which scheduler.
    :ivar key: of what.
    :ivar total: in the service's unit.
    :ivar base: the part that was given before the receiver was told.
    :ivar reserved: cost of what runs and is not in the total.
    """

    scheduler: RouterId
    key: TotalKey
    total: float
    base: float = 0
    reserved: float = 0


def encode_rows(sender: RouterId, totals: Iterable[SchedulerTotal]) -> list[CounterRow]:
    """Return rows for an update of ``sender``."""
    rows = []
    scheduler, service = sender, ""
    for total in sorted(totals):
        same = total.scheduler == scheduler
        host, incarnation = ("", 0) if same else total.scheduler
        name = "" if total.key.service == service else total.key.service
        scheduler, service = total.scheduler, total.key.service
        rows.append(
            CounterRow(
                host,
                incarnation,
                name,
                total.key.workspace,
                total.total,
                total.base,
                total.reserved,
            )
        )
    return rows


def decode_rows(
    sender: RouterId, rows: Iterable[CounterRow]
) -> Iterator[SchedulerTotal]:
    """Yield the totals of an update; strange rows are skipped."""
    scheduler, service = sender, ""
    for row, _ in zip(rows, range(MAX_ROWS), strict=False):
        if row.host:
            scheduler = RouterId(row.host, row.incarnation)
        service = row.service or service
        if not 0.0 <= row.total <= MAX_TOTAL_UNITS or not service:
            continue
        base = row.base if 0.0 <= row.base <= row.total else 0.0
        reserved = row.reserved if 0.0 <= row.reserved <= MAX_TOTAL_UNITS else 0.0
        place = TotalKey(service, row.workspace)
        yield SchedulerTotal(scheduler, place, row.total, base, reserved)
