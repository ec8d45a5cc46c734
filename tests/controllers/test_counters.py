"""Totals of granted work reach every scheduler despite loss and restarts."""

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


def charge_random_costs(
    simulation: CounterSimulation, rounds: int, seed: int = 3
) -> dict[str, float]:
    """Charge random costs at every scheduler; return each workspace's sum."""
    source = random.Random(seed)
    charged = dict.fromkeys(WORKSPACES, 0.0)
    for _ in range(rounds):
        for host in list(simulation.boards):
            for name in WORKSPACES:
                cost = source.uniform(0.0, 60.0)
                simulation.charge(host, name, cost)
                charged[name] += cost
        simulation.run(0.25)
    return charged


def test_totals_reach_every_scheduler_despite_message_loss() -> None:
    for loss in (0.0, 0.2, 0.45):
        simulation = CounterSimulation(HOSTS, WORKSPACES, loss)
        charged = charge_random_costs(simulation, 200)
        for host in HOSTS:
            for name in WORKSPACES:
                missing = charged[name] - simulation.sum_service(host, name)
                assert abs(missing) <= LARGEST_COST, (loss, host, missing)
        simulation.run(SETTLING_SECONDS)
        for host in HOSTS:
            for name in WORKSPACES:
                assert abs(charged[name] - simulation.sum_service(host, name)) < 1e-6


def test_lost_updates_are_repaired_before_the_refresh() -> None:
    simulation = CounterSimulation(HOSTS, WORKSPACES, loss=1.0)
    charged = charge_random_costs(simulation, 40)
    simulation.network.loss = 0.0
    simulation.run(3.0)
    for host in HOSTS:
        for name in WORKSPACES:
            missing = charged[name] - simulation.sum_service(host, name)
            assert missing <= len(HOSTS) * SHARING_POLICY.threshold * LARGEST_COST


def test_nothing_is_sent_while_nothing_changes() -> None:
    simulation = CounterSimulation(HOSTS, WORKSPACES)
    charge_random_costs(simulation, 20)
    simulation.run(SETTLING_SECONDS)
    for link in simulation.links.values():
        link.sent_messages.clear()
    simulation.run(60.0)
    assert not any(link.sent_messages for link in simulation.links.values())


def test_traffic_stays_within_the_budget_for_any_number_of_peers() -> None:
    hosts = [f"a{number}" for number in range(16)]
    workspaces = [f"workspace-{number:06d}" for number in range(40)]
    simulation = CounterSimulation(hosts, workspaces, per_domain=60)
    codecs = {host: Codec(RouterId(host, 2**60), "10.0.0.100:7000") for host in hosts}
    sent = dict.fromkeys(hosts, 0)
    seconds = 10
    for _ in range(seconds * 4):
        for host in hosts:
            for name in workspaces:
                simulation.charge(host, name, LARGEST_COST)
        simulation.run(0.25)
        for host, link in simulation.links.items():
            sent[host] += sum(
                len(codecs[host].encode(m)) for _, m in link.sent_messages
            )
            link.sent_messages.clear()
    assert max(sent.values()) / seconds <= MAX_UPDATE_BYTES_PER_SECOND
    simulation.run(20.0)
    total = len(hosts) * seconds * 4 * LARGEST_COST
    recipients = {
        router.host for router in simulation.controllers["a0"].update_trackers
    }
    assert len(recipients) > len(hosts) / 2
    for host in recipients:
        missing = total - simulation.sum_service(host, workspaces[0])
        assert missing <= len(hosts) * SHARING_POLICY.threshold * LARGEST_COST


def test_restarts_change_neither_sums_nor_memory_use() -> None:
    simulation = CounterSimulation(HOSTS, WORKSPACES)
    charge_random_costs(simulation, 20)
    simulation.run(SETTLING_SECONDS)
    watched = simulation.boards["a1"].counters
    for _ in range(120):
        before = watched.sum_service(SERVICE_NAME, "oak")
        simulation.restart("c1")
        simulation.charge("c1", "oak", 100.0)
        simulation.run(
            SUPERSEDED_GRACE_SECONDS + CLEANUP_PERIOD_SECONDS + SETTLING_SECONDS
        )
        assert abs(watched.sum_service(SERVICE_NAME, "oak") - before - 100.0) < 1e-6
    assert len(watched.schedulers) == len(HOSTS)
    assert len(watched.folded) == 1
    assert len(simulation.controllers["a1"].update_trackers) == len(HOSTS) - 1


