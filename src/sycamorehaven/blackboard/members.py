"""This router's view of the fleet, written by the membership controller."""

from __future__ import annotations

from typing import NamedTuple

from sycamorehaven.blackboard.signal import Signal


class Member(NamedTuple):
    """
    A router of the fleet.

    :ivar host: host that the router runs on.
    :ivar incarnation: incarnation of the router's process.
    :ivar address: address for peer messages, ``ip:port``.
    :ivar failure_domain: failure domain of the host.
    :ivar state: ``"alive"``, ``"suspect"`` or ``"leaving"``. Dead routers are
        removed from the view.
    """

    host: str
    incarnation: int
    address: str
    failure_domain: str
    state: str


class MembersSection:
    """
    The members by host, which include this router.

    :param own: record of this router.
    """

    def __init__(self, own: Member) -> None:
        self._own = own
        self._members = {own.host: own}
        self._sorted = [own]
        self._changed = Signal()

    @property
    def own(self) -> Member:
        """Record of this router."""
        return self._own

    @property
    def changed(self) -> Signal:
        """Notified when a member joins, changes or is removed."""
        return self._changed

    def find(self, host: str) -> Member | None:
        """Return the member on a host, or ``None``."""
        return self._members.get(host)

    def list(self) -> list[Member]:
        """Return all members, sorted by host."""
        return list(self._sorted)

    def count(self) -> int:
        """Return the number of members."""
        return len(self._sorted)

    def map_failure_domains(self) -> dict[str, str]:
        """Return the failure domain of each host that may be given a role."""
        return {
            member.host: member.failure_domain
            for member in self.list()
            if member.state != "leaving"
        }

    def replace(self, members: dict[str, Member]) -> None:
        """Replace the view; this router is always kept in it."""
        view = {**members, self._own.host: members.get(self._own.host, self._own)}
        if view == self._members:
            return
        self._own = view[self._own.host]
        self._members = view
        self._sorted = [view[host] for host in sorted(view)]
        self._changed.notify()
