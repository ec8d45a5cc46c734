"""Tests of where streams began and which routers remember it."""

from __future__ import annotations

from sycamorehaven.decisions.stream_origins import (
    MAX_ORIGINS,
    ORIGIN_LIFETIME_SECONDS,
    StreamOrigin,
    StreamOrigins,
    choose_origin_holders,
    compute_stream_key,
    list_possible_holders,
)

DOMAINS = {f"{domain}{number}": domain for domain in "abcdef" for number in range(70)}
ORIGIN = StreamOrigin("model", "v1")
KEYS = [compute_stream_key(f"stream-{number}") for number in range(200)]


def test_holders_are_in_the_own_domain_and_another_one() -> None:
    for key in KEYS:
        holders = choose_origin_holders(key, "a0", DOMAINS)
        own, other = holders
        assert own != "a0"
        assert DOMAINS[own] == "a" != DOMAINS[other]


def test_every_holder_is_asked_after_its_peers_have_left() -> None:
    for key in KEYS:
        holders = choose_origin_holders(key, "a0", DOMAINS)
        remaining = {host: domain for host, domain in DOMAINS.items() if host != "a0"}
        assert set(holders) <= set(list_possible_holders(key, remaining))
        assert set(holders) <= set(list_possible_holders(key, DOMAINS))


def test_one_holder_is_asked_when_a_domain_is_lost_or_cut_off() -> None:
    for key in KEYS:
        holders = set(choose_origin_holders(key, "a0", DOMAINS))
        own_domain = {host: domain for host, domain in DOMAINS.items() if domain == "a"}
        others = {host: domain for host, domain in DOMAINS.items() if domain != "a"}
        assert holders & set(list_possible_holders(key, own_domain))
        assert holders & set(list_possible_holders(key, others))


def test_single_router_has_no_holders() -> None:
    assert choose_origin_holders(KEYS[0], "a0", {"a0": "a"}) == []


def test_holders_are_spread_over_the_fleet() -> None:
    held = [host for key in KEYS for host in choose_origin_holders(key, "a0", DOMAINS)]
    assert max(held.count(host) for host in held) < len(KEYS) / 10


def test_origins_expire_and_are_bounded() -> None:
    origins = StreamOrigins()
    origins.record(0, ORIGIN, 0.0)
    assert origins.find(0, ORIGIN_LIFETIME_SECONDS - 0.1) == ORIGIN
    assert origins.find(0, ORIGIN_LIFETIME_SECONDS) is None
    for key in range(MAX_ORIGINS + 1):
        origins.record(key, ORIGIN, 1.0)
    assert len(origins) == MAX_ORIGINS
    assert origins.find(0, 1.0) is None
    origins.record(1, ORIGIN, 1.0 + ORIGIN_LIFETIME_SECONDS)
    assert len(origins) == 1
