"""A short run of the soak, and the seeds that ever broke a promise."""

from __future__ import annotations

from tests.soak.player import play_seed

SHORT_SEED = 1
SHORT_LENGTH = 6.0
"""Seconds of faults."""


async def test_short_soak_breaks_no_promise() -> None:
    outcome = await play_seed(SHORT_SEED, SHORT_LENGTH)
    assert not outcome.findings, "\n".join(outcome.findings)
    assert outcome.served > outcome.requests / 2
