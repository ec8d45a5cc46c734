"""Members join, fail, pause, leave and rejoin after a partition."""

from __future__ import annotations

from sycamorehaven.decisions.membership import compute_suspicion_timeout
from sycamorehaven.decisions.probing import (
    ACK_TIMEOUT_SECONDS,
    MAX_ATTEMPTS,
    PROBE_INTERVAL_SECONDS,
)
from sycamorehaven.gateway_settings import GatewaySettings
from tests.support.membership_simulation import SimulatedCluster

FLEET_SIZE = 6
HOSTS = {f"m{number}" for number in range(FLEET_SIZE)}
DETECTION_SECONDS = (
    (FLEET_SIZE - 1) * PROBE_INTERVAL_SECONDS
    + (MAX_ATTEMPTS + 1) * (ACK_TIMEOUT_SECONDS + 0.1)
    + compute_suspicion_timeout(FLEET_SIZE)
    + 1.0
)
"""
Time in which every member detects a failure.

It covers a whole round of probes, all attempts, the suspicion timeout and a
second for the update to spread.
"""


def create_joined_cluster(loss: float = 0.0) -> SimulatedCluster:
    cluster = SimulatedCluster(FLEET_SIZE, loss)
    cluster.run_until_views_agree(HOSTS, 10.0)
    return cluster


def test_cold_start_joins_through_seeds() -> None:
    cluster = create_joined_cluster()
    cluster.kill("m5")
    cluster.run_until_views_agree(HOSTS - {"m5"}, DETECTION_SECONDS)
    cluster.start("m5", incarnation=2)
    cluster.run_until_views_agree(HOSTS, 3.0)


def test_killed_member_is_dropped_everywhere() -> None:
    cluster = create_joined_cluster()
    cluster.kill("m2")
    cluster.run_until_views_agree(HOSTS - {"m2"}, DETECTION_SECONDS)


def test_two_members_killed_at_once_are_dropped() -> None:
    cluster = create_joined_cluster()
    cluster.kill("m0")
    cluster.kill("m1")
    cluster.run_until_views_agree(HOSTS - {"m0", "m1"}, DETECTION_SECONDS)


def test_new_incarnation_replaces_the_old_at_once() -> None:
    cluster = create_joined_cluster()
    cluster.kill("m4")
    cluster.start("m4", incarnation=2)
    cluster.run(3.0)
    found = {router.board.members.find("m4") for router in cluster.routers.values()}
    assert {(m.incarnation, m.state) for m in found if m} == {(2, "alive")}
    assert len(found) == 1


def test_suspect_member_keeps_its_roles() -> None:
    cluster = create_joined_cluster()
    cluster.pause("m3")
    view = cluster.routers["m0"].board.members
    while view.find("m3").state != "suspect":  # type: ignore[union-attr]
        cluster.step()
    assert "m3" in view.map_failure_domains()


def test_briefly_paused_member_refutes_its_suspicion() -> None:
    cluster = create_joined_cluster()
    cluster.pause("m3")
    while cluster.routers["m0"].board.members.find("m3").state != "suspect":  # type: ignore[union-attr]
        cluster.step()
    cluster.resume("m3")
    cluster.run_until_views_agree(HOSTS, 3.0)
    assert all(
        not router.controller.membership.dead_members
        for router in cluster.routers.values()
    )


def test_paused_router_reports_the_pause_and_refreshes_its_view() -> None:
    cluster = create_joined_cluster()
    board = cluster.routers["m3"].board
    states: list[tuple[int, bool, bool]] = []
    board.pauses.changed.subscribe(
        lambda: states.append(
            (
                board.pauses.count,
                board.pauses.has_recovered,
                board.members.find("m1") is not None,
            )
        )
    )
    cluster.pause("m3")
    cluster.run(30.0)
    cluster.kill("m1")
    cluster.run(DETECTION_SECONDS)
    cluster.resume("m3")
    cluster.run_until_views_agree(HOSTS - {"m1"}, DETECTION_SECONDS)
    assert [state[:2] for state in states] == [(1, False), (1, True)]
    assert board.members.find("m3") is not None


