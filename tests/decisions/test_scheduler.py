"""Permits under lost, doubled and reordered messages."""

from __future__ import annotations

from typing import Any

from sycamorehaven.decisions.grants import LEASE, Grant, ServiceTerms
from sycamorehaven.decisions.scheduler import LAG_LIMIT, ServiceScheduler
from sycamorehaven.identity import RouterId
from sycamorehaven.transport.messages.permits import (
    DemandReport,
    DemandRow,
    HeldPermit,
    PermitReturn,
)

OWN = RouterId("s1", 1)
EDGE = RouterId("e1", 1)
LARGEST = 100.0


class Bench:
    """A scheduler, its charges and the reports of its edges."""

    def __init__(self, slots: int = 1, own: RouterId = OWN, now: float = 10.0) -> None:
        self.received: dict[str, float] = {}
        self.scheduler = ServiceScheduler(own, "assistant", self)
        self.scheduler.set_terms(ServiceTerms(LARGEST))
        self.scheduler.set_servers({"engine-1": slots}, now)
        self.sequence = 0
        self.load(0, now)

    def sum_service(self, service: str, workspace: str) -> float:  # noqa: ARG002
        """Return the service received."""
        return self.received.get(workspace, 0.0)

    def sum_reserved(self, service: str, workspace: str) -> float:  # noqa: ARG002
        """Return 0; no other scheduler has reserved anything."""
        return 0.0

    def load(self, running: int, now: float) -> None:
        """Let the server report its load."""
        self.scheduler.learn_load("engine-1", running, now + 0.001, now + 0.001)

    def report(
        self,
        now: float,
        edge: RouterId = EDGE,
        held: tuple[HeldPermit, ...] = (),
        settled: tuple[PermitReturn, ...] = (),
        **waiting: int,
    ) -> list[Grant]:
        """Take a report of an edge; return the grants that follow."""
        self.sequence += 1
        rows = [DemandRow(w, "interactive", n, 1.0, 10.0) for w, n in waiting.items()]
        report = DemandReport(
            "assistant", self.sequence, 3.0, rows, list(held), list(settled)
        )
        self.charge(self.scheduler.take_report(edge, report, now))
        self.scheduler.expire(now)
        return self.scheduler.grant(now)

    def give_back(
        self, now: float, message: PermitReturn, edge: RouterId = EDGE
    ) -> list[Grant]:
        """Take a return; return the grants that follow."""
        charge = self.scheduler.take_return(edge, message, now)
        self.charge([charge] if charge else [])
        return self.scheduler.grant(now)

    def charge(self, charges: list[Any]) -> None:
        """Add charges to the service received."""
        for workspace, cost in charges:
            self.received[workspace] = self.received.get(workspace, 0.0) + cost


def write_held(
    number: int, cost: float, scheduler: RouterId = OWN, *, accounted: bool = True
) -> HeldPermit:
    """Return what an edge says of a permit that it holds."""
    return HeldPermit(
        *scheduler, number, "engine-1", "oak", "interactive", cost, False, accounted
    )


def write_return(
    number: int,
    cost: float,
    scheduler: RouterId = OWN,
    runs: int = 1,
    waiting: int = 0,
) -> PermitReturn:
    """Return the message that gives a permit back."""
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
    bench = Bench()
    assert [g.number for g in bench.report(10.1, oak=3)] == [1]
    assert bench.report(10.6, oak=3) == []
    assert [g.number for g in bench.report(11.2, oak=3)] == [2]


def test_lost_grant_of_an_edge_that_falls_silent_frees_its_slot() -> None:
    bench = Bench()
    other = RouterId("e2", 1)
    bench.report(10.1, oak=1)
    assert bench.report(11.0, edge=other, elm=1) == []
    for step in range(1, 20):
        bench.scheduler.expire(11.0 + step * 0.25)
        if bench.scheduler.grant(11.0 + step * 0.25):
            break
    assert step * 0.25 <= LEASE + 1.25


def test_lost_return_is_charged_once_by_repeats() -> None:
    bench = Bench()
    bench.report(10.1, oak=1)
    bench.report(10.5, held=(write_held(1, 7.0),))
    assert bench.received == {"oak": 7.0}
    settled = (write_return(1, 30.0),)
    bench.report(11.5, settled=settled)
    bench.report(12.5, settled=settled)
    bench.give_back(12.6, settled[0])
    assert bench.received == {"oak": 30.0}
    assert not bench.scheduler.running


def test_report_overtaken_by_the_return_takes_no_slot() -> None:
    bench = Bench()
    bench.report(10.1, oak=1)
    bench.give_back(10.5, write_return(1, 20.0))
    bench.report(10.6, held=(write_held(1, 19.0),))
    assert not bench.scheduler.running
    assert bench.received == {"oak": 20.0}


def test_old_report_is_ignored() -> None:
    bench = Bench(slots=2)
    bench.report(10.1, oak=1)
    bench.sequence -= 1
    assert bench.report(10.2, oak=5) == []


