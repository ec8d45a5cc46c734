"""
Anti-entropy: comparison of the membership views of two routers.

Hosts are divided into buckets by a hash. Two routers exchange one digest per
bucket and then only the records in the buckets whose digests differ.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from sycamorehaven.decisions.member_records import is_newer

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from sycamorehaven.transport.messages.membership import MemberRecord

BUCKET_COUNT = 32
"""Number of buckets into which the hosts are divided."""
MAX_RECORDS_PER_MESSAGE = 32
"""Limit on the records in one message."""


def compute_bucket(host: str) -> int:
    """Return the bucket that a host belongs to."""
    return xxhash.xxh3_64_intdigest(host.encode()) % BUCKET_COUNT


def compute_digests(records: Iterable[MemberRecord]) -> list[int]:
    """
    Return a 32-bit digest for each bucket.

    The digests do not depend on the order of the records.
    """
    digests = [0] * BUCKET_COUNT
    for record in records:
        encoded = "\0".join(map(str, record)).encode()
        digests[compute_bucket(record.host)] ^= xxhash.xxh3_64_intdigest(encoded) >> 32
    return digests


def find_differing_buckets(
    own_digests: list[int], peer_digests: list[int]
) -> list[int]:
    """
    Return the buckets whose digests differ.

    These are all buckets if the peer sent another number of digests.
    """
    if len(peer_digests) != BUCKET_COUNT:
        return list(range(BUCKET_COUNT))
    return [
        bucket
        for bucket in range(BUCKET_COUNT)
        if own_digests[bucket] != peer_digests[bucket]
    ]


def batch_bucket_records(
    records: Iterable[MemberRecord], bucket: int
) -> list[list[MemberRecord]]:
    """
    Return the records of a bucket in batches that fit one message each.

    There is at least one batch, which may be empty.
    """
    bucket_records = [
        record for record in records if compute_bucket(record.host) == bucket
    ]
    return [
        bucket_records[start : start + MAX_RECORDS_PER_MESSAGE]
        for start in range(0, len(bucket_records) or 1, MAX_RECORDS_PER_MESSAGE)
    ]


def select_newer_records(
    records: Iterable[MemberRecord], bucket: int, peer_records: Iterable[MemberRecord]
) -> list[MemberRecord]:
    """
    Return the records of a bucket that the peer lacks or has only outdated.

    The result is limited to what fits one message.

    :param records: records of this router.
    :param bucket: bucket to compare.
    :param peer_records: records of that bucket that the peer has.
    """
    peer_records_by_host: Mapping[str, MemberRecord] = {
        record.host: record for record in peer_records
    }
    newer = [
        record
        for record in records
        if compute_bucket(record.host) == bucket
        and is_newer(record, peer_records_by_host.get(record.host))
    ]
    return newer[:MAX_RECORDS_PER_MESSAGE]
