"""Tests of the scheduler with lost, duplicated and reordered messages."""

from __future__ import annotations

from typing import Any

from sycamorehaven.decisions.grants import GRANT_LEASE_SECONDS, Grant, ServiceParameters
from sycamorehaven.decisions.scheduler import MAX_LAG_REQUESTS, ServiceScheduler
from sycamorehaven.identity import RouterId
from sycamorehaven.transport.messages.permits import (
    DemandReport,
    DemandRow,
    HeldPermit,
    PermitReturn,
)

OWN = RouterId("s1", 1)
EDGE = RouterId("e1", 1)
LARGEST_COST = 100.0
"""Largest cost of a request, in units."""


class SchedulerHarness:
    """
    A scheduler with the charges that it returns and the reports that it gets.
    """

    def __init__(self, slots: int = 1, own: RouterId = OWN, now: float = 10.0) -> None:
        self.received: dict[str, float] = {}
        self.scheduler = ServiceScheduler(own, "assistant", self)
        self.scheduler.set_parameters(ServiceParameters(LARGEST_COST))
        self.scheduler.set_servers({"engine-1": slots}, now)
        self.sequence = 0
        self.report_load(0, now)

    def sum_service(self, service: str, workspace: str) -> float:  # noqa: ARG002
        """Return the service that a workspace has received."""
        return self.received.get(workspace, 0.0)

    def sum_reserved(self, service: str, workspace: str) -> float:  # noqa: ARG002
        """Return 0, as no other scheduler has reserved anything."""
        return 0.0

    def report_load(self, running: int, now: float) -> None:
        """Apply a load report of the server."""
        self.scheduler.apply_load_report("engine-1", running, now + 0.001, now + 0.001)

    def report_demand(
        self,
        now: float,
        edge: RouterId = EDGE,
        held: tuple[HeldPermit, ...] = (),
        settled: tuple[PermitReturn, ...] = (),
        **waiting: int,
    ) -> list[Grant]:
        """Apply a demand report of an edge; return the resulting grants."""
        self.sequence += 1
        rows = [DemandRow(w, "interactive", n, 1.0, 10.0) for w, n in waiting.items()]
        report = DemandReport(
            "assistant", self.sequence, 3.0, rows, list(held), list(settled)
        )
        self.charge(self.scheduler.apply_demand_report(edge, report, now))
        self.scheduler.expire(now)
        return self.scheduler.grant(now)

    def return_permit(
        self, now: float, message: PermitReturn, edge: RouterId = EDGE
    ) -> list[Grant]:
        """Apply the return of a permit; return the resulting grants."""
        charge = self.scheduler.apply_return(edge, message, now)
        self.charge([charge] if charge else [])
        return self.scheduler.grant(now)

    def charge(self, charges: list[Any]) -> None:
        """Add charges to the service that workspaces have received."""
        for workspace, cost in charges:
            self.received[workspace] = self.received.get(workspace, 0.0) + cost


def make_held_permit(
    number: int, cost: float, scheduler: RouterId = OWN, *, accounted: bool = True
) -> HeldPermit:
    """Return an edge's report of a permit that it holds."""
    return HeldPermit(
        *scheduler, number, "engine-1", "oak", "interactive", cost, False, accounted
    )


def make_permit_return(
    number: int,
    cost: float,
    scheduler: RouterId = OWN,
    runs: int = 1,
    waiting: int = 0,
) -> PermitReturn:
    """Return the message with which an edge returns a permit."""
    return PermitReturn(
        *scheduler,
        number,
        "assistant",
        "engine-1",
        "oak",
        cost,
        runs,
        failed=False,
        accounted=True,
        waiting=waiting,
    )


def test_lost_grant_frees_its_slot_within_a_refresh() -> None:
    harness = SchedulerHarness()
    assert [g.number for g in harness.report_demand(10.1, oak=3)] == [1]
    assert harness.report_demand(10.6, oak=3) == []
    assert [g.number for g in harness.report_demand(11.2, oak=3)] == [2]


def test_lost_grant_of_an_unresponsive_edge_frees_its_slot() -> None:
    harness = SchedulerHarness()
    other = RouterId("e2", 1)
    harness.report_demand(10.1, oak=1)
    assert harness.report_demand(11.0, edge=other, elm=1) == []
    for step in range(1, 20):
        harness.scheduler.expire(11.0 + step * 0.25)
        if harness.scheduler.grant(11.0 + step * 0.25):
            break
    assert step * 0.25 <= GRANT_LEASE_SECONDS + 1.25


def test_lost_return_is_charged_once_by_repeats() -> None:
    harness = SchedulerHarness()
    harness.report_demand(10.1, oak=1)
    harness.report_demand(10.5, held=(make_held_permit(1, 7.0),))
    assert harness.received == {"oak": 7.0}
    settled = (make_permit_return(1, 30.0),)
    harness.report_demand(11.5, settled=settled)
    harness.report_demand(12.5, settled=settled)
    harness.return_permit(12.6, settled[0])
    assert harness.received == {"oak": 30.0}
    assert not harness.scheduler.outstanding


def test_report_overtaken_by_the_return_takes_no_slot() -> None:
    harness = SchedulerHarness()
    harness.report_demand(10.1, oak=1)
    harness.return_permit(10.5, make_permit_return(1, 20.0))
    harness.report_demand(10.6, held=(make_held_permit(1, 19.0),))
    assert not harness.scheduler.outstanding
    assert harness.received == {"oak": 20.0}


def test_old_report_is_ignored() -> None:
    harness = SchedulerHarness(slots=2)
    harness.report_demand(10.1, oak=1)
    harness.sequence -= 1
    assert harness.report_demand(10.2, oak=5) == []


