"""
The view of the fleet that one router keeps (SWIM).

A member that does not answer probes becomes suspect; it stays in the view
and keeps its roles until the suspicion times out. A member that hears of a
suspicion of itself refutes it. A dead member is remembered, so that old news
does not bring it back and so that it is looked for after a network partition.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sycamorehaven.decisions.dissemination import NewsQueue
from sycamorehaven.decisions.records import (
    LARGEST_REFUTATION,
    is_newer,
    is_valid,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sycamorehaven.transport.messages.membership import MemberRecord

SUSPICION_TIMEOUT = 2.0
"""Seconds of suspicion per decimal logarithm of the count of members."""
TOMBSTONE_LIFETIME = 86_400.0
"""Seconds for which a dead member is remembered."""
MOST_TOMBSTONES = 1_024
"""Dead members remembered; the oldest go first."""
MOST_MEMBERS = 4_096
"""Members in the view; further ones are ignored."""
MOST_NEWS = 256
"""Records that are read of one message."""


class Membership:
    """
    Records by host, suspicions and tombstones.

    :param own: record of this router.
    """

    def __init__(self, own: MemberRecord) -> None:
        self._own = own
        self._members: dict[str, MemberRecord] = {}
        self._suspected_at: dict[str, float] = {}
        self._dead: dict[str, MemberRecord] = {}
        self._died_at: dict[str, float] = {}
        self._accused: dict[str, MemberRecord] = {}
        self._rival: MemberRecord | None = None
        self._news = NewsQueue()
        self._news.push(own)
        self._version = 0

    @property
    def own(self) -> MemberRecord:
        """Record of this router."""
        return self._own

    @property
    def members(self) -> dict[str, MemberRecord]:
        """Other routers that are not dead, by host."""
        return self._members

    @property
    def dead(self) -> dict[str, MemberRecord]:
        """Dead members that are remembered, by host."""
        return self._dead

    @property
    def accused(self) -> dict[str, MemberRecord]:
        """Claims that a live member is dead, to be checked by a probe."""
        return self._accused

    @property
    def rival(self) -> MemberRecord | None:
        """A newer process with this router's host name, if one was seen."""
        return self._rival

    @property
    def news(self) -> NewsQueue:
        """What is still to be spread."""
        return self._news

    @property
    def version(self) -> int:
        """Rises with every change of the view."""
        return self._version

    def count(self) -> int:
        """Return the count of members, this router included."""
        return len(self._members) + 1

    def find(self, host: str) -> MemberRecord | None:
        """Return what is known of a host, dead or not."""
        if host == self._own.host:
            return self._own
        return self._members.get(host) or self._dead.get(host)

    def take_news(self, records: Iterable[MemberRecord], now: float) -> bool:
        """Take over records of a peer; return whether any was urgent."""
        urgent = False
        for record, _ in zip(records, range(MOST_NEWS), strict=False):
            urgent |= self.take(record, now)
        return urgent

    def take(self, record: MemberRecord, now: float) -> bool:
        """
        Take over one record of a peer if it is newer.

        :returns: whether it should be passed on at once: a member leaves,
            or this router has refuted a claim.
        """
        if not is_valid(record):
            return False
        if record.host == self._own.host:
            return self._answer_claim(record)
        known = self.find(record.host)
        if not is_newer(record, known):
            return False
        if known is None and record.state == "dead":
            return False
        if self._is_hearsay(record, known):
            self._accused[record.host] = record
            return False
        if record.host not in self._members and len(self._members) >= MOST_MEMBERS:
            return False
        self._put(record, now)
        return record.state == "leaving"

    def suspect(self, host: str, incarnation: int, now: float) -> None:
        """Note that a member did not answer a probe."""
        record = self._members.get(host)
        if record is None or record.incarnation != incarnation:
            return
        if record.state == "leaving":
            self._suspected_at.setdefault(host, now)
        elif record.state == "alive":
            claim = self._accused.get(host, record)
            refutation = max(record.refutation, claim.refutation)
            self._put(record._replace(state="suspect", refutation=refutation), now)

    def confirm(self, host: str) -> None:
        """Note that a member answered; only it can lift a suspicion."""
        record = self._members.get(host)
        if record is not None and record.state == "leaving":
            self._suspected_at.pop(host, None)
        self._accused.pop(host, None)

    def expire(self, now: float) -> None:
        """Time out suspicions into deaths, and forget old tombstones."""
        limit = limit_suspicion(self.count())
        for host, since in list(self._suspected_at.items()):
            if now - since >= limit:
                self._put(self._members[host]._replace(state="dead"), now)
        for host, since in list(self._died_at.items()):
            if now - since < TOMBSTONE_LIFETIME and len(self._dead) <= MOST_TOMBSTONES:
                break
            del self._dead[host], self._died_at[host]

    def leave(self) -> None:
        """Announce that this router shuts down."""
        self._announce("leaving", self._own.refutation + 1)

    def resume(self, gap: float) -> None:
        """
        Continue after a pause of this process.

        Others may have taken it for dead, and its own suspicions have not
        been checked for ``gap`` seconds.
        """
        for host in self._suspected_at:
            self._suspected_at[host] += gap
        self._announce(self._own.state, self._own.refutation + 1)

    def describe(self, host: str, incarnation: int) -> list[MemberRecord]:
        """
        Return what a router must hear first: claims about its host.

        :param incarnation: the router's, to tell it of a newer process.
        """
        known = self._accused.get(host) or self.find(host)
        if known is None or host == self._own.host:
            return [self._own]
        if known.state == "alive" and known.incarnation == incarnation:
            return [self._own]
        return [self._own, known]

    def _answer_claim(self, record: MemberRecord) -> bool:
        own = self._own
        if record.incarnation > own.incarnation and record.state != "dead":
            self._rival = record
        if record.incarnation != own.incarnation or not is_newer(record, own):
            return False
        if record.refutation >= LARGEST_REFUTATION:
            return False
        self._announce(own.state, record.refutation + 1)
        return True

    def _announce(self, state: str, refutation: int) -> None:
        self._own = self._own._replace(state=state, refutation=refutation)
        self._news.push(self._own)
        self._version += 1

    def _is_hearsay(self, record: MemberRecord, known: MemberRecord | None) -> bool:
        return (
            record.state == "dead"
            and known is not None
            and known.state == "alive"
            and known.incarnation == record.incarnation
        )

    def _put(self, record: MemberRecord, now: float) -> None:
        host = record.host
        self._accused.pop(host, None)
        if record.state == "dead":
            self._bury(record, now)
        else:
            self._dead.pop(host, None)
            self._died_at.pop(host, None)
            self._members[host] = record
        if record.state == "suspect":
            self._suspected_at[host] = now
        else:
            self._suspected_at.pop(host, None)
        self._news.push(record)
        self._version += 1

    def _bury(self, record: MemberRecord, now: float) -> None:
        self._members.pop(record.host, None)
        self._died_at.pop(record.host, None)
        self._dead[record.host] = record
        self._died_at[record.host] = now


def limit_suspicion(members: int) -> float:
    """Return the seconds after which a suspect counts as dead."""
    return SUSPICION_TIMEOUT * max(1.0, math.log10(members))
