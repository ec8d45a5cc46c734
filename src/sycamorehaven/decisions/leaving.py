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
LISTED = "list"
"""Source: the platform's host list."""
REPORTED = "server"
"""Source: the server's own report or refusal."""
REPORT_LAG = 5.0
"""Seconds by which a load report may lag behind a refusal."""
LIST_REFRESH = 60.0
"""Seconds after which a host that is still listed as leaving is told anew."""
LIST_SETTLED = 300.0
"""Seconds of being listed as live that end a leaving told by others."""
RECENT = 60.0
"""Seconds in which news of serving again is repeated to peers."""


class Register(NamedTuple):
    """
    What one source last said of a server.

    :ivar state: ``LEAVING`` or ``SERVING``.
    :ivar version: larger is newer.
    :ivar learned_at: when this router learned it, monotonic seconds.
    """

    state: str
    version: int
    learned_at: float


class ListedView(NamedTuple):
    """
    How this router has seen a server in the host list.

    :ivar leaving: whether it is listed as leaving.
    :ivar since: when this router first saw it so, monotonic seconds.
    :ivar has_changed: whether this router saw it otherwise before.
    """

    leaving: bool
    since: float
    has_changed: bool


def is_news(row: ServerNews, known: Register | None) -> bool:
    """Return whether a row is newer; of equal versions, leaving wins."""
    if known is None:
        return True
    return (row.version, row.state == LEAVING) > (
        known.version,
        known.state == LEAVING,
    )


def create_version(known: Register | None, milliseconds: int) -> int:
    """
    Return a version for what has just been found.

    :param milliseconds: wall-clock time since the epoch; a clock that is
        behind does not make the finding look old.
    """
    return max(milliseconds, known.version + 1 if known else 0)


def update_view(known: ListedView | None, *, leaving: bool, now: float) -> ListedView:
    """Return the view after another reading of the host list."""
    if known is None:
        return ListedView(leaving, now, False)
    if known.leaving == leaving:
        return known
    return ListedView(leaving, now, True)


def judge_listing(view: ListedView, known: Register | None, now: float) -> str | None:
    """
    Return the state to tell because of the host list, ``None`` for nothing.

    A replica of the list that lags shows a leaving host as live. So a router
    ends a leaving only if it saw the change back itself, or after a time in
    which nobody has told the leaving anew.
    """
    leaving = known is not None and known.state == LEAVING
    learned_at = known.learned_at if known else now
    if view.leaving:
        due = not leaving or now - learned_at > LIST_REFRESH
        return LEAVING if due else None
    if not leaving:
        return None
    came_back = view.has_changed and view.since >= learned_at
    settled = now - max(view.since, learned_at) > LIST_SETTLED
    return SERVING if came_back or settled else None


def judge_report(*, leaving: bool, known: Register | None, now: float) -> str | None:
    """Return the state to tell because of a load report, ``None`` for none."""
    is_known = known is not None and known.state == LEAVING
    if leaving:
        return None if is_known else LEAVING
    if known is None or not is_known or now - known.learned_at <= REPORT_LAG:
        return None
    return SERVING


def is_worth_repeating(register: Register, now: float) -> bool:
    """Return whether a register is told again in case a message was lost."""
    return register.state == LEAVING or now - register.learned_at < RECENT
