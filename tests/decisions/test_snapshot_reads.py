"""Which routers read the platform's store."""

from __future__ import annotations

from sycamorehaven.decisions.snapshot_reads import (
    DOMAIN_READER_AGE_SECONDS,
    FLEET_READERS,
    MAX_ALL_READERS_FLEET_SIZE,
    MAX_SNAPSHOT_AGE_SECONDS,
    choose_read_age,
)

LARGE_FLEET = {f"h{number}": f"d{number % 6}" for number in range(195)}


def test_every_router_of_a_small_fleet_reads() -> None:
    fleet = {f"h{number}": "d" for number in range(MAX_ALL_READERS_FLEET_SIZE)}
    assert {choose_read_age(host, fleet) for host in fleet} == {0.0}


def test_reads_of_a_large_fleet_do_not_grow_with_its_failure_domains() -> None:
    ages = [choose_read_age(host, LARGE_FLEET) for host in LARGE_FLEET]
    assert ages.count(0.0) == FLEET_READERS
    assert ages.count(DOMAIN_READER_AGE_SECONDS) == 2 * 6 - FLEET_READERS


def test_each_failure_domain_that_is_cut_off_has_readers() -> None:
    for domain in set(LARGE_FLEET.values()):
        inside = {host: name for host, name in LARGE_FLEET.items() if name == domain}
        ages = [choose_read_age(host, inside) for host in inside]
        assert ages.count(0.0) == FLEET_READERS
        assert max(ages) == MAX_SNAPSHOT_AGE_SECONDS
