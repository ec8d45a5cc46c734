"""
Messages between routers.

Each is a ``NamedTuple`` that msgpack carries as an array inside an
``Envelope``. A decoder knows the kinds in ``MESSAGE_KINDS`` only; their order
is part of the protocol and new kinds are appended.
"""

from __future__ import annotations

from typing import Annotated, Literal, NamedTuple

import msgspec

PROTOCOL_VERSION = 1
LARGEST_MESSAGE = 2_097_152
"""Largest encoded envelope, bytes: a relayed body and its headers."""
LARGEST_CONTROL_MESSAGE = 262_144
"""Largest encoded message, bytes, of a kind that carries no bodies."""
LARGEST_NAME = 64
"""Characters of a host, an address or a backend server."""

Fingerprint = Annotated[bytes, msgspec.Meta(min_length=16, max_length=16)]
ServerName = Annotated[str, msgspec.Meta(min_length=1, max_length=LARGEST_NAME)]


class Envelope(NamedTuple):
    """
    What travels: a version, a kind, the sender and the encoded message.

    :ivar version: protocol version.
    :ivar kind: index into ``MESSAGE_KINDS``.
    :ivar host: the sender's host.
    :ivar incarnation: the sender's incarnation.
    :ivar address: ``ip:port`` at which the sender takes messages.
    :ivar body: the message, msgpack.
    """

    version: int
    kind: int
    host: str
    incarnation: int
    address: str
    body: msgspec.Raw


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


class ConfigurationRequest(NamedTuple):
    """
    A request for a configuration newer than the sender's.

    :ivar revision: the sender's revision, 0 for none.
    :ivar digest: the sender's digest, "" for none.
    :ivar whole: whether the whole text is wanted, not a difference.
    """

    revision: int
    digest: str
    whole: bool


class ConfigurationReply(NamedTuple):
    """
    An accepted configuration.

    :ivar revision: its revision.
    :ivar digest: its digest.
    :ivar base: digest of the text that the difference applies to, "" for a
        whole text.
    :ivar compressed: the text or the difference, zlib.
    """

    revision: int
    digest: str
    base: str
    compressed: bytes


class DemandRow(NamedTuple):
    """
    Requests that wait at one edge.

    :ivar workspace: whose they are.
    :ivar priority: ``"interactive"`` or ``"batch"``.
    :ivar waiting: how many wait.
    :ivar oldest_age: age of the oldest, seconds.
    :ivar cost: estimated cost of one, in the service's unit.
    """

    workspace: str
    priority: str
    waiting: int
    oldest_age: float
    cost: float


class HeldPermit(NamedTuple):
    """
    A permit that an edge holds.

    :ivar scheduler: host of the router that granted it.
    :ivar incarnation: that router's incarnation.
    :ivar permit: its number, unique per scheduler incarnation.
    :ivar server: the backend server.
    :ivar workspace: for whom.
    :ivar priority: class of the bound request.
    :ivar cost: cost so far, in the service's unit.
    :ivar resumable: whether the bound request can be preempted.
    :ivar accounted: whether the receiver charges the cost; another router
        does so otherwise.
    """

    scheduler: str
    incarnation: int
    permit: int
    server: str
    workspace: str
    priority: str
    cost: float
    resumable: bool
    accounted: bool


class PermitReturn(NamedTuple):
    """
    A permit given back; repeated in reports until it is acknowledged.

    :ivar scheduler: host of the router that granted it.
    :ivar incarnation: that router's incarnation.
    :ivar permit: its number.
    :ivar service: the service.
    :ivar server: the backend server.
    :ivar workspace: for whom it was.
    :ivar cost: true cost of all that ran under it, in the service's unit.
    :ivar runs: how many calls ran; 0 says that it was not used.
    :ivar failed: whether the server was lost, silent or overloaded.
    :ivar accounted: whether the receiver charges the cost.
    :ivar waiting: requests of the workspace that wait at the edge now.
    """

    scheduler: str
    incarnation: int
    permit: int
    service: str
    server: str
    workspace: str
    cost: float
    runs: int
    failed: bool
    accounted: bool
    waiting: int


class DemandReport(NamedTuple):
    """
    All that waits at an edge for one service; replaces its last report.

    :ivar service: the service.
    :ivar sequence: rises with every report of this edge.
    :ivar lifetime: seconds after which the report is void.
    :ivar rows: what waits.
    :ivar held: permits held for servers that the receiver schedules or has
        granted.
    :ivar settled: returns that the receiver has not acknowledged.
    """

    service: str
    sequence: int
    lifetime: float
    rows: list[DemandRow]
    held: list[HeldPermit]
    settled: list[PermitReturn]


class PermitGrant(NamedTuple):
    """
    A lease of one slot of a backend server.

    The lease is counted from the report that it answers, so that a grant
    which lay in a buffer while the edge was paused is seen to be too old.

    :ivar permit: number, unique per scheduler incarnation.
    :ivar service: the service.
    :ivar server: the backend server.
    :ivar workspace: for whom.
    :ivar priority: class that the scheduler chose.
    :ivar sequence: the edge's last report.
    :ivar elapsed: seconds from the receipt of that report to the grant.
    :ivar lease: seconds after the grant in which a request must be sent.
    :ivar runs: how many short calls it covers, one after the other.
    :ivar free: slots of the service still free at the scheduler.
    """

    permit: int
    service: str
    server: str
    workspace: str
    priority: str
    sequence: int
    elapsed: float
    lease: float
    runs: int
    free: int


