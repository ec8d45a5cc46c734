"""Compares the view with that of a random member and repairs differences."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.decisions.reconciliation import (
    BUCKETS,
    digest_view,
    find_differing,
    select_bucket,
    select_newer,
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
    Anti-entropy between two members.

    :param membership: the view.
    :param link: connection to other routers.
    :param learn: takes over records of a peer.
    """

    def __init__(
        self,
        membership: Membership,
        link: PeerLink,
        learn: Callable[[list[MemberRecord]], None],
    ) -> None:
        self._membership = membership
        self._link = link
        self._learn = learn
        self._sequence = 0
        self._completed = 0
        link.subscribe(ViewDigest, self._take_digest)
        link.subscribe(ViewRecords, self._take_records)

    @property
    def sequence(self) -> int:
        """Number of the last request."""
        return self._sequence

    @property
    def completed(self) -> int:
        """Number of the newest request whose answer has come to its end."""
        return self._completed

    def request(self, address: str) -> None:
        """Ask a peer to compare views."""
        self._sequence += 1
        self._link.send_to(address, ViewDigest(self._sequence, self._digest()))

    def _digest(self) -> list[int]:
        return digest_view([self._membership.own, *self._membership.members.values()])

    def _list_records(self) -> list[MemberRecord]:
        view = self._membership
        return [view.own, *view.members.values(), *view.dead.values()]

    def _take_digest(self, delivery: Delivery) -> None:
        request: ViewDigest = delivery.message
        records = self._list_records()
        parts = [
            (bucket, part)
            for bucket in find_differing(self._digest(), request.digests)
            for part in select_bucket(records, bucket)
        ] or [(-1, [])]
        for number, (bucket, part) in enumerate(parts, start=1):
            answer = ViewRecords(
                request.sequence, bucket, len(parts) - number, False, part
            )
            self._link.send_to(delivery.address, answer)

    def _take_records(self, delivery: Delivery) -> None:
        message: ViewRecords = delivery.message
        if not message.final and 0 <= message.bucket < BUCKETS:
            self._return_newer(delivery.address, message)
        self._learn(message.records)
        if not message.final and message.remaining == 0:
            reached = min(message.sequence, self._sequence)
            self._completed = max(self._completed, reached)

    def _return_newer(self, address: str, message: ViewRecords) -> None:
        newer = select_newer(self._list_records(), message.bucket, message.records)
        if newer:
            answer = ViewRecords(message.sequence, message.bucket, 0, True, newer)
            self._link.send_to(address, answer)
