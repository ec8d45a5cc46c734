"""A short run of the soak, and the seeds that ever broke a promise."""

from __future__ import annotations

from tests.soak.player import play_seed

SHORT_SEED = 1
SHORT_LENGTH = 6.0
"""Seconds of faults."""
BROKEN_SEEDS = {
    # Streams through a proxy stood still while the soak itself started a
    # process; seen again with record.json. In an earlier run four answers were
    # late at a router that was stopped for 3.1 s; that run kept no record.
    3: 12.0,
}
"""Seconds of faults by seed."""


async def test_short_soak_breaks_no_promise() -> None:
    outcome = await play_seed(SHORT_SEED, SHORT_LENGTH)
    assert not outcome.findings, "\n".join(outcome.findings)
    assert outcome.served > outcome.requests / 2


async def test_seeds_that_broke_a_promise_hold() -> None:
    for seed, length in BROKEN_SEEDS.items():
        outcome = await play_seed(seed, length)
        assert not outcome.findings, "\n".join(outcome.findings)
