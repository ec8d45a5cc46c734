"""For how long a server counts as cold."""

from __future__ import annotations

import math

from sycamorehaven.decisions.cold_servers.periods import (
    INCARNATION_MEMORY_SECONDS,
    ColdEntries,
    JoinedServers,
    extend_period,
)
from sycamorehaven.routing.model import ColdServer

NOW = 1_000.0


def test_source_that_lags_ends_a_period_early() -> None:
    period = extend_period(None, NOW + 3.0, "joined", NOW)
    late = extend_period(period, NOW + 1.0, "entry", NOW + 0.5)
    assert late == period
    longer = extend_period(period, NOW + 9.0, "gone", NOW + 0.5)
    assert longer is not None
    assert (longer.since, longer.until) == (NOW, NOW + 9.0)


def test_unchanged_entry_keeps_a_server_cold_for_ever() -> None:
    entries, entry = ColdEntries(), ColdServer("s1/1", 2.0, 7)
    first = entries.read(entry, 0, NOW, 3.0)
    assert first is not None
    assert first.until == NOW + 2.0
    assert entries.read(entry, 0, NOW + 1.0, 3.0) is None
    older = entry._replace(revision=5)
    assert entries.read(older, 0, NOW + 1.0, 3.0) is None
    # Revisions go back when the store is restored from a copy.
    assert entries.read(older, 1, NOW + 1.0, 3.0) is not None


def test_malformed_entry_that_is_rewritten_keeps_a_server_cold_for_ever() -> None:
    entries = ColdEntries()
    readings = [
        entries.read(ColdServer("s1/1", math.inf, revision), 0, NOW + revision, 3.0)
        for revision in range(1, 5)
    ]
    assert readings[0] == (NOW + 4.0, True)
    assert readings[1:] == [None, None, None]


def test_known_servers_count_as_started() -> None:
    joined = JoinedServers()
    assert joined.observe({"s1/1", "s2/1"}, NOW) == []
    assert joined.observe({"s1/1", "s2/2"}, NOW + 1.0) == ["s2/2"]
    # The entry of s2/1 lapsed while the store was down.
    assert joined.observe({"s1/1", "s2/1"}, NOW + 2.0) == []
    later = NOW + 2.0 + INCARNATION_MEMORY_SECONDS
    assert joined.observe({"s2/2"}, later) == ["s2/2"]
