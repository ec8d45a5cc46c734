"""
A short run of the soak, and the seeds that ever broke a promise.

In 134, 136 and 137 the soak itself stood still for 1.6 to 4.2 s beside load
and saw answers late that routers gave in time. Seed 3 was late in two runs on
an earlier version of the soak; the first of them is not traced.
"""

from __future__ import annotations

from tests.soak.seed_run import run_seed


async def assert_no_violations(seed: int, length: float) -> None:
    """Assert that no promise is broken; ``length`` in seconds of faults."""
    outcome = await run_seed(seed, length)
    assert not outcome.findings, "\n".join(outcome.findings)
    assert outcome.served


async def test_short_soak_breaks_no_promise() -> None:
    await assert_no_violations(1, 6.0)


async def test_seed_3_breaks_no_promise() -> None:
    await assert_no_violations(3, 12.0)


async def test_seed_134_breaks_no_promise() -> None:
    await assert_no_violations(134, 8.0)


async def test_seed_136_breaks_no_promise() -> None:
    await assert_no_violations(136, 8.0)


async def test_seed_137_breaks_no_promise() -> None:
    await assert_no_violations(137, 8.0)
