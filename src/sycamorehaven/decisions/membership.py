"""
Membership view of one router, kept by the SWIM protocol.

A member that does not answer probes becomes suspect. It stays in the view and
keeps its roles until the suspicion times out. A member that learns that it is
suspected refutes the suspicion. Dead members are kept as tombstones, so that
outdated records do not bring them back and so that they are probed again after
a network partition.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sycamorehaven.decisions.dissemination import GossipQueue
from sycamorehaven.decisions.member_records import (
    MAX_INCARNATION,
    MAX_REFUTATION,
    is_newer,
    is_valid,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sycamorehaven.transport.messages.membership import MemberRecord

SUSPICION_BASE_SECONDS = 2.0
"""Suspicion timeout per decimal logarithm of the member count."""
TOMBSTONE_LIFETIME_SECONDS = 86_400.0
"""Time for which a dead member is remembered."""
MAX_TOMBSTONES = 1_024
"""Limit on dead members that are remembered; the oldest are removed first."""
MAX_MEMBERS = 4_096
"""Limit on members in the view; records of further hosts are ignored."""
MAX_GOSSIP_RECORDS = 256
"""Records processed per received message; the rest are ignored."""


class Membership:
    """
    Records of the fleet's members by host, with suspicions and tombstones.

    :param own_record: record of this router.
    :param renews_incarnation: whether this router may announce a larger
        incarnation than that of its process.
    """

    def __init__(
        self, own_record: MemberRecord, *, renews_incarnation: bool = False
    ) -> None:
        self._own_record = own_record
        self._renews_incarnation = renews_incarnation
        self._members: dict[str, MemberRecord] = {}
        self._suspected_at: dict[str, float] = {}
        self._dead: dict[str, MemberRecord] = {}
        self._died_at: dict[str, float] = {}
        self._death_claims: dict[str, MemberRecord] = {}
        self._host_conflict: MemberRecord | None = None
        self._gossip_queue = GossipQueue()
        self._gossip_queue.enqueue(own_record)
        self._version = 0

    @property
    def own_record(self) -> MemberRecord:
        """Record of this router."""
        return self._own_record

    @property
    def members(self) -> dict[str, MemberRecord]:
        """Records of the other routers that are not dead, by host."""
        return self._members

    @property
    def dead_members(self) -> dict[str, MemberRecord]:
        """Records of the dead members that are remembered, by host."""
        return self._dead

    @property
    def death_claims(self) -> dict[str, MemberRecord]:
        """Unconfirmed claims that a live member is dead, by host."""
        return self._death_claims

    @property
    def host_conflict(self) -> MemberRecord | None:
        """Record of a newer process on this router's host, if there is one."""
        return self._host_conflict

    @property
    def gossip_queue(self) -> GossipQueue:
        """Records to send to other members."""
        return self._gossip_queue

    @property
    def version(self) -> int:
        """Number that rises with every change of the view."""
        return self._version

    def count_members(self) -> int:
        """Return the number of members, including this router."""
        return len(self._members) + 1

    def find_record(self, host: str) -> MemberRecord | None:
        """Return the record of a host, which may be dead."""
        if host == self._own_record.host:
            return self._own_record
        return self._members.get(host) or self._dead.get(host)

    def merge_records(self, records: Iterable[MemberRecord], now: float) -> bool:
        """Merge the records of a peer; return whether any is urgent."""
        is_urgent = False
        for record, _ in zip(records, range(MAX_GOSSIP_RECORDS), strict=False):
            is_urgent |= self.merge_record(record, now)
        return is_urgent

    def merge_record(self, record: MemberRecord, now: float) -> bool:
        """
        Merge one record of a peer if it is newer than the known one.

        :returns: whether the change is urgent and should be sent on at once: a
            member is leaving, or this router has refuted a claim.
        """
        if not is_valid(record):
            return False
        if record.host == self._own_record.host:
            return self._handle_own_record(record)
        known = self.find_record(record.host)
        if not is_newer(record, known):
            return False
        if known is None and record.state == "dead":
            return False
        if self._is_unconfirmed_death(record, known):
            self._death_claims[record.host] = record
            return False
        if record.host not in self._members and len(self._members) >= MAX_MEMBERS:
            return False
        self._store_record(record, now)
        return record.state == "leaving"

    def mark_suspect(self, host: str, incarnation: int, now: float) -> None:
        """Mark a member that did not answer a probe as suspect."""
        record = self._members.get(host)
        if record is None or record.incarnation != incarnation:
            return
        if record.state == "leaving":
            self._suspected_at.setdefault(host, now)
        elif record.state == "alive":
            claim = self._death_claims.get(host, record)
            refutation = max(record.refutation, claim.refutation)
            self._store_record(
                record._replace(state="suspect", refutation=refutation), now
            )

    def mark_responsive(self, host: str) -> None:
        """
        Drop a death claim about a member that has answered a probe.

        The answer also ends the suspicion of a leaving member. Any other
        suspicion is lifted only by a newer record of the member itself.
        """
        record = self._members.get(host)
        if record is not None and record.state == "leaving":
            self._suspected_at.pop(host, None)
        self._death_claims.pop(host, None)

    def expire(self, now: float) -> None:
        """Turn timed-out suspicions into deaths and drop old tombstones."""
        timeout_seconds = compute_suspicion_timeout(self.count_members())
        for host, since in list(self._suspected_at.items()):
            if now - since >= timeout_seconds:
                self._store_record(self._members[host]._replace(state="dead"), now)
        for host, since in list(self._died_at.items()):
            if (
                now - since < TOMBSTONE_LIFETIME_SECONDS
                and len(self._dead) <= MAX_TOMBSTONES
            ):
                break
            del self._dead[host], self._died_at[host]

    def announce_leaving(self) -> None:
        """Announce that this router is shutting down."""
        self._announce_state("leaving", self._own_record.refutation + 1)

    def resume_after_pause(self, pause_seconds: float) -> None:
        """
        Extend suspicions and announce this router after its process paused.

        Other members may have declared this router dead, and its own
        suspicions were not checked during the pause.

        :param pause_seconds: length of the pause.
        """
        for host in self._suspected_at:
            self._suspected_at[host] += pause_seconds
        self._announce_state(self._own_record.state, self._own_record.refutation + 1)

    def list_records_about(self, host: str, incarnation: int) -> list[MemberRecord]:
        """
        Return the records that a peer must receive first.

        These are this router's own record and any claim about the peer, such
        as a suspicion, which the peer can then refute.

        :param host: host of the peer.
        :param incarnation: incarnation of the peer, which is informed if a
            newer process runs on its host.
        """
        known = self._death_claims.get(host) or self.find_record(host)
        if known is None or host == self._own_record.host:
            return [self._own_record]
        if known.state == "alive" and known.incarnation == incarnation:
            return [self._own_record]
        return [self._own_record, known]

    def _handle_own_record(self, record: MemberRecord) -> bool:
        own_record = self._own_record
        if self._is_predecessor(record):
            incarnation = record.incarnation + 1
            self._own_record = own_record._replace(incarnation=incarnation)
            self._announce_state(own_record.state, own_record.refutation)
            return True
        if record.incarnation > own_record.incarnation and record.state != "dead":
            self._host_conflict = record
        if record.incarnation != own_record.incarnation or not is_newer(
            record, own_record
        ):
            return False
        if record.refutation >= MAX_REFUTATION:
            return False
        self._announce_state(own_record.state, record.refutation + 1)
        return True

    def _is_predecessor(self, record: MemberRecord) -> bool:
        """
        Return whether a later incarnation is that of a former process.

        The time of day gives the incarnation, so that of a former process is
        the larger one if the clock was set back before the restart. Only one
        process can listen on an address, so a record with the address of this
        router is not another router's.
        """
        own_record = self._own_record
        return (
            self._renews_incarnation
            and own_record.incarnation < record.incarnation < MAX_INCARNATION
            and record.address == own_record.address
        )

    def _announce_state(self, state: str, refutation: int) -> None:
        self._own_record = self._own_record._replace(state=state, refutation=refutation)
        self._gossip_queue.enqueue(self._own_record)
        self._version += 1

    def _is_unconfirmed_death(
        self, record: MemberRecord, known: MemberRecord | None
    ) -> bool:
        return (
            record.state == "dead"
            and known is not None
            and known.state == "alive"
            and known.incarnation == record.incarnation
        )

    def _store_record(self, record: MemberRecord, now: float) -> None:
        host = record.host
        self._death_claims.pop(host, None)
        if record.state == "dead":
            self._add_tombstone(record, now)
        else:
            self._dead.pop(host, None)
            self._died_at.pop(host, None)
            self._members[host] = record
        if record.state == "suspect":
            self._suspected_at[host] = now
        else:
            self._suspected_at.pop(host, None)
        self._gossip_queue.enqueue(record)
        self._version += 1

    def _add_tombstone(self, record: MemberRecord, now: float) -> None:
        self._members.pop(record.host, None)
        self._died_at.pop(record.host, None)
        self._dead[record.host] = record
        self._died_at[record.host] = now


def compute_suspicion_timeout(member_count: int) -> float:
    """Return the seconds after which a suspect member counts as dead."""
    return SUSPICION_BASE_SECONDS * max(1.0, math.log10(member_count))
