"""
Run a short soak and the seeds that once had findings.

With seeds 134, 136 and 137, other load on the machine stalled the soak itself
for 1.6 to 4.2 s, so that it saw answers late which the routers had sent in
time. Seed 3 had late answers in two runs of an earlier version of the soak;
the cause of the first one is unknown.
"""

from __future__ import annotations

from tests.soak.seed_run import run_seed


async def assert_no_violations(seed: int, length: float) -> None:
    """
    Assert that a seed has no findings and that requests were served.

    :param length: seconds during which faults are injected.
    """
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
