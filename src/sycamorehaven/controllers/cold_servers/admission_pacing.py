"""Paces the admissions to the cold engines that this router schedules."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from sycamorehaven.decisions.cold_servers.paces import choose_scheduler_pace
from sycamorehaven.decisions.roles import choose_engine_scheduler

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.decisions.engine_queue import EngineQueue, Verdict
    from sycamorehaven.telemetry.decision_log import DecisionLog

RIVAL_SECONDS = 4.0
"""Time after a change of the membership in which another router may still take
itself for the scheduler of an engine."""
REPORT_PERIOD_SECONDS = 1.0
"""Shortest time between two lines about the same engine."""


class AdmissionPacing:
    """
    Sets the pace of engine queues, and logs what it did to requests.

    :param board: shared state of this router.
    :param decision_log: records the admissions to cold engines, if given.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        decision_log: DecisionLog | None,
        clock: Callable[[], float],
    ) -> None:
        self._board = board
        self._decision_log = decision_log
        self._clock = clock
        self._hosts = self._list_hosts()
        self._hosts_changed_at = clock()
        self._schedulers: dict[str, str | None] = {}
        self._counts: dict[str, Counter[Verdict]] = {}
        self._reported_at: dict[str, float] = {}
        board.members.changed.subscribe(self._note_hosts)

    def update(self, incarnation_id: str, queue: EngineQueue, now: float) -> None:
        """Apply to a queue what is known of its engine."""
        section = self._board.cold_servers
        evacuated = self._board.routing.evacuated_domains
        if section.is_empty and not evacuated and not queue.is_paced:
            return
        limit = section.find_limit(incarnation_id)
        # Other routers may know before this one that an evacuation has ended.
        if limit is None or (
            limit.failure_domain not in evacuated
            and section.find(incarnation_id, now) is None
        ):
            queue.set_pace(None, now)
            self._counts.pop(incarnation_id, None)
            return
        pace = choose_scheduler_pace(
            limit.rate,
            section.allowance,
            may_have_rival=now - self._hosts_changed_at < RIVAL_SECONDS
            or not self._has_role(incarnation_id, limit.failure_domain),
        )
        queue.set_pace(pace, now)

    def record(
        self,
        incarnation_id: str,
        queue: EngineQueue,
        verdicts: Iterable[Verdict],
        now: float,
    ) -> None:
        """Count what became of requests for an engine, if it is cold."""
        if self._decision_log is None or not queue.is_paced:
            return
        counts = self._counts.setdefault(incarnation_id, Counter())
        counts.update(verdicts)
        reported_at = self._reported_at.setdefault(incarnation_id, now)
        if now < reported_at + REPORT_PERIOD_SECONDS or not counts.total():
            return
        self._reported_at[incarnation_id] = now
        self._decision_log.record(
            "cold_admission_paced",
            server=incarnation_id.rpartition("/")[0],
            admitted=counts["admitted"],
            waiting=queue.get_state(now).waiting,
            refused=counts["refused"],
        )
        counts.clear()

    def forget(self, incarnation_id: str) -> None:
        """Forget what was counted for an engine that is gone."""
        self._counts.pop(incarnation_id, None)
        self._reported_at.pop(incarnation_id, None)
        self._schedulers.pop(incarnation_id, None)

    def _has_role(self, incarnation_id: str, failure_domain: str) -> bool:
        """
        Return whether this router surely schedules an engine.

        It is also asked by routers that see other members. A router outside of
        the engine's failure domain schedules it only while it sees none
        inside, which a partition may hide from it.
        """
        own = self._board.members.own
        if failure_domain != own.failure_domain:
            return False
        scheduler = self._schedulers.get(incarnation_id)
        if scheduler is None:
            server = incarnation_id.rpartition("/")[0]
            domains = self._board.members.map_failure_domains()
            scheduler = choose_engine_scheduler(server, failure_domain, domains)
            self._schedulers[incarnation_id] = scheduler
        return scheduler == own.host

    def _note_hosts(self) -> None:
        """Note when the routers change among which roles are given."""
        self._schedulers.clear()
        hosts = self._list_hosts()
        if hosts != self._hosts:
            self._hosts, self._hosts_changed_at = hosts, self._clock()

    def _list_hosts(self) -> frozenset[tuple[str, int]]:
        """Return the hosts that may have a role, with their incarnations."""
        return frozenset(
            (member.host, member.incarnation)
            for member in self._board.members.list()
            if member.state != "leaving"
        )