class Preemption(NamedTuple):
    """
    An order to cancel the resumable stream under a permit.

    :ivar scheduler: host of the router that granted the permit.
    :ivar incarnation: that router's incarnation.
    :ivar permit: its number.
    """

    scheduler: str
    incarnation: int
    permit: int


class CounterRow(NamedTuple):
    """
    One scheduler's total of service given to a workspace; only grows.

    :ivar host: the scheduler's host; "" is that of the row before, and in the
        first row the sender.
    :ivar incarnation: its incarnation, 0 if ``host`` is "".
    :ivar service: the service; "" is that of the row before.
    :ivar workspace: the workspace.
    :ivar total: service given since the incarnation's start.
    :ivar base: the total when the sender began to tell the receiver, for a
        receiver that has not heard of it yet; 0 once it has.
    """

    host: str
    incarnation: int
    service: str
    workspace: str
    total: float
    base: float = 0


class CounterUpdate(NamedTuple):
    """
    Totals that the receiver merges by maximum.

    :ivar sequence: rises with every update of this sender; 0 wants no
        acknowledgement.
    :ivar rows: totals.
    """

    sequence: int
    rows: list[CounterRow]


class CounterAck(NamedTuple):
    """
    The receiver merged an update.

    :ivar sequence: the update's.
    """

    sequence: int


class ServerNews(NamedTuple):
    """
    What one source says of a backend server.

    :ivar server: the backend server.
    :ivar source: ``"list"`` (the host list) or ``"server"`` (itself).
    :ivar state: ``"leaving"`` or ``"serving"``.
    :ivar version: larger is newer: milliseconds since the epoch at the finder.
    """

    server: str
    source: str
    state: str
    version: int


class ServerNotice(NamedTuple):
    """
    News of backend servers; each router passes what is new to it on once.

    :ivar hops: how often it may still be passed on.
    :ivar rows: the news.
    """

    hops: int
    rows: list[ServerNews]


class RelayCall(NamedTuple):
    """
    A call with a token, sent to the router that can answer it.

    It is sent again until the receiver says that it has it.

    :ivar relay: random number, never used twice.
    :ivar owner: incarnation that must run it.
    :ivar adopted: whether the receiver answers from tokens taken over only.
    :ivar token: the idempotency token.
    :ivar request_id: names the request in logs and traces.
    :ivar workspace: the authenticated workspace.
    :ivar service: the service.
    :ivar method: HTTP method.
    :ivar path: path at the backend server, with the query.
    :ivar headers: headers to pass on.
    :ivar body: the request body.
    :ivar priority: class.
    :ivar timeout: seconds left for the answer.
    :ivar cost_hint: cost that the caller expects, 0 for none.
    """

    relay: int
    owner: int
    adopted: bool
    token: str
    request_id: str
    workspace: str
    service: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    priority: str
    timeout: float
    cost_hint: float


class RelayReply(NamedTuple):
    """
    A part of the answer to ``RelayCall``.

    :ivar relay: the call's number.
    :ivar session: random, above 0; parts of two sessions never mix.
    :ivar part: counts the parts from 0.
    :ivar last: whether it is the last part.
    :ivar status: HTTP status.
    :ivar headers: headers, in part 0 only.
    :ivar body: this part of the body.
    """

    relay: int
    session: int
    part: int
    last: bool
    status: int
    headers: list[tuple[str, str]]
    body: bytes


class Strike(NamedTuple):
    """
    A backend server was lost while it ran a request.

    :ivar fingerprint: xxh3-128 of the request, 16 bytes.
    :ivar strike: unique per loss, so that repeats count once.
    :ivar age: seconds since the loss.
    :ivar server: the backend server.
    :ivar ran: seconds that the request had run.
    :ivar alone: whether no other suspect was on the server.
    """

    fingerprint: Fingerprint
    strike: int
    age: float
    server: ServerName
    ran: float
    alone: bool


class SuspectRequest(NamedTuple):
    """
    A request for the lease on a suspect run, or on a server for one.

    :ivar key: fingerprint of the request or of the server, 16 bytes.
    :ivar number: of the lease at the asker; the same number renews it.
    :ivar release: whether the lease ends.
    """

    key: Fingerprint
    number: int
    release: bool


class SuspectReply(NamedTuple):
    """
    The answer to ``SuspectRequest``.

    :ivar key: the request's.
    :ivar number: the request's.
    :ivar allowed: whether the asker holds the lease.
    """

    key: Fingerprint
    number: int
    allowed: bool


class Acquittal(NamedTuple):
    """
    A suspect request was answered whole; earlier strikes are forgotten.

    :ivar fingerprint: xxh3-128 of the request, 16 bytes.
    :ivar age: seconds since the end of the answer.
    """

    fingerprint: Fingerprint
    age: float