def test_unresponsive_edge_loses_its_slot_and_is_charged_if_it_returns() -> None:
    harness = SchedulerHarness()
    harness.report_demand(10.1, oak=1)
    harness.report_demand(10.5, held=(make_held_permit(1, 5.0),))
    for step in range(1, 16):
        harness.scheduler.expire(10.5 + step * 0.25)
    assert not harness.scheduler.outstanding
    harness.report_demand(15.0, held=(make_held_permit(1, 25.0),))
    assert len(harness.scheduler.outstanding) == 1
    harness.return_permit(15.1, make_permit_return(1, 40.0))
    assert harness.received == {"oak": 40.0}


def test_restarted_edge_frees_permits_of_its_previous_incarnation() -> None:
    harness = SchedulerHarness()
    harness.report_demand(10.1, oak=1)
    assert harness.report_demand(10.4, edge=RouterId("e1", 2), oak=1)


def test_new_scheduler_waits_for_load_and_held_permits_before_it_grants() -> None:
    dead = RouterId("s0", 1)
    harness = SchedulerHarness.__new__(SchedulerHarness)
    SchedulerHarness.__init__(harness, slots=3)
    harness.scheduler.set_servers({}, 10.0)
    harness.scheduler.set_servers({"engine-1": 3}, 11.0)
    held = (make_held_permit(8, 4.0, dead),)
    assert harness.report_demand(11.1, held=held, oak=5) == []
    harness.report_load(2, 11.3)
    assert len(harness.report_demand(11.4, held=held, oak=5)) == 1
    harness.return_permit(11.5, make_permit_return(8, 9.0, dead))
    harness.return_permit(11.6, make_permit_return(8, 9.0, dead))
    assert harness.received == {"oak": 9.0}


def test_paused_scheduler_grants_nothing_before_a_new_load_report() -> None:
    harness = SchedulerHarness(slots=2)
    assert len(harness.report_demand(10.1, oak=5)) == 2
    harness.return_permit(20.0, make_permit_return(1, 5.0))
    assert harness.report_demand(20.1, oak=5) == []
    harness.report_load(1, 20.4)
    assert (
        len(harness.report_demand(20.5, held=(make_held_permit(2, 3.0),), oak=5)) == 1
    )


def test_return_of_an_unused_permit_updates_the_waiting_count() -> None:
    harness = SchedulerHarness()
    harness.report_demand(10.1, oak=4)
    assert (
        harness.return_permit(10.2, make_permit_return(1, 0.0, runs=0, waiting=0)) == []
    )


def test_permits_of_a_second_scheduler_count_as_foreign_load() -> None:
    harness = SchedulerHarness(slots=4)
    harness.report_load(3, 10.2)
    assert len(harness.report_demand(10.3, oak=9)) == 1


def test_oldest_request_of_a_workspace_is_granted_first_across_edges() -> None:
    harness = SchedulerHarness(slots=0)
    old, young = RouterId("e1", 1), RouterId("e2", 1)
    harness.report_demand(10.5, edge=young, oak=2)
    harness.report_demand(10.1, edge=old, oak=2)
    harness.scheduler.set_servers({"engine-1": 1}, 10.6)
    assert [g.edge for g in harness.scheduler.grant(10.6)] == [old]


def test_lag_after_a_partition_is_bounded() -> None:
    harness = SchedulerHarness(slots=1)
    now, served = 10.1, {"oak": 0.0, "elm": 0.0}
    harness.report_demand(now, oak=999, elm=999)
    harness.received["elm"] = 1_000.0 * LARGEST_COST
    while served["elm"] < 20.0:
        now += 0.2
        permit = next(iter(harness.scheduler.outstanding.values()))
        served[permit.workspace] += 10.0
        message = make_permit_return(permit.permit_id.number, 10.0, waiting=999)
        harness.return_permit(now, message._replace(workspace=permit.workspace))
        harness.report_demand(now, oak=999, elm=999)
    assert served["oak"] <= (MAX_LAG_REQUESTS + 1) * LARGEST_COST


def test_idle_workspace_earns_no_credit() -> None:
    harness = SchedulerHarness(slots=1)
    harness.received = {"oak": 5_000.0}
    harness.report_demand(10.1, oak=9)
    harness.report_demand(10.2, edge=RouterId("e2", 1), elm=9)
    order = []
    for step in range(8):
        permit = next(iter(harness.scheduler.outstanding.values()))
        order.append(permit.workspace)
        message = make_permit_return(permit.permit_id.number, 10.0, waiting=9)
        message = message._replace(workspace=permit.workspace)
        harness.return_permit(10.3 + step * 0.01, message, edge=permit.edge)
    assert order.count("oak") == 4


def test_slot_of_a_removed_edge_is_freed_by_the_load_report() -> None:
    harness = SchedulerHarness()
    other = RouterId("e2", 1)
    harness.report_demand(10.1, oak=1)
    harness.report_demand(10.5, held=(make_held_permit(1, 5.0),))
    harness.report_load(1, 10.6)
    harness.scheduler.remove_edge(EDGE, 10.7)
    assert harness.report_demand(10.8, edge=other, elm=1) == []
    harness.report_load(1, 11.0)
    assert harness.report_demand(11.1, edge=other, elm=1) == []
    harness.report_load(0, 11.5)
    assert len(harness.report_demand(11.6, edge=other, elm=1)) == 1


def test_briefly_closed_server_needs_no_second_warm_up() -> None:
    harness = SchedulerHarness(slots=2)
    harness.report_demand(10.1)
    harness.scheduler.set_servers({"engine-1": 2}, 10.2, closed={"engine-1"})
    assert harness.report_demand(10.3, oak=1) == []
    harness.scheduler.set_servers({"engine-1": 2}, 10.8)
    assert len(harness.scheduler.grant(10.8)) == 1
