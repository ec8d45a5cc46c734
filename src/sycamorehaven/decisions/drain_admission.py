"""
Which requests a router that is being stopped still takes.

Clients come for some seconds after the stop has begun, since the load balancer
has yet to notice it. A request that can't end before the process does would be
cut off without an answer, and one that may run only once could not even be
sent again. So it is refused at once, and goes to another router.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import NamedTuple

MEAN_WEIGHT = 0.125
"""Weight of the newest duration in the mean (RFC 6298 section 2.3)."""
DEVIATION_WEIGHT = 0.25
"""Weight of the newest deviation from the mean (RFC 6298 section 2.3)."""
MAX_ROUTES = 10_000
"""Number of routes whose durations are kept; about 2 MB."""


class Duration(NamedTuple):
    """
    How long the answers on a route take.

    :ivar mean: mean, seconds.
    :ivar deviation: mean deviation from it, seconds.
    """

    mean: float
    deviation: float

    def add(self, seconds: float) -> Duration:
        """Return the duration with one more answer."""
        difference = seconds - self.mean
        return Duration(
            self.mean + MEAN_WEIGHT * difference,
            self.deviation + DEVIATION_WEIGHT * (abs(difference) - self.deviation),
        )


class AnswerDurations:
    """Durations of answers by route, the one used last at the end."""

    def __init__(self) -> None:
        self._durations: OrderedDict[str, Duration] = OrderedDict()

    def record(self, route: str, seconds: float) -> None:
        """Record the duration of a complete answer."""
        known = self._durations.get(route)
        self._durations[route] = (
            known.add(seconds) if known else Duration(seconds, seconds / 2)
        )
        self._durations.move_to_end(route)
        if len(self._durations) > MAX_ROUTES:
            self._durations.popitem(last=False)

    def estimate(self, route: str) -> float:
        """
        Return the time in which most answers on a route end, in seconds.

        :returns: infinity if none has been recorded.
        """
        known = self._durations.get(route)
        return known.mean + known.deviation if known else math.inf


def can_end_in_time(
    seconds_left: float, time_limit: float, estimate: float, *, is_repeatable: bool
) -> bool:
    """
    Return whether a request may be taken before the process ends.

    One that may run only once has to be able to use its whole time limit.

    :param seconds_left: time until the process ends.
    :param time_limit: time after which the request gets its final answer.
    :param estimate: time in which most answers of this kind end.
    :param is_repeatable: whether the request may run more than once.
    """
    needed = min(time_limit, estimate) if is_repeatable else time_limit
    return needed <= seconds_left
