"""
Compact encoding of counter rows, which omits fields repeated between rows.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.decisions.counter_updates import TotalKey
from sycamorehaven.identity import RouterId
from sycamorehaven.transport.messages.counters import CounterRow

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

MAX_TOTAL_UNITS = 1e15
"""Largest valid total, in cost units; a row with a larger one is skipped."""
MAX_ROWS = 8_192
"""Rows of one update that are decoded; the rest is ignored."""


class SchedulerTotal(NamedTuple):
    """
    The service that one scheduler has granted to a workspace.

    :ivar scheduler: the scheduler.
    :ivar key: service and workspace.
    :ivar total: service granted since the scheduler started, in the service's
        unit.
    :ivar base: part of the total that was granted before the receiver got its
        first update.
    :ivar reserved: estimated cost of running requests that is not in the
        total.
    """

    scheduler: RouterId
    key: TotalKey
    total: float
    base: float = 0
    reserved: float = 0


def encode_rows(sender: RouterId, totals: Iterable[SchedulerTotal]) -> list[CounterRow]:
    """Return the rows of an update that ``sender`` sends."""
    rows = []
    scheduler, service = sender, ""
    for total in sorted(totals):
        is_same_scheduler = total.scheduler == scheduler
        host, incarnation = ("", 0) if is_same_scheduler else total.scheduler
        service_name = "" if total.key.service == service else total.key.service
        scheduler, service = total.scheduler, total.key.service
        rows.append(
            CounterRow(
                host,
                incarnation,
                service_name,
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
    """Yield the totals of an update from ``sender``; skip invalid rows."""
    scheduler, service = sender, ""
    for row, _ in zip(rows, range(MAX_ROWS), strict=False):
        if row.host:
            scheduler = RouterId(row.host, row.incarnation)
        service = row.service or service
        if not 0.0 <= row.total <= MAX_TOTAL_UNITS or not service:
            continue
        base = row.base if 0.0 <= row.base <= row.total else 0.0
        reserved = row.reserved if 0.0 <= row.reserved <= MAX_TOTAL_UNITS else 0.0
        key = TotalKey(service, row.workspace)
        yield SchedulerTotal(scheduler, key, row.total, base, reserved)
