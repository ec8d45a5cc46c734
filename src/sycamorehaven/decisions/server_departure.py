"""
Decides from delayed evidence whether a backend server is leaving.

There are two sources of evidence on a server: the platform's host list and the
server itself (its load report, or a refusal that a router received from it).
Each source has a last-writer-wins register, in which the larger version wins.
A server counts as leaving while either register says so. A stale host list
therefore can't overrule the server, nor a stale report the host list. ``now``
is monotonic seconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sycamorehaven.transport.messages.servers import ServerStateRow

LEAVING = "leaving"
"""State of a server that shuts down and takes no new requests."""
SERVING = "serving"
"""State of a server that takes requests."""
HOST_LIST_SOURCE = "list"
"""Source of a state that comes from the platform's host list."""
SERVER_SOURCE = "server"
"""Source of a state that comes from the server's own report or refusal."""
REPORT_LAG_SECONDS = 5.0
"""Longest delay of a load report behind a refusal by the same server."""
LEAVING_REFRESH_SECONDS = 60.0
"""Age at which the state of a server still listed as leaving is renewed."""
LISTED_LIVE_SETTLE_SECONDS = 300.0
"""Time listed as live that ends the leaving state which other routers set."""
SERVING_REPEAT_SECONDS = 60.0
"""Time for which the return of a server is repeated to other routers."""


class StateRegister(NamedTuple):
    """
    Newest state of a server from one source.

    :ivar state: ``LEAVING`` or ``SERVING``.
    :ivar version: version of the state; the larger one is newer.
    :ivar learned_at: when this router learned the state, monotonic seconds.
    """

    state: str
    version: int
    learned_at: float


class HostListObservation(NamedTuple):
    """
    State of a server in the host list as this router has observed it.

    :ivar is_leaving: whether the server is listed as leaving.
    :ivar since: when this router first saw this state, monotonic seconds.
    :ivar has_changed: whether this router saw the other state before.
    """

    is_leaving: bool
    since: float
    has_changed: bool


def is_newer_state(received: ServerStateRow, known: StateRegister | None) -> bool:
    """
    Return whether a received state replaces the known one.

    Of two states with equal versions, ``LEAVING`` wins.
    """
    if known is None:
        return True
    return (received.version, received.state == LEAVING) > (
        known.version,
        known.state == LEAVING,
    )


def create_version(known: StateRegister | None, epoch_ms: int) -> int:
    """
    Return a version for a newly found state.

    :param epoch_ms: wall-clock time, milliseconds since the epoch. The version
        is larger than the known one even if this router's clock is slow.
    """
    return max(epoch_ms, known.version + 1 if known else 0)


def update_observation(
    known: HostListObservation | None, *, leaving: bool, now: float
) -> HostListObservation:
    """Return the observation after another read of the host list."""
    if known is None:
        return HostListObservation(leaving, now, False)
    if known.is_leaving == leaving:
        return known
    return HostListObservation(leaving, now, True)


def decide_state_from_listing(
    observation: HostListObservation, known: StateRegister | None, now: float
) -> str | None:
    """
    Return the state to publish after a read of the host list, if any.

    A stale replica of the list shows a leaving server as live. This router
    therefore ends a leaving state only if it has seen the change back itself,
    or if no router has renewed the state for ``LISTED_LIVE_SETTLE_SECONDS``.
    """
    is_known_leaving = known is not None and known.state == LEAVING
    learned_at = known.learned_at if known else now
    if observation.is_leaving:
        is_due = not is_known_leaving or now - learned_at > LEAVING_REFRESH_SECONDS
        return LEAVING if is_due else None
    if not is_known_leaving:
        return None
    returned = observation.has_changed and observation.since >= learned_at
    is_settled = now - max(observation.since, learned_at) > LISTED_LIVE_SETTLE_SECONDS
    return SERVING if returned or is_settled else None


def decide_state_from_report(
    *, leaving: bool, known: StateRegister | None, now: float
) -> str | None:
    """Return the state to publish after a load report, if any."""
    is_known_leaving = known is not None and known.state == LEAVING
    if leaving:
        return None if is_known_leaving else LEAVING
    if (
        known is None
        or not is_known_leaving
        or now - known.learned_at <= REPORT_LAG_SECONDS
    ):
        return None
    return SERVING


def should_repeat(register: StateRegister, now: float) -> bool:
    """Return whether to send a state again in case a message was lost."""
    return (
        register.state == LEAVING or now - register.learned_at < SERVING_REPEAT_SECONDS
    )
