"""
Comparison of two views by digests of their parts.

Hosts fall into buckets by hash. Peers exchange a digest a bucket and then
only the records of buckets that differ.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from sycamorehaven.decisions.member_records import is_newer

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from sycamorehaven.transport.messages.membership import MemberRecord

BUCKET_COUNT = 32
MAX_RECORDS_PER_MESSAGE = 32
"""Records in one message."""


def compute_bucket(host: str) -> int:
    """Return the bucket of a host."""
    return xxhash.xxh3_64_intdigest(host.encode()) % BUCKET_COUNT


def compute_digests(records: Iterable[MemberRecord]) -> list[int]:
    """Return a 32-bit digest a bucket; the order of records is no matter."""
    digests = [0] * BUCKET_COUNT
    for record in records:
        text = "\0".join(map(str, record)).encode()
        digests[compute_bucket(record.host)] ^= xxhash.xxh3_64_intdigest(text) >> 32
    return digests


def find_differing_buckets(
    own_digests: list[int], peer_digests: list[int]
) -> list[int]:
    """Return the buckets that differ; all of them for a strange list."""
    if len(peer_digests) != BUCKET_COUNT:
        return list(range(BUCKET_COUNT))
    return [
        number
        for number in range(BUCKET_COUNT)
        if own_digests[number] != peer_digests[number]
    ]


def batch_bucket_records(
    records: Iterable[MemberRecord], bucket: int
) -> list[list[MemberRecord]]:
    """Return the records of a bucket, cut into messages; at least one."""
    found = [record for record in records if compute_bucket(record.host) == bucket]
    return [
        found[start : start + MAX_RECORDS_PER_MESSAGE]
        for start in range(0, len(found) or 1, MAX_RECORDS_PER_MESSAGE)
    ]


def select_newer_records(
    records: Iterable[MemberRecord], bucket: int, peer_records: Iterable[MemberRecord]
) -> list[MemberRecord]:
    """Return what a peer lacks in a bucket, as much as fits one message."""
    known: Mapping[str, MemberRecord] = {record.host: record for record in peer_records}
    newer = [
        record
        for record in records
        if compute_bucket(record.host) == bucket
        and is_newer(record, known.get(record.host))
    ]
    return newer[:MAX_RECORDS_PER_MESSAGE]
