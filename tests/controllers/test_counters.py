"""Totals of service reach every scheduler despite losses and restarts."""

from __future__ import annotations

import random

from sycamorehaven.controllers.counters import (
    CLEANUP_PERIOD_SECONDS,
    MAX_UPDATE_BYTES_PER_SECOND,
    SHARING_POLICY,
)
from sycamorehaven.decisions.service_schedulers import (
    ABSENT_LIFETIME_SECONDS,
    SUPERSEDED_GRACE_SECONDS,
)
from sycamorehaven.identity import RouterId
from sycamorehaven.transport.codec import Codec, Delivery
from sycamorehaven.transport.messages.counters import CounterRow, CounterUpdate
from tests.support.counter_simulation import (
    LARGEST_COST,
    SERVICE_NAME,
    CounterSimulation,
)

HOSTS = ["a1", "b1", "c1"]
WORKSPACES = ["oak", "elm"]
SETTLING_SECONDS = 2 * SHARING_POLICY.refresh
"""Time after which every total has been sent, however small its change."""


def charge_random_service(
    sharers: CounterSimulation, rounds: int, seed: int = 3
) -> dict[str, float]:
    """Charge random costs at every scheduler; return each workspace's sum."""
    source = random.Random(seed)
    given = dict.fromkeys(WORKSPACES, 0.0)
    for _ in range(rounds):
        for host in list(sharers.boards):
            for name in WORKSPACES:
                cost = source.uniform(0.0, 60.0)
                sharers.charge(host, name, cost)
                given[name] += cost
        sharers.run(0.25)
    return given


def test_totals_reach_every_scheduler_despite_message_loss() -> None:
    for loss in (0.0, 0.2, 0.45):
        sharers = CounterSimulation(HOSTS, WORKSPACES, loss)
        given = charge_random_service(sharers, 200)
        for host in HOSTS:
            for name in WORKSPACES:
                missing = given[name] - sharers.sum_service(host, name)
                assert abs(missing) <= LARGEST_COST, (loss, host, missing)
        sharers.run(SETTLING_SECONDS)
        for host in HOSTS:
            for name in WORKSPACES:
                assert abs(given[name] - sharers.sum_service(host, name)) < 1e-6


def test_lost_updates_are_repaired_before_the_refresh() -> None:
    sharers = CounterSimulation(HOSTS, WORKSPACES, loss=1.0)
    given = charge_random_service(sharers, 40)
    sharers.network.loss = 0.0
    sharers.run(3.0)
    for host in HOSTS:
        for name in WORKSPACES:
            missing = given[name] - sharers.sum_service(host, name)
            assert missing <= len(HOSTS) * SHARING_POLICY.threshold * LARGEST_COST


def test_nothing_is_sent_while_nothing_changes() -> None:
    sharers = CounterSimulation(HOSTS, WORKSPACES)
    charge_random_service(sharers, 20)
    sharers.run(SETTLING_SECONDS)
    for link in sharers.links.values():
        link.sent_messages.clear()
    sharers.run(60.0)
    assert not any(link.sent_messages for link in sharers.links.values())


def test_traffic_stays_within_the_budget_for_any_number_of_peers() -> None:
    hosts = [f"a{number}" for number in range(16)]
    workspaces = [f"workspace-{number:06d}" for number in range(40)]
    sharers = CounterSimulation(hosts, workspaces, per_domain=60)
    codecs = {host: Codec(RouterId(host, 2**60), "10.0.0.100:7000") for host in hosts}
    sent = dict.fromkeys(hosts, 0)
    seconds = 10
    for _ in range(seconds * 4):
        for host in hosts:
            for name in workspaces:
                sharers.charge(host, name, LARGEST_COST)
        sharers.run(0.25)
        for host, link in sharers.links.items():
            sent[host] += sum(
                len(codecs[host].encode(m)) for _, m in link.sent_messages
            )
            link.sent_messages.clear()
    assert max(sent.values()) / seconds <= MAX_UPDATE_BYTES_PER_SECOND
    sharers.run(20.0)
    total = len(hosts) * seconds * 4 * LARGEST_COST
    recipients = {router.host for router in sharers.controllers["a0"].update_trackers}
    assert len(recipients) > len(hosts) / 2
    for host in recipients:
        missing = total - sharers.sum_service(host, workspaces[0])
        assert missing <= len(hosts) * SHARING_POLICY.threshold * LARGEST_COST


