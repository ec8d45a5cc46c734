"""Admission to engines, between the routers that ask and those that decide."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.blackboard.members import Member
from sycamorehaven.controllers.admissions import (
    HELD_PERIOD_SECONDS,
    REPLY_TIMEOUT_SECONDS,
    SILENCE_SECONDS,
    AdmissionController,
)
from sycamorehaven.controllers.engine_queues import EngineQueueController
from sycamorehaven.decisions.news_routes import DIRECT_FLEET_SIZE
from sycamorehaven.routing.model import ServerRecord, Snapshot
from sycamorehaven.telemetry.decision_log import DecisionLog
from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
from sycamorehaven.transport.messages.admissions import AdmissionRequest
from tests.support.doubles import (
    ManualClock,
    MemoryLink,
    MemoryNetwork,
    create_board,
)
from tests.support.fixtures import fixture

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sycamorehaven.controllers.admissions import AdmissionAnswer
    from sycamorehaven.controllers.engine_reports import Admission

SERVER = ServerRecord("s1", 1, "model", "s1:80", "b", 2, draining=False)
"""An engine with two slots in failure domain b."""
REQUEST = AdmissionRequest(0, "", "w1", 100, 100.0, 0.5, resumes=False)


class Router:
    """
    The part of a router that asks for admission and admits.

    :ivar answers: the answers to its applications, in order.
    """

    def __init__(
        self,
        host: str,
        members: dict[str, Member],
        network: MemoryNetwork,
        clock: ManualClock,
    ) -> None:
        member = members[host]
        self.board = create_board(host, member.failure_domain, member.incarnation)
        self.board.members.replace(dict(members))
        self.board.routing.apply_snapshot(Snapshot(1, None, (SERVER,)), clock())
        link = MemoryLink(self.board, network)
        log = DecisionLog(host, None)
        self.metrics = GatewayMetrics()
        self.admissions = AdmissionController(
            self.board, link, log, self.metrics, clock
        )
        self.queues = EngineQueueController(self.board, link, clock)
        self.answers: list[AdmissionAnswer] = []

    def apply(self, max_wait: float = 0.5) -> int:
        """Ask for admission to the engine."""
        request = REQUEST._replace(max_wait=max_wait)
        return self.admissions.apply(request, SERVER, self.answers.append)

    def admit(self, network: MemoryNetwork) -> Admission:
        """Ask for admission and return it."""
        self.apply()
        network.deliver()
        admission = self.answers[-1].admission
        assert admission is not None
        return admission


class Fleet:
    """
    A fleet that is large enough for schedulers; only some routers run.

    :ivar scheduler: the router that schedules the engine.
    :ivar others: two other routers.
    """

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.network = MemoryNetwork()
        hosts = [f"a{n}" for n in range(DIRECT_FLEET_SIZE + 1)]
        self.members = {
            host: Member(host, 1, f"{host}:1", "a" if n else "b", "alive")
            for n, host in enumerate(hosts)
        }
        self.scheduler, *self.others = (
            Router(host, self.members, self.network, self.clock) for host in hosts[:3]
        )

    def report(self) -> None:
        """Let all routers report their progress, and deliver the reports."""
        for router in (self.scheduler, *self.others):
            router.admissions.report_progress()
        self.network.deliver()

    def replace_members(self, members: dict[str, Member]) -> None:
        """Let all routers see other members."""
        for router in (self.scheduler, *self.others):
            router.board.members.replace(dict(members))


@fixture
def scheduled_fleet() -> Iterator[Fleet]:
    """Yield a fleet whose engine is in the failure domain of its scheduler."""
    yield Fleet()


def test_engine_is_scheduled_in_its_own_failure_domain(scheduled_fleet: Fleet) -> None:
    for router in (scheduled_fleet.scheduler, *scheduled_fleet.others):
        assert router.admissions.find_scheduler(SERVER, scheduled_fleet.clock()) == "a0"


def test_small_fleet_has_no_schedulers(
    clock: ManualClock, network: MemoryNetwork
) -> None:
    members = {"a1": Member("a1", 1, "a1:1", "a", "alive")}
    router = Router("a1", members, network, clock)
    assert router.admissions.find_scheduler(SERVER, clock()) is None
    assert router.admissions.take_alone(SERVER, 100) is None


def test_routers_together_get_no_more_than_the_engine_runs(
    scheduled_fleet: Fleet,
) -> None:
    first, second = scheduled_fleet.others
    for router in (first, second, first):
        router.apply()
    scheduled_fleet.network.deliver()
    verdicts = [answer.verdict for answer in first.answers + second.answers]
    assert verdicts.count("admitted") == SERVER.slots


def test_slot_that_frees_goes_to_the_router_that_waits(scheduled_fleet: Fleet) -> None:
    first, second = scheduled_fleet.others
    admissions = [first.admit(scheduled_fleet.network) for _ in range(SERVER.slots)]
    second.apply(max_wait=2.0)
    scheduled_fleet.network.deliver()
    assert second.answers == []
    admissions[0].end()
    scheduled_fleet.report()
    assert [answer.verdict for answer in second.answers] == ["admitted"]


def test_silent_scheduler_delays_a_request_only_once(scheduled_fleet: Fleet) -> None:
    router = scheduled_fleet.others[0]
    scheduled_fleet.network.disconnected_pairs.add(frozenset({"a0:1", "a1:1"}))
    router.apply()
    scheduled_fleet.network.deliver()
    scheduled_fleet.clock.advance(REPLY_TIMEOUT_SECONDS)
    router.admissions.end_overdue_applications()
    assert [answer.verdict for answer in router.answers] == ["silent"]
    now = scheduled_fleet.clock()
    assert router.admissions.find_scheduler(SERVER, now) is None
    assert b'admissions_total{answer="silent"} 1.0' in router.metrics.render()
    later = now + SILENCE_SECONDS
    assert router.admissions.find_scheduler(SERVER, later) == "a0"


def test_scheduler_that_dies_while_a_request_waits_delays_it_shortly(
    scheduled_fleet: Fleet,
) -> None:
    first, second = scheduled_fleet.others
    for _ in range(SERVER.slots):
        first.admit(scheduled_fleet.network)
    second.apply(max_wait=1.5)
    scheduled_fleet.network.deliver()
    scheduled_fleet.clock.advance(1.5 + REPLY_TIMEOUT_SECONDS)
    second.admissions.end_overdue_applications()
    assert [answer.verdict for answer in second.answers] == ["silent"]


def test_late_reply_to_a_request_that_was_given_up_frees_its_slot(
    scheduled_fleet: Fleet,
) -> None:
    router = scheduled_fleet.others[0]
    for _ in range(SERVER.slots):
        number = router.apply()
        router.admissions.withdraw(number)
    scheduled_fleet.network.deliver()
    scheduled_fleet.report()
    router.admit(scheduled_fleet.network)
    assert router.answers[-1].verdict == "admitted"


def test_request_that_was_sent_without_its_scheduler_is_counted_later(
    scheduled_fleet: Fleet,
) -> None:
    first, second = scheduled_fleet.others
    for _ in range(SERVER.slots):
        first.admissions.take_alone(SERVER, 100)
    scheduled_fleet.report()
    second.apply(max_wait=0.1)
    scheduled_fleet.network.deliver()
    assert [answer.verdict for answer in second.answers] == ["refused"]


def test_new_scheduler_learns_what_runs_from_the_next_reports(
    scheduled_fleet: Fleet,
) -> None:
    first, second = scheduled_fleet.others
    for _ in range(SERVER.slots):
        first.admit(scheduled_fleet.network)
    left = {**scheduled_fleet.members, "a0": scheduled_fleet.members["a3"]}
    left["a2"] = left["a2"]._replace(failure_domain="b")
    scheduled_fleet.replace_members(left)
    now = scheduled_fleet.clock()
    assert second.admissions.find_scheduler(SERVER, now) == "a2"
    scheduled_fleet.report()
    second.apply(max_wait=0.1)
    scheduled_fleet.network.deliver()
    assert [answer.verdict for answer in second.answers] == ["refused"]


def test_slots_of_a_router_that_was_killed_are_free_again(
    scheduled_fleet: Fleet,
) -> None:
    first, second = scheduled_fleet.others
    for _ in range(SERVER.slots):
        first.admit(scheduled_fleet.network)
    left = dict(scheduled_fleet.members)
    left["a1"] = left["a1"]._replace(incarnation=2)
    scheduled_fleet.replace_members(left)
    second.admit(scheduled_fleet.network)
    assert second.answers[-1].verdict == "admitted"


def test_lost_end_of_a_request_is_made_up_for(scheduled_fleet: Fleet) -> None:
    first, second = scheduled_fleet.others
    admissions = [first.admit(scheduled_fleet.network) for _ in range(SERVER.slots)]
    scheduled_fleet.report()
    scheduled_fleet.network.loss = 1.0
    admissions[0].end()
    scheduled_fleet.report()
    scheduled_fleet.network.loss = 0.0
    scheduled_fleet.clock.advance(HELD_PERIOD_SECONDS)
    scheduled_fleet.report()
    second.admit(scheduled_fleet.network)
    assert second.answers[-1].verdict == "admitted"


def test_router_counts_what_it_asks_for_until_the_scheduler_does(
    scheduled_fleet: Fleet,
) -> None:
    router = scheduled_fleet.others[0]
    model = router.board.fleet_load.find_model(SERVER.id)
    numbers = [router.apply() for _ in range(3)]
    now = scheduled_fleet.clock()
    assert (model.count_requests(now), model.count_pending_tokens(now)) == (3, 300.0)
    router.admissions.withdraw(numbers[0])
    assert model.count_requests(now) == 2
    scheduled_fleet.clock.advance(REPLY_TIMEOUT_SECONDS)
    router.admissions.end_overdue_applications()
    assert model.count_requests(scheduled_fleet.clock()) == 0
