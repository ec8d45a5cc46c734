"""
Which requests a workspace is entitled to have placed.

Routers learn what others placed only after a broadcast interval, in which a
large fleet fills most of its slots anew. If all of them compared what a
workspace received with its share, they would all place its requests until the
news arrive and then all stop. So each router lets the same fraction of the
workspace's requests through: its share divided by its demand. Both change
slowly, and the sum over the routers is the share, however the requests are
spread over them.

The others of its requests are excess: they are placed only while slots are
free beyond a reserve.

A workspace that received less than its share may use more slots of each engine
than others. A router that learns late of freed slots would otherwise find all
of them taken.
"""

from __future__ import annotations

import xxhash

EXCESS_RESERVE_RATIO = 0.02
"""Fraction of the slots that excess requests leave free."""
STARVED_SATISFACTION = 0.75
"""Fraction of its entitlement below which a workspace counts as starved."""
STARVED_LIMIT_FACTOR = 1.5
"""Factor applied to the concurrency limit of an engine for the requests of a
starved workspace."""

_DRAWS = 2**64


def draw_position(attempt_id: str) -> float:
    """
    Return the position of a request among those of its workspace.

    It is computed from the id, so positions are spread evenly and an attempt
    keeps its own.

    :param attempt_id: id of the client's attempt.
    :returns: at least 0 and less than 1.
    """
    return xxhash.xxh64_intdigest(attempt_id.encode()) / _DRAWS


def is_entitled(position: float, entitled_ratio: float) -> bool:
    """
    Return whether a request is among those that its workspace is entitled to.

    :param position: its position among the requests of its workspace.
    :param entitled_ratio: fraction of its demand that the workspace is
        entitled to.
    """
    return position < entitled_ratio


def count_spare_slots(
    free_slots: int, total_slots: float, requests_ahead: int
) -> float:
    """
    Return how many free slots are not left to others by excess requests.

    :param free_slots: free slots of the service's engines.
    :param total_slots: requests that the engines may run.
    :param requests_ahead: waiting requests of workspaces that received less.
    """
    return free_slots - max(requests_ahead, EXCESS_RESERVE_RATIO * total_slots)


def choose_limit_factor(satisfaction: float, *, entitled: bool) -> float:
    """
    Return the factor that a request applies to an engine's concurrency limit.

    :param satisfaction: fraction of its entitlement that the workspace
        received.
    :param entitled: whether it is among the requests that the workspace is
        entitled to.
    """
    if entitled and satisfaction < STARVED_SATISFACTION:
        return STARVED_LIMIT_FACTOR
    return 1.0