def test_restarts_change_neither_sums_nor_memory_use() -> None:
    sharers = CounterSimulation(HOSTS, WORKSPACES)
    charge_random_service(sharers, 20)
    sharers.run(SETTLING_SECONDS)
    watched = sharers.boards["a1"].counters
    for _ in range(120):
        before = watched.sum_service(SERVICE_NAME, "oak")
        sharers.restart("c1")
        sharers.charge("c1", "oak", 100.0)
        sharers.run(
            SUPERSEDED_GRACE_SECONDS + CLEANUP_PERIOD_SECONDS + SETTLING_SECONDS
        )
        assert abs(watched.sum_service(SERVICE_NAME, "oak") - before - 100.0) < 1e-6
    assert len(watched.schedulers) == len(HOSTS)
    assert len(watched.folded) == 1
    assert len(sharers.controllers["a1"].update_trackers) == len(HOSTS) - 1


def test_cold_start_fetches_totals_of_live_and_departed_schedulers() -> None:
    sharers = CounterSimulation(HOSTS, WORKSPACES, loss=0.2)
    given = charge_random_service(sharers, 40)
    sharers.run(SETTLING_SECONDS)
    sharers.kill("b1")
    sharers.restart("c1")
    sharers.run(SETTLING_SECONDS)
    counters = sharers.boards["c1"].counters
    for name in WORKSPACES:
        assert abs(counters.sum_totals(SERVICE_NAME, name) - given[name]) < 1e-6


def test_new_scheduler_does_not_count_earlier_service_as_lag() -> None:
    sharers = CounterSimulation(HOSTS, WORKSPACES, loss=0.2)
    sharers.charge("a1", "oak", 100 * LARGEST_COST)
    sharers.run(SETTLING_SECONDS)
    sharers.restart("c1")
    for _ in range(40):
        sharers.charge("a1", "oak", 10.0)
        sharers.charge("a1", "elm", 20.0)
        sharers.run(0.25)
        ahead = sharers.sum_service("c1", "oak") - sharers.sum_service("c1", "elm")
        assert abs(ahead) <= LARGEST_COST
    sharers.run(SETTLING_SECONDS)
    assert abs(sharers.sum_service("c1", "oak") - 400.0) <= 10.0
    assert abs(sharers.sum_service("c1", "elm") - 800.0) <= 20.0


def test_scheduler_that_returns_after_folding_adds_only_new_service() -> None:
    sharers = CounterSimulation(HOSTS, WORKSPACES)
    charge_random_service(sharers, 20)
    sharers.run(SETTLING_SECONDS)
    board = sharers.boards["a1"]
    before = sharers.sum_service("a1", "oak")
    sharers.update_members(missing="c1")
    sharers.network.disconnected_pairs = {
        frozenset({"a1:1", "c1:1"}),
        frozenset({"b1:1", "c1:1"}),
    }
    sharers.run(60.0)
    assert RouterId("c1", 1) in board.counters.schedulers
    sharers.clock.advance(ABSENT_LIFETIME_SECONDS)
    sharers.run(60.0)
    assert RouterId("c1", 1) not in board.counters.schedulers
    assert sharers.sum_service("a1", "oak") == before
    sharers.network.disconnected_pairs = set()
    sharers.update_members()
    sharers.run(SETTLING_SECONDS)
    assert sharers.sum_service("a1", "oak") == before
    sharers.charge("c1", "oak", 500.0)
    sharers.run(SETTLING_SECONDS)
    assert sharers.sum_service("a1", "oak") == before
    sharers.charge("c1", "oak", 70.0)
    sharers.run(SETTLING_SECONDS)
    assert abs(sharers.sum_service("a1", "oak") - before - 70.0) < 1e-6


def test_invalid_rows_are_ignored() -> None:
    sharers = CounterSimulation(HOSTS, WORKSPACES)
    charge_random_service(sharers, 4)
    sharers.run(SETTLING_SECONDS)
    own = sharers.boards["a1"].identity
    before = sharers.sum_service("a1", "oak")
    rows = [
        CounterRow("b1", 1, SERVICE_NAME, "oak", value)
        for value in (float("nan"), float("inf"), -1e9, 1e300)
    ]
    rows.append(CounterRow(own.host, own.incarnation, SERVICE_NAME, "oak", 1e9))
    rows.append(CounterRow("b1", 0, SERVICE_NAME, "oak", 1.0, float("nan")))
    sender = sharers.boards["b1"].identity
    sharers.links["a1"].dispatch(Delivery(sender, "b1:1", CounterUpdate(0, rows)))
    assert abs(sharers.sum_service("a1", "oak") - before) <= 1.0
