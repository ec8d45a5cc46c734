"""Messages of the membership protocol, which detects failed routers."""

from __future__ import annotations

from typing import NamedTuple


class MemberRecord(NamedTuple):
    """
    The state of a member as one router knows it.

    :ivar host: host of the member.
    :ivar incarnation: incarnation of the member's process.
    :ivar refutation: rises when the member refutes a suspicion.
    :ivar address: peer address of the member.
    :ivar failure_domain: failure domain of the member.
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
    Probes whether the receiver is alive, and carries member records.

    :ivar sequence: echoed by the acknowledgement; 0 if the message only
        carries records.
    :ivar on_behalf_of: peer address of the router that asked for the probe
        with ``ProbeRequest``, or "".
    :ivar revision: revision of the sender's configuration, 0 for none.
    :ivar digest: digest of the sender's configuration.
    :ivar news: records of members that have recently changed.
    """

    sequence: int
    on_behalf_of: str
    revision: int
    digest: str
    news: list[MemberRecord]


class ProbeAck(NamedTuple):
    """
    Acknowledges a ``Probe``, with the same fields.

    With the sequence 0 it only carries records and acknowledges no probe.
    """

    sequence: int
    on_behalf_of: str
    revision: int
    digest: str
    news: list[MemberRecord]


class ProbeRequest(NamedTuple):
    """
    Asks the receiver to probe a third router on the sender's behalf.

    :ivar sequence: echoed to the sender when the target acknowledges.
    :ivar target_host: host of the router to probe.
    :ivar target_address: peer address of the router to probe.
    """

    sequence: int
    target_host: str
    target_address: str


class ViewDigest(NamedTuple):
    """
    Asks the receiver to compare its view of the members with the sender's.

    The reply consists of ``ViewRecords``.

    :ivar sequence: echoed by the reply.
    :ivar digests: a 32-bit digest of the records of each bucket of hosts.
    """

    sequence: int
    digests: list[int]


class ViewRecords(NamedTuple):
    """
    Carries the records of a bucket of hosts whose digests differ.

    :ivar sequence: sequence number of the ``ViewDigest``.
    :ivar bucket: index of the bucket, -1 if the views are equal.
    :ivar remaining: number of messages that follow this one.
    :ivar final: whether the receiver must not reply with newer records.
    :ivar records: the sender's records.
    """

    sequence: int
    bucket: int
    remaining: int
    final: bool
    records: list[MemberRecord]
