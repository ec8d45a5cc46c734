"""
Anti-entropy of the membership view.

Two members compare digests of their views and then exchange the records that
differ, which repairs what lost updates have left out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.decisions.reconciliation import (
    BUCKET_COUNT,
    batch_bucket_records,
    compute_digests,
    find_differing_buckets,
    select_newer_records,
)
from sycamorehaven.transport.messages.membership import ViewDigest, ViewRecords

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.decisions.membership import Membership
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.messages.membership import MemberRecord
    from sycamorehaven.transport.peer_link import PeerLink


class ViewExchange:
    """
    Compares this router's view with that of a peer and merges the records.

    :param membership: the view of this router.
    :param link: messages to and from other routers.
    :param merge_records: merges records of a peer into the view.
    """

    def __init__(
        self,
        membership: Membership,
        link: PeerLink,
        merge_records: Callable[[list[MemberRecord]], None],
    ) -> None:
        self._membership = membership
        self._link = link
        self._merge_records = merge_records
        self._last_requested_sequence = 0
        self._last_completed_sequence = 0
        link.subscribe(ViewDigest, self._handle_digest)
        link.subscribe(ViewRecords, self._handle_records)

    @property
    def last_requested_sequence(self) -> int:
        """Sequence number of the last comparison requested, 0 for none."""
        return self._last_requested_sequence

    @property
    def last_completed_sequence(self) -> int:
        """Sequence number of the newest comparison that was fully answered."""
        return self._last_completed_sequence

    def request_comparison(self, address: str) -> None:
        """Ask the peer at an address to compare its view with this one."""
        self._last_requested_sequence += 1
        self._link.send_to(
            address, ViewDigest(self._last_requested_sequence, self._compute_digests())
        )

    def _compute_digests(self) -> list[int]:
        return compute_digests(
            [self._membership.own_record, *self._membership.members.values()]
        )

    def _list_records(self) -> list[MemberRecord]:
        view = self._membership
        return [view.own_record, *view.members.values(), *view.dead_members.values()]

    def _handle_digest(self, delivery: Delivery) -> None:
        request: ViewDigest = delivery.message
        records = self._list_records()
        chunks = [
            (bucket, chunk)
            for bucket in find_differing_buckets(
                self._compute_digests(), request.digests
            )
            for chunk in batch_bucket_records(records, bucket)
        ] or [(-1, [])]
        for number, (bucket, chunk) in enumerate(chunks, start=1):
            reply = ViewRecords(
                request.sequence, bucket, len(chunks) - number, False, chunk
            )
            self._link.send_to(delivery.address, reply)

    def _handle_records(self, delivery: Delivery) -> None:
        message: ViewRecords = delivery.message
        if not message.final and 0 <= message.bucket < BUCKET_COUNT:
            self._send_newer_records(delivery.address, message)
        self._merge_records(message.records)
        if not message.final and message.remaining == 0:
            completed = min(message.sequence, self._last_requested_sequence)
            self._last_completed_sequence = max(
                self._last_completed_sequence, completed
            )

    def _send_newer_records(self, address: str, message: ViewRecords) -> None:
        newer_records = select_newer_records(
            self._list_records(), message.bucket, message.records
        )
        if newer_records:
            reply = ViewRecords(
                message.sequence, message.bucket, 0, True, newer_records
            )
            self._link.send_to(address, reply)
