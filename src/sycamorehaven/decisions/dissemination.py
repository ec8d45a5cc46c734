"""Queue of membership records that are piggybacked on probes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sycamorehaven.decisions.member_records import compute_max_encoded_bytes

if TYPE_CHECKING:
    from sycamorehaven.transport.messages.membership import MemberRecord

RETRANSMIT_FACTOR = 3
"""Sends of a record per natural logarithm of the member count."""
GOSSIP_BUDGET_BYTES = 900
"""Limit on the encoded records in one message."""


class GossipQueue:
    """Membership records to send to peers, the least often sent ones first."""

    def __init__(self) -> None:
        self._records: dict[str, MemberRecord] = {}
        self._send_counts: dict[str, int] = {}
        self._sequences: dict[str, int] = {}
        self._last_sequence = 0

    def __len__(self) -> int:
        return len(self._records)

    def enqueue(self, record: MemberRecord) -> None:
        """Add a record in place of any queued record of the same host."""
        self._last_sequence += 1
        self._records[record.host] = record
        self._send_counts[record.host] = 0
        self._sequences[record.host] = self._last_sequence

    def remove(self, host: str) -> None:
        """Remove the queued record of a host."""
        if self._records.pop(host, None) is not None:
            del self._send_counts[host], self._sequences[host]

    def select_records(
        self, member_count: int, budget_bytes: int = GOSSIP_BUDGET_BYTES
    ) -> list[MemberRecord]:
        """
        Return the records for one message and count them as sent.

        A record that has reached the send limit is removed from the queue.

        :param member_count: number of members of the fleet.
        :param budget_bytes: encoded size that the records may take.
        """
        limit = compute_send_limit(member_count)
        selected = []
        for host in sorted(self._records, key=self._compute_priority):
            size = compute_max_encoded_bytes(self._records[host])
            if size > budget_bytes:
                break
            budget_bytes -= size
            selected.append(self._records[host])
            self._send_counts[host] += 1
            if self._send_counts[host] >= limit:
                self.remove(host)
        return selected

    def _compute_priority(self, host: str) -> tuple[int, int]:
        return self._send_counts[host], -self._sequences[host]


def compute_send_limit(member_count: int) -> int:
    """Return how often this router sends one record."""
    return max(1, math.ceil(RETRANSMIT_FACTOR * math.log(member_count + 1)))
