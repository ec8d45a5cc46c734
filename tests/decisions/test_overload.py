"""Simulations of overloaded engines, with each mechanism and without it."""

from __future__ import annotations

from sycamorehaven.replay.overload import EnabledMechanisms, ReplayLoad, run_replay

OVERLOAD = ReplayLoad(rate=80.0, duration_seconds=12.0)
"""About twice the rate at which the engines can read prompts."""


def test_prefix_affinity_serves_more_prompts_on_time() -> None:
    placed = run_replay(EnabledMechanisms(), OVERLOAD)
    spread = run_replay(EnabledMechanisms(affinity=False, copies=False), OVERLOAD)
    assert placed.on_time > 1.3 * spread.on_time


def test_copying_prefixes_leaves_time_for_more_prompts() -> None:
    copied = run_replay(EnabledMechanisms(), OVERLOAD)
    read = run_replay(EnabledMechanisms(copies=False), OVERLOAD)
    assert copied.on_time > read.on_time
    assert copied.read < read.read


def test_late_clients_yield_to_clients_that_can_be_served_on_time() -> None:
    yielding = run_replay(EnabledMechanisms(), OVERLOAD)
    equal = run_replay(EnabledMechanisms(yields=False), OVERLOAD)
    assert yielding.on_time > equal.on_time


def test_requests_that_would_be_late_are_rejected() -> None:
    refusing = run_replay(EnabledMechanisms(), OVERLOAD)
    load = OVERLOAD._replace(duration_seconds=6.0)
    assert (
        run_replay(EnabledMechanisms(), load).on_time
        > run_replay(EnabledMechanisms(refuses=False), load).on_time
    )
    assert refusing.on_time + refusing.late < refusing.asked


def test_nothing_is_rejected_while_engines_are_idle() -> None:
    outcome = run_replay(
        EnabledMechanisms(), ReplayLoad(rate=8.0, duration_seconds=12.0)
    )
    assert outcome.on_time + outcome.late == outcome.asked
