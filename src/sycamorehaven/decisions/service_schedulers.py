"""Hosts that schedule each service, and schedulers that have disappeared."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.decisions.roles import choose_scheduler

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sycamorehaven.configuration.model import Configuration
    from sycamorehaven.identity import RouterId

SUPERSEDED_GRACE_SECONDS = 5.0
"""Time for which totals of a replaced incarnation may still arrive."""
ABSENT_LIFETIME_SECONDS = 7_200.0
"""Time for which totals of an absent scheduler are kept for its return."""
MAX_ABSENT_SCHEDULERS = 64
"""Limit on absent schedulers whose totals are kept; the oldest go first."""


def map_schedulers(
    configuration: Configuration, domains: Mapping[str, str]
) -> dict[str, set[str]]:
    """
    Return the hosts that schedule the servers of each service.

    Only these hosts need the counter totals of the service.

    :param configuration: configuration with the services and servers.
    :param domains: failure domain of each live host.
    """
    hosts: dict[str, set[str]] = {name: set() for name in configuration.services}
    for server in configuration.servers.values():
        host = choose_scheduler(server, domains)
        if host is not None and server.service in hosts:
            hosts[server.service].add(host)
    return hosts


class Absence(NamedTuple):
    """
    Scheduler that is not a live member.

    :ivar since: when its absence was noticed, monotonic seconds.
    :ivar is_superseded: whether a newer process runs on its host.
    """

    since: float
    is_superseded: bool


class AbsenceTracker:
    """Decides when to fold the counter totals of absent schedulers."""

    def __init__(self) -> None:
        self._absences: dict[RouterId, Absence] = {}

    def collect_due(
        self,
        schedulers: list[RouterId],
        live_incarnations: Mapping[str, int],
        now: float,
    ) -> dict[RouterId, bool]:
        """
        Return the schedulers whose totals are to be folded.

        Folded totals leave memory, and the sums keep their values.

        :param schedulers: schedulers whose totals are in memory.
        :param live_incarnations: incarnation of each live host.
        :param now: monotonic seconds.
        :returns: for each scheduler to fold, whether it may still return.
        """
        absences: dict[RouterId, Absence] = {}
        for scheduler in schedulers:
            current = live_incarnations.get(scheduler.host)
            if current == scheduler.incarnation:
                continue
            is_superseded = current is not None and current > scheduler.incarnation
            known = self._absences.get(scheduler)
            if known is None or known.is_superseded != is_superseded:
                known = Absence(now, is_superseded)
            absences[scheduler] = known
        due = _select_due(absences, now)
        self._absences = {
            router: absence for router, absence in absences.items() if router not in due
        }
        return {scheduler: not absences[scheduler].is_superseded for scheduler in due}


def _select_due(absences: Mapping[RouterId, Absence], now: float) -> list[RouterId]:
    due = []
    kept = []
    for scheduler, absence in absences.items():
        retention_seconds = (
            SUPERSEDED_GRACE_SECONDS
            if absence.is_superseded
            else ABSENT_LIFETIME_SECONDS
        )
        if now - absence.since >= retention_seconds:
            due.append(scheduler)
        elif not absence.is_superseded:
            kept.append(scheduler)
    kept.sort(key=lambda scheduler: absences[scheduler].since)
    return due + kept[: max(len(kept) - MAX_ABSENT_SCHEDULERS, 0)]
