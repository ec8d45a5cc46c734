"""
Whether a backend server is leaving, from evidence that lags.

Two sources speak of a server: the platform's host list and the server itself
(its load report, or a refusal that an edge met). Each is a register that the
larger version wins, and a server is leaving while either register says so. So
a host list that lags can't overrule the server, nor a report that lags the
host list. ``now`` is monotonic seconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sycamorehaven.transport.messages.servers import ServerNews

LEAVING = "leaving"
SERVING = "serving"
HOST_LIST_SOURCE = "list"
"""Source: the platform's host list."""
SERVER_SOURCE = "server"
"""Source: the server's own report or refusal."""
REPORT_LAG_SECONDS = 5.0
"""Seconds by which a load report may lag behind a refusal."""
LEAVING_REFRESH_SECONDS = 60.0
"""Seconds after which a host that is still listed as leaving is told anew."""
LISTED_LIVE_SETTLE_SECONDS = 300.0
"""Seconds of being listed as live that end a leaving told by others."""
SERVING_REPEAT_SECONDS = 60.0
"""Seconds in which news of serving again is repeated to peers."""


class StateRegister(NamedTuple):
    """
    What one source last said of a server.

    :ivar state: ``LEAVING`` or ``SERVING``.
    :ivar version: larger is newer.
    :ivar learned_at: when this router learned it, monotonic seconds.
    """

    state: str
    version: int
    learned_at: float


class HostListObservation(NamedTuple):
    """
    How this router has seen a server in the host list.

    :ivar leaving: whether it is listed as leaving.
    :ivar since: when this router first saw it so, monotonic seconds.
    :ivar has_changed: whether this router saw it otherwise before.
    """

    is_leaving: bool
    since: float
    has_changed: bool


def is_newer_state(notice: ServerNews, known: StateRegister | None) -> bool:
    """Return whether a row is newer; of equal versions, leaving wins."""
    if known is None:
        return True
    return (notice.version, notice.state == LEAVING) > (
        known.version,
        known.state == LEAVING,
    )


def create_version(known: StateRegister | None, epoch_ms: int) -> int:
    """
    Return a version for what has just been found.

    :param milliseconds: wall-clock time since the epoch; a clock that is
        behind does not make the finding look old.
    """
    return max(epoch_ms, known.version + 1 if known else 0)


def update_observation(
    known: HostListObservation | None, *, leaving: bool, now: float
) -> HostListObservation:
    """Return the view after another reading of the host list."""
    if known is None:
        return HostListObservation(leaving, now, False)
    if known.is_leaving == leaving:
        return known
    return HostListObservation(leaving, now, True)


def decide_state_from_listing(
    observation: HostListObservation, known: StateRegister | None, now: float
) -> str | None:
    """
    Return the state to tell because of the host list, ``None`` for nothing.

    A replica of the list that lags shows a leaving host as live. So a router
    ends a leaving only if it saw the change back itself, or after a time in
    which nobody has told the leaving anew.
    """
    is_known_leaving = known is not None and known.state == LEAVING
    learned_at = known.learned_at if known else now
    if observation.is_leaving:
        due = not is_known_leaving or now - learned_at > LEAVING_REFRESH_SECONDS
        return LEAVING if due else None
    if not is_known_leaving:
        return None
    returned = observation.has_changed and observation.since >= learned_at
    is_settled = now - max(observation.since, learned_at) > LISTED_LIVE_SETTLE_SECONDS
    return SERVING if returned or is_settled else None


def decide_state_from_report(
    *, leaving: bool, known: StateRegister | None, now: float
) -> str | None:
    """Return the state to tell because of a load report, ``None`` for none."""
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
    """Return whether a register is told again in case a message was lost."""
    return (
        register.state == LEAVING or now - register.learned_at < SERVING_REPEAT_SECONDS
    )
