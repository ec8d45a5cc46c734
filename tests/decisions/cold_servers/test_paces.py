"""Requests to a cold server without a scheduler, from all routers together."""

from __future__ import annotations

import bisect
import random
from typing import TYPE_CHECKING

from sycamorehaven.decisions.cold_servers.paces import (
    ColdAllowance,
    choose_sender_pace,
    choose_senders,
)
from sycamorehaven.decisions.pacing import Pacer

if TYPE_CHECKING:
    from collections.abc import Sequence

RATE = 8.8
STEP_SECONDS = 0.01
SERVERS = 40


def count_fullest_second(
    server: str, views: Sequence[Sequence[str]], allowance: ColdAllowance
) -> int:
    """
    Return the most requests in a second that routers with too much to do send.

    They begin at random times, so some have saved up what they may.

    :param views: the hosts that see each other.
    """
    rng = random.Random(server)
    times = []
    pace = choose_sender_pace(RATE, allowance)
    for view in views:
        for _ in choose_senders(server, view, RATE, allowance):
            pacer, begins_at = Pacer(0.0), rng.uniform(0.0, 3.0)
            pacer.set_rate(pace.rate, pace.burst, 0.0)
            for step in range(600):
                now = step * STEP_SECONDS
                pacer.set_rate(pace.rate, pace.burst, now)
                if now >= begins_at and pacer.get_opening(now) <= now:
                    pacer.take()
                    times.append(now)
    times.sort()
    return max(bisect.bisect_left(times, t + 1.0) - n for n, t in enumerate(times))


# Without a cut, all of them are in one view.
def test_routers_that_are_cut_off_overload_a_server_together_with_the_others() -> None:
    hosts = [f"a{n}" for n in range(6)]
    for allowance in (ColdAllowance(1.5, 5.0), ColdAllowance()):
        for cut in range(4):
            views = hosts[:cut], hosts[cut:]
            most = [
                count_fullest_second(f"s{n}", views, allowance) for n in range(SERVERS)
            ]
            assert 2 <= max(most) <= allowance.compute_bound(RATE)
