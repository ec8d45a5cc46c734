"""
Comparison of two views by digests of their parts.

Hosts fall into buckets by hash. Peers exchange a digest a bucket and then
only the records of buckets that differ.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from sycamorehaven.decisions.records import is_newer

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from sycamorehaven.transport.messages.membership import MemberRecord

BUCKETS = 32
MOST_IN_MESSAGE = 32
"""Records in one message."""


def find_bucket(host: str) -> int:
    """Return the bucket of a host."""
    return xxhash.xxh3_64_intdigest(host.encode()) % BUCKETS


def digest_view(records: Iterable[MemberRecord]) -> list[int]:
    """Return a 32-bit digest a bucket; the order of records is no matter."""
    digests = [0] * BUCKETS
    for record in records:
        text = "\0".join(map(str, record)).encode()
        digests[find_bucket(record.host)] ^= xxhash.xxh3_64_intdigest(text) >> 32
    return digests


def find_differing(own: list[int], other: list[int]) -> list[int]:
    """Return the buckets that differ; all of them for a strange list."""
    if len(other) != BUCKETS:
        return list(range(BUCKETS))
    return [number for number in range(BUCKETS) if own[number] != other[number]]


def select_bucket(
    records: Iterable[MemberRecord], bucket: int
) -> list[list[MemberRecord]]:
    """Return the records of a bucket, cut into messages; at least one."""
    found = [record for record in records if find_bucket(record.host) == bucket]
    return [
        found[start : start + MOST_IN_MESSAGE]
        for start in range(0, len(found) or 1, MOST_IN_MESSAGE)
    ]


def select_newer(
    records: Iterable[MemberRecord], bucket: int, theirs: Iterable[MemberRecord]
) -> list[MemberRecord]:
    """Return what a peer lacks in a bucket, as much as fits one message."""
    known: Mapping[str, MemberRecord] = {record.host: record for record in theirs}
    newer = [
        record
        for record in records
        if find_bucket(record.host) == bucket
        and is_newer(record, known.get(record.host))
    ]
    return newer[:MOST_IN_MESSAGE]