def test_silent_edge_loses_its_slot_and_is_charged_if_heard_again() -> None:
    bench = Bench()
    bench.report(10.1, oak=1)
    bench.report(10.5, held=(write_held(1, 5.0),))
    for step in range(1, 16):
        bench.scheduler.expire(10.5 + step * 0.25)
    assert not bench.scheduler.running
    bench.report(15.0, held=(write_held(1, 25.0),))
    assert len(bench.scheduler.running) == 1
    bench.give_back(15.1, write_return(1, 40.0))
    assert bench.received == {"oak": 40.0}


def test_restarted_edge_frees_what_its_predecessor_held() -> None:
    bench = Bench()
    bench.report(10.1, oak=1)
    assert bench.report(10.4, edge=RouterId("e1", 2), oak=1)


def test_new_scheduler_learns_load_and_held_permits_before_it_grants() -> None:
    dead = RouterId("s0", 1)
    scheduler = Bench.__new__(Bench)
    Bench.__init__(scheduler, slots=3)
    scheduler.scheduler.set_servers({}, 10.0)
    scheduler.scheduler.set_servers({"engine-1": 3}, 11.0)
    held = (write_held(8, 4.0, dead),)
    assert scheduler.report(11.1, held=held, oak=5) == []
    scheduler.load(2, 11.3)
    assert len(scheduler.report(11.4, held=held, oak=5)) == 1
    scheduler.give_back(11.5, write_return(8, 9.0, dead))
    scheduler.give_back(11.6, write_return(8, 9.0, dead))
    assert scheduler.received == {"oak": 9.0}


def test_paused_scheduler_grants_nothing_before_it_has_learnt_afresh() -> None:
    bench = Bench(slots=2)
    assert len(bench.report(10.1, oak=5)) == 2
    bench.give_back(20.0, write_return(1, 5.0))
    assert bench.report(20.1, oak=5) == []
    bench.load(1, 20.4)
    assert len(bench.report(20.5, held=(write_held(2, 3.0),), oak=5)) == 1


def test_unused_permit_comes_back_with_the_newer_count() -> None:
    bench = Bench()
    bench.report(10.1, oak=4)
    assert bench.give_back(10.2, write_return(1, 0.0, runs=0, waiting=0)) == []


def test_second_scheduler_shows_as_foreign_load() -> None:
    bench = Bench(slots=4)
    bench.load(3, 10.2)
    assert len(bench.report(10.3, oak=9)) == 1


def test_oldest_of_a_workspace_goes_first_among_routers() -> None:
    bench = Bench(slots=0)
    old, young = RouterId("e1", 1), RouterId("e2", 1)
    bench.report(10.5, edge=young, oak=2)
    bench.report(10.1, edge=old, oak=2)
    bench.scheduler.set_servers({"engine-1": 1}, 10.6)
    assert [g.edge for g in bench.scheduler.grant(10.6)] == [old]


def test_debt_after_a_cut_is_bounded() -> None:
    bench = Bench(slots=1)
    now, given = 10.1, {"oak": 0.0, "elm": 0.0}
    bench.report(now, oak=999, elm=999)
    bench.received["elm"] = 1_000.0 * LARGEST
    while given["elm"] < 20.0:
        now += 0.2
        grant = next(iter(bench.scheduler.running.values()))
        given[grant.workspace] += 10.0
        message = write_return(grant.name.number, 10.0, waiting=999)
        bench.give_back(now, message._replace(workspace=grant.workspace))
        bench.report(now, oak=999, elm=999)
    assert given["oak"] <= (LAG_LIMIT + 1) * LARGEST


def test_idle_workspace_earns_no_credit() -> None:
    bench = Bench(slots=1)
    bench.received = {"oak": 5_000.0}
    bench.report(10.1, oak=9)
    bench.report(10.2, edge=RouterId("e2", 1), elm=9)
    order = []
    for step in range(8):
        holding = next(iter(bench.scheduler.running.values()))
        order.append(holding.workspace)
        message = write_return(holding.name.number, 10.0, waiting=9)
        message = message._replace(workspace=holding.workspace)
        bench.give_back(10.3 + step * 0.01, message, edge=holding.edge)
    assert order.count("oak") == 4


def test_slot_of_a_lost_edge_is_free_when_the_load_says_so() -> None:
    bench = Bench()
    other = RouterId("e2", 1)
    bench.report(10.1, oak=1)
    bench.report(10.5, held=(write_held(1, 5.0),))
    bench.load(1, 10.6)
    bench.scheduler.drop_edge(EDGE, 10.7)
    assert bench.report(10.8, edge=other, elm=1) == []
    bench.load(1, 11.0)
    assert bench.report(11.1, edge=other, elm=1) == []
    bench.load(0, 11.5)
    assert len(bench.report(11.6, edge=other, elm=1)) == 1


def test_server_that_was_closed_for_a_moment_is_not_learned_again() -> None:
    bench = Bench(slots=2)
    bench.report(10.1)
    bench.scheduler.set_servers({"engine-1": 2}, 10.2, closed={"engine-1"})
    assert bench.report(10.3, oak=1) == []
    bench.scheduler.set_servers({"engine-1": 2}, 10.8)
    assert len(bench.scheduler.grant(10.8)) == 1
