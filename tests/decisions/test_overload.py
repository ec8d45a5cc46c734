"""Simulations of overloaded engines, with each mechanism and without it."""

from __future__ import annotations

from sycamorehaven.replay.overload import Load, Policy, replay

OVERLOAD = Load(rate=80.0, length=12.0)
"""About twice the rate at which the engines can read prompts."""


def test_prefix_affinity_serves_more_prompts_on_time() -> None:
    placed = replay(Policy(), OVERLOAD)
    spread = replay(Policy(affinity=False, copies=False), OVERLOAD)
    assert placed.on_time > 1.3 * spread.on_time


def test_copying_prefixes_leaves_time_for_more_prompts() -> None:
    copied = replay(Policy(), OVERLOAD)
    read = replay(Policy(copies=False), OVERLOAD)
    assert copied.on_time > read.on_time
    assert copied.read < read.read


def test_late_clients_yield_to_clients_that_can_be_served_on_time() -> None:
    yielding = replay(Policy(), OVERLOAD)
    equal = replay(Policy(yields=False), OVERLOAD)
    assert yielding.on_time > equal.on_time


def test_requests_that_would_be_late_are_rejected() -> None:
    refusing = replay(Policy(), OVERLOAD)
    load = OVERLOAD._replace(length=6.0)
    assert replay(Policy(), load).on_time > replay(Policy(refuses=False), load).on_time
    assert refusing.on_time + refusing.late < refusing.asked


def test_nothing_is_rejected_while_engines_are_idle() -> None:
    outcome = replay(Policy(), Load(rate=8.0, length=12.0))
    assert outcome.on_time + outcome.late == outcome.asked
