"""Callers that keep connections open and note what they get."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, NamedTuple

import aiohttp

from tests.soak.records import Sending
from tests.support.platform import HOST

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping

PATIENCES = (0.8, 1.5, 3.0)
"""Seconds that callers wait."""
MARGIN = 2.0
"""Seconds beyond its patience after which a caller hangs up."""
CANCELLED_SHARE = 0.04
"""Part of the requests that their callers give up early."""
PROMPT = {
    "Sycamorehaven-Model": "m",
    "Sycamorehaven-Token-Usage": "1460,60",
    "Sycamorehaven-Prefix-Hash": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
}
THINKING = 0.25
"""Seconds between two requests of a caller, on average."""


class Kind(NamedTuple):
    """
    A kind of request.

    :ivar route: name of its route.
    :ivar method: HTTP method.
    :ivar weight: how often it is sent, relative to the others.
    """

    route: str
    method: str
    weight: int


KINDS = (
    Kind("look", "GET", 4),
    Kind("book", "POST", 4),
    Kind("stream", "POST", 2),
    Kind("once-stream", "POST", 1),
)


class Caller:
    """
    One caller; its next request follows the answer to the last.

    :param name: makes ids unique.
    :param doors: address of each router as callers reach it.
    :param find_key: gives the newest key.
    :param chance: decides what it does.
    """

    def __init__(
        self,
        name: str,
        doors: Mapping[str, str],
        find_key: Callable[[], str],
        chance: random.Random,
    ) -> None:
        self._name = name
        self._doors = doors
        self._find_key = find_key
        self._random = chance
        self._number = 0
        self.sendings: list[Sending] = []

    async def run(self) -> None:
        """Send requests until cancelled."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=10.0)
        async with aiohttp.ClientSession(connector=connector) as client:
            while True:
                await asyncio.sleep(self._random.expovariate(1 / THINKING))
                self.sendings.append(await self._send(client))

    async def _send(self, client: aiohttp.ClientSession) -> Sending:
        kind = self._random.choices(KINDS, [kind.weight for kind in KINDS])[0]
        router = self._random.choice(list(self._doors))
        patience = self._random.choice(PATIENCES)
        cancels = self._random.random() < CANCELLED_SHARE
        self._number += 1
        sending = Sending(
            f"{self._name}-{self._number}",
            kind.route,
            router,
            self._find_key(),
            time.monotonic(),
            0.0,
            patience,
            0,
            signed=False,
            body=b"",
            outcome="broken",
        )
        limit = self._random.uniform(0.02, 0.3) if cancels else patience + MARGIN
        try:
            async with asyncio.timeout(limit):
                sending = await self._exchange(client, kind, sending)
        except TimeoutError:
            outcome = "cancelled" if cancels else "broken"
            sending = sending._replace(outcome=outcome)
        except (aiohttp.ClientError, OSError):
            pass
        return sending._replace(done_at=time.monotonic())

    async def _exchange(
        self, client: aiohttp.ClientSession, kind: Kind, sending: Sending
    ) -> Sending:
        headers = {
            "Host": HOST,
            "Sycamorehaven-Attempt-Id": sending.attempt,
            "Sycamorehaven-Key": sending.key,
            "Sycamorehaven-Deadline-Ms": str(int(sending.patience * 1_000)),
        }
        if "stream" in kind.route:
            headers |= PROMPT
        url = f"http://{self._doors[sending.router]}/{kind.route}/{sending.attempt}"
        data = None if kind.method == "GET" else sending.attempt.encode()
        request = client.request(kind.method, url, headers=headers, data=data)
        body = bytearray()
        async with request as response:
            sending = sending._replace(
                status=response.status,
                signed="Sycamorehaven-Response-Signature" in response.headers,
            )
            try:
                async for piece in response.content.iter_any():
                    body += piece
            except (aiohttp.ClientError, OSError):
                return sending._replace(body=bytes(body))
            finally:
                sending = sending._replace(body=bytes(body))
        return sending._replace(body=bytes(body), outcome="whole")
