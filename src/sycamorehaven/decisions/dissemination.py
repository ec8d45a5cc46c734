"""News of members, piggybacked on probes within a byte budget."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sycamorehaven.decisions.records import measure_record

if TYPE_CHECKING:
    from sycamorehaven.transport.messages.membership import MemberRecord

RETRANSMISSIONS = 3
"""Sends of a record per natural logarithm of the count of members."""
NEWS_BUDGET = 900
"""Bytes of news in one message."""


class NewsQueue:
    """Records that are still to be spread; the least sent goes first."""

    def __init__(self) -> None:
        self._records: dict[str, MemberRecord] = {}
        self._sends: dict[str, int] = {}
        self._order: dict[str, int] = {}
        self._added = 0

    def __len__(self) -> int:
        return len(self._records)

    def push(self, record: MemberRecord) -> None:
        """Spread a record; it replaces older news of its host."""
        self._added += 1
        self._records[record.host] = record
        self._sends[record.host] = 0
        self._order[record.host] = self._added

    def drop(self, host: str) -> None:
        """Spread no more news of a host."""
        if self._records.pop(host, None) is not None:
            del self._sends[host], self._order[host]

    def pick(self, members: int, budget: int = NEWS_BUDGET) -> list[MemberRecord]:
        """
        Return the records for one message and count them as sent.

        :param members: how many members there are.
        :param budget: encoded bytes that they may take.
        """
        limit = limit_sends(members)
        picked = []
        for host in sorted(self._records, key=self._rank):
            size = measure_record(self._records[host])
            if size > budget:
                break
            budget -= size
            picked.append(self._records[host])
            self._sends[host] += 1
            if self._sends[host] >= limit:
                self.drop(host)
        return picked

    def _rank(self, host: str) -> tuple[int, int]:
        return self._sends[host], -self._order[host]


def limit_sends(members: int) -> int:
    """Return how often one member sends one piece of news."""
    return max(1, math.ceil(RETRANSMISSIONS * math.log(members + 1)))
