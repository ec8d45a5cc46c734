"""Callers that reuse connections and record the answers to their requests."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, NamedTuple

import aiohttp

from tests.soak.records import CallerRequest
from tests.support.gateway_harness import ROUTE_HOST

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping

CALLER_TIMEOUTS_SECONDS = (0.8, 1.5, 3.0)
"""Deadlines in seconds of which a caller chooses one for each request."""
HANG_UP_MARGIN_SECONDS = 2.0
"""Seconds after its deadline at which a caller closes the connection."""
CANCELLED_RATIO = 0.04
"""Ratio of the requests that their callers cancel early."""
PROMPT_HEADERS = {
    "Sycamorehaven-Model": "m",
    "Sycamorehaven-Token-Usage": "1460,60",
    "Sycamorehaven-Prefix-Hash": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
}
REQUEST_INTERVAL_SECONDS = 0.25
"""Mean time in seconds from an answer to the caller's next request."""


class RequestKind(NamedTuple):
    """
    A kind of request that callers send.

    :ivar route: name of the route.
    :ivar method: HTTP method.
    :ivar weight: frequency relative to the other kinds.
    """

    route: str
    method: str
    weight: int


REQUEST_KINDS = (
    RequestKind("look", "GET", 4),
    RequestKind("book", "POST", 4),
    RequestKind("stream", "POST", 2),
    RequestKind("once-stream", "POST", 1),
)


class SoakCaller:
    """
    A caller that sends one request at a time.

    :param name: prefix of the attempt ids, unique among the callers.
    :param router_addresses: address at which callers reach each router.
    :param get_key: returns the newest API key.
    :param rng: chooses the requests and their timing.
    :ivar requests: record of the requests that have ended.
    """

    def __init__(
        self,
        name: str,
        router_addresses: Mapping[str, str],
        get_key: Callable[[], str],
        rng: random.Random,
    ) -> None:
        self._name = name
        self._router_addresses = router_addresses
        self._get_key = get_key
        self._random = rng
        self._number = 0
        self.requests: list[CallerRequest] = []

    async def run(self) -> None:
        """Send requests until the task is cancelled."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=10.0)
        async with aiohttp.ClientSession(connector=connector) as client:
            while True:
                await asyncio.sleep(
                    self._random.expovariate(1 / REQUEST_INTERVAL_SECONDS)
                )
                self.requests.append(await self._send(client))

    async def _send(self, client: aiohttp.ClientSession) -> CallerRequest:
        kind = self._random.choices(
            REQUEST_KINDS, [kind.weight for kind in REQUEST_KINDS]
        )[0]
        router = self._random.choice(list(self._router_addresses))
        timeout = self._random.choice(CALLER_TIMEOUTS_SECONDS)
        cancels = self._random.random() < CANCELLED_RATIO
        self._number += 1
        record = CallerRequest(
            f"{self._name}-{self._number}",
            kind.route,
            router,
            self._get_key(),
            time.monotonic(),
            0.0,
            timeout,
            0,
            signed=False,
            body=b"",
            outcome="broken",
        )
        limit = (
            self._random.uniform(0.02, 0.3)
            if cancels
            else timeout + HANG_UP_MARGIN_SECONDS
        )
        try:
            async with asyncio.timeout(limit):
                record = await self._exchange(client, kind, record)
        except TimeoutError:
            outcome = "cancelled" if cancels else "broken"
            record = record._replace(outcome=outcome)
        except (aiohttp.ClientError, OSError):
            pass
        return record._replace(ended_at=time.monotonic())

    async def _exchange(
        self, client: aiohttp.ClientSession, kind: RequestKind, record: CallerRequest
    ) -> CallerRequest:
        headers = {
            "Host": ROUTE_HOST,
            "Sycamorehaven-Attempt-Id": record.attempt,
            "Sycamorehaven-Key": record.key,
            "Sycamorehaven-Deadline-Ms": str(int(record.timeout * 1_000)),
        }
        if "stream" in kind.route:
            headers |= PROMPT_HEADERS
        url = f"http://{self._router_addresses[record.router]}/{kind.route}/{record.attempt}"
        data = None if kind.method == "GET" else record.attempt.encode()
        request = client.request(kind.method, url, headers=headers, data=data)
        body = bytearray()
        async with request as response:
            record = record._replace(
                status=response.status,
                signed="Sycamorehaven-Response-Signature" in response.headers,
            )
            try:
                async for piece in response.content.iter_any():
                    body += piece
            except (aiohttp.ClientError, OSError):
                return record._replace(body=bytes(body))
            finally:
                record = record._replace(body=bytes(body))
        return record._replace(body=bytes(body), outcome="whole")
