"""Members join, fail, pause, leave and rejoin after a partition."""

from __future__ import annotations

from sycamorehaven.decisions.membership import compute_suspicion_timeout
from sycamorehaven.decisions.probing import (
    ACK_TIMEOUT_SECONDS,
    MAX_ATTEMPTS,
    PROBE_INTERVAL_SECONDS,
)
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


def create_joined_swarm(loss: float = 0.0) -> SimulatedCluster:
    swarm = SimulatedCluster(FLEET_SIZE, loss)
    swarm.run_until_views_agree(HOSTS, 10.0)
    return swarm


def test_cold_start_joins_through_seeds() -> None:
    swarm = create_joined_swarm()
    swarm.kill("m5")
    swarm.run_until_views_agree(HOSTS - {"m5"}, DETECTION_SECONDS)
    swarm.start("m5", incarnation=2)
    swarm.run_until_views_agree(HOSTS, 3.0)


def test_killed_member_is_dropped_everywhere() -> None:
    swarm = create_joined_swarm()
    swarm.kill("m2")
    swarm.run_until_views_agree(HOSTS - {"m2"}, DETECTION_SECONDS)


def test_two_members_killed_at_once_are_dropped() -> None:
    swarm = create_joined_swarm()
    swarm.kill("m0")
    swarm.kill("m1")
    swarm.run_until_views_agree(HOSTS - {"m0", "m1"}, DETECTION_SECONDS)


def test_new_incarnation_replaces_the_old_at_once() -> None:
    swarm = create_joined_swarm()
    swarm.kill("m4")
    swarm.start("m4", incarnation=2)
    swarm.run(3.0)
    found = {n.board.members.find("m4") for n in swarm.routers.values()}
    assert {(m.incarnation, m.state) for m in found if m} == {(2, "alive")}
    assert len(found) == 1


def test_suspect_member_keeps_its_roles() -> None:
    swarm = create_joined_swarm()
    swarm.pause("m3")
    view = swarm.routers["m0"].board.members
    while view.find("m3").state != "suspect":  # type: ignore[union-attr]
        swarm.step()
    assert "m3" in view.map_failure_domains()


def test_briefly_paused_member_refutes_its_suspicion() -> None:
    swarm = create_joined_swarm()
    swarm.pause("m3")
    while swarm.routers["m0"].board.members.find("m3").state != "suspect":  # type: ignore[union-attr]
        swarm.step()
    swarm.resume("m3")
    swarm.run_until_views_agree(HOSTS, 3.0)
    assert all(not n.controller.membership.dead_members for n in swarm.routers.values())


def test_paused_router_reports_the_pause_and_refreshes_its_view() -> None:
    swarm = create_joined_swarm()
    board = swarm.routers["m3"].board
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
    swarm.pause("m3")
    swarm.run(30.0)
    swarm.kill("m1")
    swarm.run(DETECTION_SECONDS)
    swarm.resume("m3")
    swarm.run_until_views_agree(HOSTS - {"m1"}, DETECTION_SECONDS)
    assert [state[:2] for state in states] == [(1, False), (1, True)]
    assert board.members.find("m3") is not None


def test_lone_router_recovers_from_a_pause() -> None:
    swarm = SimulatedCluster(1)
    swarm.run(1.0)
    swarm.pause("m0")
    swarm.run(5.0)
    swarm.resume("m0")
    swarm.run(2.0)
    assert swarm.routers["m0"].board.pauses.count == 1
    assert swarm.routers["m0"].board.pauses.has_recovered


def test_partitioned_fleet_rejoins_after_an_hour() -> None:
    swarm = create_joined_swarm()
    partition = {"m0", "m3"}
    swarm.isolate_hosts(partition)
    swarm.run(DETECTION_SECONDS + 2.0)
    assert set(swarm.routers["m0"].list_hosts()) == partition
    assert set(swarm.routers["m5"].list_hosts()) == HOSTS - partition
    swarm.run(3_600.0)
    assert set(swarm.routers["m0"].list_hosts()) == partition
    swarm.restore_connections()
    swarm.run_until_views_agree(HOSTS, 15.0)


def test_loss_of_a_fifth_of_messages_drops_no_member() -> None:
    swarm = create_joined_swarm(loss=0.2)
    for _ in range(6_000):
        swarm.step()
        for node in swarm.routers.values():
            assert set(node.list_hosts()) == HOSTS
    swarm.kill("m2")
    swarm.run_until_views_agree(HOSTS - {"m2"}, 2 * DETECTION_SECONDS)


def test_leaving_spreads_at_once_and_is_not_revoked() -> None:
    swarm = create_joined_swarm()
    swarm.routers["m4"].board.lifecycle.begin_draining()
    swarm.run(0.2)
    for node in swarm.routers.values():
        assert "m4" not in node.board.members.map_failure_domains()
    swarm.pause("m4")
    for _ in range(round(DETECTION_SECONDS / 0.1)):
        swarm.step()
        assert all(
            "m4" not in node.board.members.map_failure_domains()
            for host, node in swarm.routers.items()
            if host != "m4"
        )
    assert "m4" not in swarm.routers["m0"].list_hosts()
