"""Messages that keep the view of live routers."""

from __future__ import annotations

from typing import NamedTuple


class MemberRecord(NamedTuple):
    """
    What one router says of another.

    :ivar host: the member's host.
    :ivar incarnation: incarnation of its process.
    :ivar refutation: rises when the member refutes a suspicion.
    :ivar address: its peer address.
    :ivar failure_domain: where it stands.
    :ivar state: ``"alive"``, ``"suspect"``, ``"leaving"`` or ``"dead"``.
    """

    host: str
    incarnation: int
    refutation: int
    address: str
    failure_domain: str
    state: str


class Probe(NamedTuple):
    """
    A heartbeat probe with piggybacked news.

    :ivar sequence: echoed by the acknowledgement; 0 carries news only.
    :ivar on_behalf_of: peer address that asked for it, or "".
    :ivar revision: the sender's configuration revision, 0 for none.
    :ivar digest: the sender's configuration digest.
    :ivar news: member records.
    """

    sequence: int
    on_behalf_of: str
    revision: int
    digest: str
    news: list[MemberRecord]


class ProbeAck(NamedTuple):
    """The answer to ``Probe``; same fields. A sequence of 0 answers none."""

    sequence: int
    on_behalf_of: str
    revision: int
    digest: str
    news: list[MemberRecord]


class ProbeRequest(NamedTuple):
    """
    A request to probe a third router.

    :ivar sequence: echoed to the requester when the target answers.
    :ivar target_host: host to probe.
    :ivar target_address: its peer address.
    """

    sequence: int
    target_host: str
    target_address: str


class ViewDigest(NamedTuple):
    """
    A request to compare views; answered with ``ViewRecords``.

    :ivar sequence: echoed by the answer.
    :ivar digests: a 32-bit digest a bucket of hosts.
    """

    sequence: int
    digests: list[int]


class ViewRecords(NamedTuple):
    """
    Records of a bucket of hosts whose digests differ.

    :ivar sequence: the request's.
    :ivar bucket: the bucket, -1 if the views are equal.
    :ivar remaining: messages that follow this one.
    :ivar final: whether the receiver is not to answer with newer records.
    :ivar records: the sender's records.
    """

    sequence: int
    bucket: int
    remaining: int
    final: bool
    records: list[MemberRecord]
