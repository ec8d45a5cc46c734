"""HTTP client that sends the requests of a load run and measures answers."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp
import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.load.arrivals import Arrival
    from sycamorehaven.load.plan import Workload

TOKEN_ENDPOINT_PATH = "/v1/idempotency-tokens"
"""Path at which routers create idempotency tokens."""


class RequestResult(NamedTuple):
    """
    The result of a request.

    :ivar workload_index: index of its workload in the plan.
    :ivar status: HTTP status, 0 if there was no answer.
    :ivar code: code of the refusal or failure, "" if the request was answered
        completely.
    :ivar first_byte_latency: time from the scheduled start of the request to
        the first byte of the answer, in seconds.
    :ivar total_latency: time from the scheduled start of the request to the
        end of the answer, in seconds.
    :ivar event_count: number of server-sent events in the answer, 0 if it is
        not an event stream.
    """

    workload_index: int
    status: int
    code: str
    first_byte_latency: float
    total_latency: float
    event_count: int


class LoadClient:
    """
    Sends requests to routers.

    :param session: HTTP client session.
    :param timeout: time after which a request is cancelled, in seconds.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        timeout: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._session = session
        self._timeout = timeout
        self._clock = clock

    async def send(
        self, arrival: Arrival, workload: Workload, due: float
    ) -> RequestResult:
        """
        Send a request and read the complete answer.

        :param arrival: the scheduled request.
        :param workload: its workload.
        :param due: scheduled start of the request in monotonic seconds.
            Latencies are measured from this time, so that a late start of the
            request counts.
        """
        try:
            async with asyncio.timeout(self._timeout):
                return await self._send_and_read(arrival, workload, due)
        except TimeoutError:
            return self._create_failure(arrival, "client_timeout", due)
        except (aiohttp.ClientPayloadError, aiohttp.ServerDisconnectedError):
            return self._create_failure(arrival, "answer_broken", due)
        except (aiohttp.ClientError, OSError):
            return self._create_failure(arrival, "connection_failed", due)

    async def _send_and_read(
        self, arrival: Arrival, workload: Workload, due: float
    ) -> RequestResult:
        headers = {
            "Authorization": f"Bearer {workload.key}",
            "Priority-Class": workload.priority,
        }
        if workload.kind == "booking":
            headers["Idempotency-Token"] = await self._create_idempotency_token(
                arrival.target, headers
            )
        url = f"{arrival.target}/v1/services/{workload.service}{workload.path}"
        method = "GET" if workload.kind == "lookup" else "POST"
        async with self._session.request(
            method, url, headers=headers, json=_build_request_body(arrival, workload)
        ) as response:
            return await self._read_answer(response, arrival, due)

    async def _create_idempotency_token(
        self, target: str, headers: dict[str, str]
    ) -> str:
        async with self._session.post(
            target + TOKEN_ENDPOINT_PATH, headers=headers
        ) as response:
            document = await response.read()
        try:
            return str(msgspec.json.decode(document)["idempotency_token"])
        except (msgspec.MsgspecError, KeyError, TypeError):
            return ""

    async def _read_answer(
        self, response: aiohttp.ClientResponse, arrival: Arrival, due: float
    ) -> RequestResult:
        body = await response.content.readany()
        first_byte_latency = self._clock() - due
        event_count = body.count(b"\n\n")
        async for chunk in response.content.iter_any():
            event_count += chunk.count(b"\n\n")
            body = (body + chunk)[-_KEPT_BODY_BYTES:]
        is_stream = response.content_type == "text/event-stream"
        return RequestResult(
            workload_index=arrival.workload_index,
            status=response.status,
            code="" if response.ok else _parse_refusal_code(response.status, body),
            first_byte_latency=first_byte_latency,
            total_latency=self._clock() - due,
            event_count=event_count if is_stream else 0,
        )

    def _create_failure(self, arrival: Arrival, code: str, due: float) -> RequestResult:
        elapsed = self._clock() - due
        return RequestResult(arrival.workload_index, 0, code, elapsed, elapsed, 0)


_KEPT_BODY_BYTES = 65_536
"""Maximum size of the end of a body that is kept to read a refusal code."""


def _build_request_body(arrival: Arrival, workload: Workload) -> dict[str, Any] | None:
    if workload.kind == "lookup":
        return None
    if workload.kind == "booking":
        return {"slot": arrival.prompt}
    return {"prompt": arrival.prompt, "max_tokens": arrival.answer_tokens}


def _parse_refusal_code(status: int, body: bytes) -> str:
    try:
        return str(msgspec.json.decode(body)["code"])
    except (msgspec.MsgspecError, KeyError, TypeError):
        return f"status_{status}"
