"""
Plain servers that fail, before a large fleet without a network.

The numbers of "today" are of the same load on the code before results were
pooled, when each router judged servers by its own results only.
"""

from __future__ import annotations

from benchmarks.plain_fleet import DOMAINS, ROUTERS, Failure, PlainFleetSimulation
from sycamorehaven.decisions.plain_servers.choice import TrialSchedule
from sycamorehaven.decisions.plain_servers.reporting import MAX_REPORTED_SERVERS

RUN_SECONDS = 12.0
FAILS_FROM, FAILS_UNTIL = 2.0, 8.0
NAMES = ("s0", "s1", "s2")
FAILED_TODAY, REFUSED_TODAY = 77, 28
"""Non-idempotent requests while one of three servers fails."""
FAILED_TODAY_OF_TWO, REFUSED_TODAY_OF_TWO = 168, 46
FAILED_TODAY_IN_DOMAIN = 27
MAX_NEWS_BYTES_PER_SECOND = 600.0
"""Bytes of results that a router sends, with those that it passes on."""


def fail(*servers: str, domains: str = DOMAINS) -> tuple[Failure, ...]:
    """Return a failure of half of the requests for six seconds."""
    return (Failure(servers, FAILS_FROM, FAILS_UNTIL, domains=domains),)


async def test_few_requests_that_run_once_fail_at_one_server() -> None:
    figures = await PlainFleetSimulation(fail("s0")).run(RUN_SECONDS)
    print(figures.failed, figures.refused)
    assert figures.failed["non_idempotent"] < FAILED_TODAY / 2
    assert figures.refused["non_idempotent"] <= REFUSED_TODAY
    assert figures.failed["idempotent"] == 0
    # The trials of the server are requests that can be retried.
    once = [sum(figures.sent_once[name, s] for s in range(4, 8)) for name in NAMES]
    assert once[0] < 0.05 * sum(once)


async def test_server_is_used_as_before_after_it_has_recovered() -> None:
    figures = await PlainFleetSimulation(fail("s0")).run(16.0)
    later = [figures.count_sent(name, 13, 16) for name in NAMES]
    assert min(later) > 0.7 * max(later)


async def test_remaining_server_takes_those_that_run_once_first() -> None:
    figures = await PlainFleetSimulation(fail("s0", "s1")).run(RUN_SECONDS)
    print(figures.failed, figures.refused)
    lost = figures.failed["non_idempotent"] + figures.refused["non_idempotent"]
    assert lost < 0.7 * (FAILED_TODAY_OF_TWO + REFUSED_TODAY_OF_TWO)


async def test_only_the_domain_that_sees_failures_avoids_the_server() -> None:
    simulation = PlainFleetSimulation(fail("s0", domains="a"))
    failing: dict[str, int] = dict.fromkeys(DOMAINS, 0)

    def sample() -> None:
        for board in simulation.boards:
            estimate = board.plain_servers.estimate_failures("s0", simulation.now)
            failing[board.members.own.failure_domain] += estimate.is_failing

    simulation.repeat(0.5, sample)
    figures = await simulation.run(FAILS_UNTIL)
    assert figures.failed["non_idempotent"] < FAILED_TODAY_IN_DOMAIN / 2
    assert failing["a"] > 10 * max(failing[domain] for domain in "bcd")


async def test_choice_is_the_same_while_no_server_fails() -> None:
    plays = [
        await PlainFleetSimulation(is_published=is_published).run(6.0)
        for is_published in (False, True)
    ]
    assert plays[0].sent == plays[1].sent
    assert plays[0].latencies == plays[1].latencies
    assert plays[1].news_bytes < MAX_NEWS_BYTES_PER_SECOND * 6.0 * ROUTERS


def test_all_routers_together_try_a_server_twice_a_second() -> None:
    trials = [TrialSchedule(f"a{n}", "s0", ROUTERS, 0.0) for n in range(ROUTERS)]
    made = []
    for step in range(1_200):
        now = 0.05 * step
        due = [trial for trial in trials if trial.is_due(now)]
        for trial in due:
            trial.take(ROUTERS, now)
        made.append(len(due))
    assert 105 <= sum(made) <= 125
    assert max(sum(made[at : at + 20]) for at in range(0, 1_200, 20)) <= 7


async def test_own_results_count_while_all_news_are_lost() -> None:
    simulation = PlainFleetSimulation(fail("s0"), loses_news=True)
    figures = await simulation.run(RUN_SECONDS)
    assert figures.failed["non_idempotent"] <= 1.2 * FAILED_TODAY
    assert figures.asked["non_idempotent"] > 1_000


def test_news_name_the_servers_with_most_failures_and_keep_the_others() -> None:
    simulation = PlainFleetSimulation(servers=2 * MAX_REPORTED_SERVERS)
    section, now = simulation.boards[0].plain_servers, simulation.now
    for number in range(2 * MAX_REPORTED_SERVERS):
        for _ in range(1 + number):
            section.record_own_result(f"s{number}", now, failed=True)
    first, second = (section.take_reports(84, now) for _ in range(2))
    assert [report.failed for report in first] == list(range(32, 16, -1))
    assert [report.failed for report in second] == list(range(16, 0, -1))
    assert section.take_reports(84, now + 100.0) == []
