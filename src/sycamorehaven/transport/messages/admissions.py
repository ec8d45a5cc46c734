"""Messages between routers and the router that schedules an engine."""

from __future__ import annotations

from typing import Annotated, Literal, NamedTuple

import msgspec

from sycamorehaven.transport.messages.field_types import IncarnationName

Count = Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
NonNegativeNumber = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]
WorkspaceName = Annotated[str, msgspec.Meta(max_length=256)]
MAX_LISTED = 4_096
"""Most engines, or requests of one engine, in a message."""


class AdmissionRequest(NamedTuple):
    """
    Asks for the admission of a request to an engine.

    :ivar number: the sender's number of the request.
    :ivar server: the engine's incarnation.
    :ivar workspace: workspace of the request, "" for none.
    :ivar tokens: prompt tokens that the engine must read.
    :ivar cost: cost of the request in prompt tokens.
    :ivar max_wait: seconds for which the sender lets the request wait.
    :ivar resumes: whether the client already has a part of the answer.
    """

    number: Count
    server: IncarnationName
    workspace: WorkspaceName
    tokens: Count
    cost: NonNegativeNumber
    max_wait: NonNegativeNumber
    resumes: bool


class AdmissionReply(NamedTuple):
    """
    What became of a request, with the state of the engine.

    :ivar number: the receiver's number of the request.
    :ivar verdict: whether it may be sent, waits, or would wait too long. After
        "queued" another reply follows.
    :ivar running: requests that were admitted and have not ended.
    :ivar waiting: requests that wait for admission.
    :ivar backlog: seconds until all that was admitted is read.
    :ivar waiting_tokens: prompt tokens of the requests that wait.
    :ivar rate: prompt tokens that the engine reads per second.
    :ivar limit: requests that the engine may run.
    """

    number: Count
    verdict: Literal["admitted", "queued", "refused"]
    running: Count
    waiting: Count
    backlog: NonNegativeNumber
    waiting_tokens: Count
    rate: NonNegativeNumber
    limit: NonNegativeNumber


class BegunRequest(NamedTuple):
    """
    A request whose first token has come.

    :ivar number: the sender's number of it.
    :ivar seconds: time from its sending to the first token.
    """

    number: Count
    seconds: NonNegativeNumber


class HeldRequest(NamedTuple):
    """
    A request that the sender has at an engine.

    :ivar number: the sender's number of it.
    :ivar tokens: prompt tokens that the engine must read.
    :ivar has_begun: whether its first token has come.
    """

    number: Count
    tokens: Count
    has_begun: bool


class EngineProgress(NamedTuple):
    """
    What became of the sender's requests at one engine.

    :ivar server: the engine's incarnation.
    :ivar begun: requests that have begun since the last report.
    :ivar ended: numbers of those that have ended or are no longer wanted.
    :ivar on_time: events of its streams that came on time.
    :ivar late: events that came late.
    :ivar held: all of the sender's requests at the engine; ``None`` if the
        report leaves them out.
    """

    server: IncarnationName
    begun: Annotated[list[BegunRequest], msgspec.Meta(max_length=MAX_LISTED)]
    ended: Annotated[list[Count], msgspec.Meta(max_length=MAX_LISTED)]
    on_time: Count
    late: Count
    held: Annotated[list[HeldRequest], msgspec.Meta(max_length=MAX_LISTED)] | None


class AdmissionProgress(NamedTuple):
    """
    Reports the progress of requests to the scheduler of some engines.

    :ivar engines: the engines that it schedules.
    """

    engines: Annotated[list[EngineProgress], msgspec.Meta(max_length=MAX_LISTED)]