def test_cold_start_fetches_totals_of_live_and_departed_schedulers() -> None:
    simulation = CounterSimulation(HOSTS, WORKSPACES, loss=0.2)
    charged = charge_random_costs(simulation, 40)
    simulation.run(SETTLING_SECONDS)
    simulation.kill("b1")
    simulation.restart("c1")
    simulation.run(SETTLING_SECONDS)
    counters = simulation.boards["c1"].counters
    for name in WORKSPACES:
        assert abs(counters.sum_totals(SERVICE_NAME, name) - charged[name]) < 1e-6


def test_new_scheduler_does_not_count_earlier_work_as_lag() -> None:
    simulation = CounterSimulation(HOSTS, WORKSPACES, loss=0.2)
    simulation.charge("a1", "oak", 100 * LARGEST_COST)
    simulation.run(SETTLING_SECONDS)
    simulation.restart("c1")
    for _ in range(40):
        simulation.charge("a1", "oak", 10.0)
        simulation.charge("a1", "elm", 20.0)
        simulation.run(0.25)
        ahead = simulation.sum_service("c1", "oak") - simulation.sum_service(
            "c1", "elm"
        )
        assert abs(ahead) <= LARGEST_COST
    simulation.run(SETTLING_SECONDS)
    assert abs(simulation.sum_service("c1", "oak") - 400.0) <= 10.0
    assert abs(simulation.sum_service("c1", "elm") - 800.0) <= 20.0


def test_scheduler_that_returns_after_folding_adds_only_new_work() -> None:
    simulation = CounterSimulation(HOSTS, WORKSPACES)
    charge_random_costs(simulation, 20)
    simulation.run(SETTLING_SECONDS)
    board = simulation.boards["a1"]
    before = simulation.sum_service("a1", "oak")
    simulation.update_members(missing="c1")
    simulation.network.disconnected_pairs = {
        frozenset({"a1:1", "c1:1"}),
        frozenset({"b1:1", "c1:1"}),
    }
    simulation.run(60.0)
    assert RouterId("c1", 1) in board.counters.schedulers
    simulation.clock.advance(ABSENT_LIFETIME_SECONDS)
    simulation.run(60.0)
    assert RouterId("c1", 1) not in board.counters.schedulers
    assert simulation.sum_service("a1", "oak") == before
    simulation.network.disconnected_pairs = set()
    simulation.update_members()
    simulation.run(SETTLING_SECONDS)
    assert simulation.sum_service("a1", "oak") == before
    simulation.charge("c1", "oak", 500.0)
    simulation.run(SETTLING_SECONDS)
    assert simulation.sum_service("a1", "oak") == before
    simulation.charge("c1", "oak", 70.0)
    simulation.run(SETTLING_SECONDS)
    assert abs(simulation.sum_service("a1", "oak") - before - 70.0) < 1e-6


def test_invalid_rows_are_ignored() -> None:
    simulation = CounterSimulation(HOSTS, WORKSPACES)
    charge_random_costs(simulation, 4)
    simulation.run(SETTLING_SECONDS)
    own = simulation.boards["a1"].identity
    before = simulation.sum_service("a1", "oak")
    rows = [
        CounterRow("b1", 1, SERVICE_NAME, "oak", value)
        for value in (float("nan"), float("inf"), -1e9, 1e300)
    ]
    rows.append(CounterRow(own.host, own.incarnation, SERVICE_NAME, "oak", 1e9))
    rows.append(CounterRow("b1", 0, SERVICE_NAME, "oak", 1.0, float("nan")))
    sender = simulation.boards["b1"].identity
    simulation.links["a1"].dispatch(Delivery(sender, "b1:1", CounterUpdate(0, rows)))
    assert abs(simulation.sum_service("a1", "oak") - before) <= 1.0