class TokenRecord(NamedTuple):
    """
    A used token.

    :ivar token: the token.
    :ivar workspace: whose it is.
    :ivar request: xxh3-128 of the request that used it, 16 bytes.
    :ivar finished: whether the call ran to its end; if not, its outcome is
        unknown.
    :ivar status: HTTP status of the recorded answer, 0 if it is not kept.
    :ivar headers: its headers.
    :ivar body: its body.
    """

    token: str
    workspace: str
    request: bytes
    finished: bool
    status: int
    headers: list[tuple[str, str]]
    body: bytes


class TokenHandover(NamedTuple):
    """
    Used tokens of a router that shuts down; never run by the receiver.

    :ivar number: echoed by the acknowledgement.
    :ivar records: the tokens.
    """

    number: int
    records: list[TokenRecord]


class ConfigurationNotice(NamedTuple):
    """
    The sender has put a configuration in force.

    :ivar revision: its revision.
    :ivar digest: its digest.
    """

    revision: int
    digest: str


class PermitAck(NamedTuple):
    """
    Grants or returns have come; they are repeated until then.

    :ivar scheduler: host of the router that granted the permits.
    :ivar incarnation: that router's incarnation.
    :ivar permits: their numbers.
    """

    scheduler: str
    incarnation: int
    permits: list[int]


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


class RelayRefusal(NamedTuple):
    """
    The refusal of a ``RelayCall``.

    :ivar relay: the call's number.
    :ivar code: code of the refusal.
    :ivar detail: what went wrong.
    :ivar was_run: ``"no"``, ``"yes"`` or ``"unknown"``.
    :ivar retry_after: seconds, or ``None``.
    :ivar remedy: what the caller can do.
    """

    relay: int
    code: str
    detail: str
    was_run: Literal["no", "yes", "unknown"]
    retry_after: float | None
    remedy: str


class RelayContinue(NamedTuple):
    """
    What the sender of a ``RelayCall`` has of the answer.

    :ivar relay: the call's number.
    :ivar next_part: the first part that it lacks.
    :ivar resend: whether parts that were sent seem to be lost.
    :ivar closed: whether it wants no more.
    """

    relay: int
    next_part: int
    resend: bool
    closed: bool


class RelayStatus(NamedTuple):
    """
    Whether the sender serves a ``RelayCall``.

    :ivar relay: the call's number.
    :ivar known: whether it does.
    """

    relay: int
    known: bool


class TokenHandoverAck(NamedTuple):
    """
    The receiver has taken the tokens over.

    :ivar number: the hand-over's.
    """

    number: int


class TokenStateRequest(NamedTuple):
    """
    A question for the state of a token.

    :ivar number: random, echoed by the reply.
    :ivar owner: incarnation that minted the token.
    :ivar adopted: whether the receiver answers from tokens taken over only.
    :ivar token: the token.
    :ivar workspace: the authenticated workspace.
    """

    number: int
    owner: int
    adopted: bool
    token: str
    workspace: str


class TokenStateReply(NamedTuple):
    """
    The answer to ``TokenStateRequest``.

    :ivar number: the request's.
    :ivar state: the state, ``"invalid"`` for a forged token, or "" if the
        sender can't tell.
    :ivar status: HTTP status of the finished call, or 0.
    """

    number: int
    state: str
    status: int


class NoticeRequest(NamedTuple):
    """A request for all news of backend servers that still matter."""


class LoadRequest(NamedTuple):
    """
    A request to read a backend server's load on the sender's behalf.

    :ivar server: the backend server.
    """

    server: str


class LoadReply(NamedTuple):
    """
    The load that was read for ``LoadRequest``; none is sent if there is none.

    :ivar server: the backend server.
    :ivar running: requests that run.
    :ivar capacity: requests that it can run at once.
    :ivar leaving: whether it takes no new work.
    """

    server: str
    running: int
    capacity: int
    leaving: bool


class CounterRequest(NamedTuple):
    """
    A request for the totals of schedulers that are gone.

    The live ones tell their own. It is answered with ``CounterUpdate``.

    :ivar services: the services.
    """

    services: list[str]


MESSAGE_KINDS: tuple[type, ...] = (
    Probe,
    ProbeAck,
    ProbeRequest,
    ConfigurationRequest,
    ConfigurationReply,
    DemandReport,
    PermitGrant,
    PermitReturn,
    Preemption,
    CounterUpdate,
    CounterAck,
    ServerNotice,
    RelayCall,
    RelayReply,
    Strike,
    SuspectRequest,
    SuspectReply,
    TokenHandover,
    Acquittal,
    ConfigurationNotice,
    PermitAck,
    ViewDigest,
    ViewRecords,
    RelayRefusal,
    RelayContinue,
    RelayStatus,
    TokenHandoverAck,
    TokenStateRequest,
    TokenStateReply,
    NoticeRequest,
    LoadRequest,
    LoadReply,
    CounterRequest,
)

BULK_KINDS = frozenset({ConfigurationReply, RelayCall, RelayReply, TokenHandover})
"""Kinds that may be as large as ``LARGEST_MESSAGE``."""
