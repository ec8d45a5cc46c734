"""Live routers as this router sees them; written by the membership."""

from __future__ import annotations

from typing import NamedTuple

from sycamorehaven.blackboard.signal import Signal


class Member(NamedTuple):
    """
    A router of the fleet.

    :ivar host: its host.
    :ivar incarnation: incarnation of its process.
    :ivar address: ``ip:port`` for peer messages.
    :ivar failure_domain: where it stands.
    :ivar state: ``"alive"``, ``"suspect"`` or ``"leaving"``; the dead are
        not kept here.
    """

    host: str
    incarnation: int
    address: str
    failure_domain: str
    state: str


class MembersSection:
    """
    Members by host, this router included.

    :param own: this router.
    """

    def __init__(self, own: Member) -> None:
        self._own = own
        self._members = {own.host: own}
        self._changed = Signal()

    @property
    def own(self) -> Member:
        """This router."""
        return self._own

    @property
    def changed(self) -> Signal:
        """Raised when a member joins, changes or goes."""
        return self._changed

    def find(self, host: str) -> Member | None:
        """Return the member on a host, or ``None``."""
        return self._members.get(host)

    def list(self) -> list[Member]:
        """Return every member, by host."""
        return [self._members[host] for host in sorted(self._members)]

    def map_failure_domains(self) -> dict[str, str]:
        """Return the failure domain of each host that may hold a role."""
        return {
            member.host: member.failure_domain
            for member in self.list()
            if member.state != "leaving"
        }

    def replace(self, members: dict[str, Member]) -> None:
        """Take over a new view; this router is always part of it."""
        view = {**members, self._own.host: members.get(self._own.host, self._own)}
        if view == self._members:
            return
        self._own = view[self._own.host]
        self._members = view
        self._changed.notify()
