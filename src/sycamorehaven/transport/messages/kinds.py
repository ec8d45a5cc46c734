"""
The kinds of messages between routers.

A message's position in ``MESSAGE_KINDS`` identifies its kind in the envelope,
so the order is part of the protocol and new kinds are appended.
"""

from __future__ import annotations

from sycamorehaven.transport.messages.admissions import (
    AdmissionProgress,
    AdmissionReply,
    AdmissionRequest,
)
from sycamorehaven.transport.messages.configuration import (
    ConfigurationNotice,
    ConfigurationReply,
    ConfigurationRequest,
)
from sycamorehaven.transport.messages.counters import (
    CounterAck,
    CounterRequest,
    CounterUpdate,
)
from sycamorehaven.transport.messages.fleet import (
    FleetNews,
    NewsBatch,
    NewsReport,
    SnapshotReply,
    SnapshotRequest,
)
from sycamorehaven.transport.messages.membership import (
    Probe,
    ProbeAck,
    ProbeRequest,
    ViewDigest,
    ViewRecords,
)
from sycamorehaven.transport.messages.permits import (
    DemandReport,
    PermitAck,
    PermitGrant,
    PermitReturn,
    Preemption,
    ServiceUnserved,
)
from sycamorehaven.transport.messages.relays import (
    RelayCall,
    RelayContinue,
    RelayRefusal,
    RelayReply,
    RelayStatus,
)
from sycamorehaven.transport.messages.rotation import (
    RotationReply,
    RotationRequest,
)
from sycamorehaven.transport.messages.servers import (
    GoneServer,
    LoadReply,
    LoadRequest,
    NoticeRequest,
    ServerNotice,
)
from sycamorehaven.transport.messages.streams import (
    SoftwareVersionReply,
    SoftwareVersionRequest,
    StreamOriginNotice,
    StreamOriginReply,
    StreamOriginRequest,
)
from sycamorehaven.transport.messages.suspects import (
    Acquittal,
    Exoneration,
    LostRuns,
    Strike,
    SuspectReply,
    SuspectRequest,
    TrialReply,
    TrialRequest,
)
from sycamorehaven.transport.messages.tokens import (
    TokenHandover,
    TokenHandoverAck,
    TokenStateReply,
    TokenStateRequest,
)

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
    ServiceUnserved,
    FleetNews,
    SnapshotRequest,
    SnapshotReply,
    StreamOriginNotice,
    StreamOriginRequest,
    StreamOriginReply,
    NewsReport,
    NewsBatch,
    LostRuns,
    Exoneration,
    TrialRequest,
    TrialReply,
    SoftwareVersionRequest,
    SoftwareVersionReply,
    GoneServer,
    AdmissionRequest,
    AdmissionReply,
    AdmissionProgress,
    RotationRequest,
    RotationReply,
)

BULK_MESSAGE_KINDS = frozenset(
    {ConfigurationReply, RelayCall, RelayReply, TokenHandover, SnapshotReply, NewsBatch}
)
"""Kinds that may be as large as ``MAX_MESSAGE_BYTES``; others are limited by
``MAX_CONTROL_MESSAGE_BYTES``."""
