"""What the evacuation of its failure domain means for a server."""

from __future__ import annotations

import math

from sycamorehaven.decisions.server_openings import Opening


def find_evacuated_opening(
    ordered_after: float, copy_seconds: float, now: float
) -> Opening:
    """
    Return the opening of a server in an evacuated failure domain.

    It takes no request. For a while, other engines may copy from its cache,
    which saves them from reading the prompts of the requests that move.

    :param ordered_after: time after which the evacuation was ordered, in
        monotonic seconds.
    :param copy_seconds: time from then on in which copies may begin.
    """
    return Opening(
        math.inf,
        "evacuated",
        0.0,
        allows_copies=now < ordered_after + copy_seconds,
    )