def test_lone_router_recovers_from_a_pause() -> None:
    cluster = SimulatedCluster(1)
    cluster.run(1.0)
    cluster.pause("m0")
    cluster.run(5.0)
    cluster.resume("m0")
    cluster.run(2.0)
    assert cluster.routers["m0"].board.pauses.count == 1
    assert cluster.routers["m0"].board.pauses.has_recovered


def test_partitioned_fleet_rejoins_after_an_hour() -> None:
    cluster = create_joined_cluster()
    partition = {"m0", "m3"}
    cluster.isolate_hosts(partition)
    cluster.run(DETECTION_SECONDS + 2.0)
    assert set(cluster.routers["m0"].list_hosts()) == partition
    assert set(cluster.routers["m5"].list_hosts()) == HOSTS - partition
    cluster.run(3_600.0)
    assert set(cluster.routers["m0"].list_hosts()) == partition
    cluster.restore_connections()
    cluster.run_until_views_agree(HOSTS, 15.0)


def test_loss_of_a_fifth_of_messages_drops_no_member() -> None:
    cluster = create_joined_cluster(loss=0.2)
    for _ in range(6_000):
        cluster.step()
        for router in cluster.routers.values():
            assert set(router.list_hosts()) == HOSTS
    cluster.kill("m2")
    cluster.run_until_views_agree(HOSTS - {"m2"}, 2 * DETECTION_SECONDS)


def test_leaving_spreads_at_once_and_is_not_revoked() -> None:
    cluster = create_joined_cluster()
    cluster.routers["m4"].board.lifecycle.begin_draining()
    cluster.run(0.2)
    for router in cluster.routers.values():
        assert "m4" not in router.board.members.map_failure_domains()
    cluster.pause("m4")
    for _ in range(round(DETECTION_SECONDS / 0.1)):
        cluster.step()
        assert all(
            "m4" not in router.board.members.map_failure_domains()
            for host, router in cluster.routers.items()
            if host != "m4"
        )
    assert "m4" not in cluster.routers["m0"].list_hosts()


def start_gateways() -> SimulatedCluster:
    gateway = GatewaySettings("127.0.0.1:1", "127.0.0.1:2", 8.0, 0.2, 10.0, 50.0, 4.0)
    cluster = SimulatedCluster(FLEET_SIZE, gateway_settings=gateway)
    cluster.run_until_views_agree(HOSTS, 10.0)
    cluster.kill("m4")
    cluster.start("m4", incarnation=9)
    cluster.run(3.0)
    return cluster


def test_gateway_whose_clock_was_set_back_while_it_was_dead_is_a_member_again() -> None:
    cluster = start_gateways()
    cluster.kill("m4")
    cluster.run_until_views_agree(HOSTS - {"m4"}, DETECTION_SECONDS)
    cluster.start("m4", incarnation=5)
    cluster.run_until_views_agree(HOSTS, 5.0)


def test_gateway_that_restarts_at_once_with_its_clock_set_back_stays_a_member() -> None:
    cluster = start_gateways()
    cluster.kill("m4")
    cluster.start("m4", incarnation=5)
    cluster.run(2 * DETECTION_SECONDS)
    assert cluster.views_agree(HOSTS)
    assert cluster.routers["m4"].controller.membership.host_conflict is None


def test_second_router_with_the_same_host_name_does_not_take_over_its_membership() -> (
    None
):
    cluster = start_gateways()
    membership = cluster.routers["m4"].controller.membership
    other = membership.own_record._replace(incarnation=12, address="elsewhere:1")
    membership.merge_record(other, cluster.clock())
    assert membership.own_record.incarnation == 9
    assert membership.host_conflict == other
