"""
Order and validity of membership records.

The records of one host form a total order by incarnation, then refutation,
then state. A view keeps the greatest record of each host, so duplicated and
reordered messages do no harm.
"""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sycamorehaven.transport.messages.membership import MemberRecord

STATE_PRECEDENCE = {"alive": 0, "suspect": 1, "leaving": 2, "dead": 3}
"""Precedence of states in records of equal incarnation and refutation."""
MAX_INCARNATION = 2**63 - 1
"""Largest incarnation that is accepted from other members."""
MAX_REFUTATION = 1_000_000_000
"""Largest refutation that is accepted from other members. A refutation of the
member's own may be one higher."""
MAX_TEXT_CHARACTERS = 64
"""Longest host, failure domain or address."""
FIXED_RECORD_BYTES = 17
"""Encoded size of a record without its four texts."""


def compute_precedence(record: MemberRecord) -> tuple[int, int, int]:
    """Return the key by which the records of one host are ordered."""
    return record.incarnation, record.refutation, STATE_PRECEDENCE[record.state]


def is_newer(record: MemberRecord, known: MemberRecord | None) -> bool:
    """Return whether a record takes precedence over the known one."""
    return known is None or compute_precedence(record) > compute_precedence(known)


def is_valid(record: MemberRecord) -> bool:
    """Return whether the fields of a received record are within bounds."""
    texts = (record.host, record.failure_domain, record.address)
    return (
        all(0 < len(text) <= MAX_TEXT_CHARACTERS for text in texts)
        and record.state in STATE_PRECEDENCE
        and 0 < record.incarnation <= MAX_INCARNATION
        and 0 <= record.refutation <= MAX_REFUTATION
        and is_address(record.address)
    )


def is_address(address: str) -> bool:
    """Return whether a text is ``ip:port`` or, in tests, ``name:port``."""
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= 5 and int(port) > 0):
        return False
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return host.isascii() and host.isalnum()
    return int(port) < 65_536


def compute_max_encoded_bytes(record: MemberRecord) -> int:
    """Return an upper bound on the encoded size of a record."""
    texts = record.host, record.address, record.failure_domain, record.state
    return FIXED_RECORD_BYTES + sum(2 + len(text.encode()) for text in texts)
