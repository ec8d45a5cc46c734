"""Reads the state of model engines and sends them orders, over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING, NotRequired, Protocol, TypedDict

import aiohttp
import msgspec

from sycamorehaven.decisions.engine_orders import EngineState
from sycamorehaven.exceptions.base import SycamorehavenError

if TYPE_CHECKING:
    from sycamorehaven.configuration.model import BackendServer
    from sycamorehaven.decisions.engine_orders import EngineOrder

CALL_TIMEOUT_SECONDS = 5.0
"""Time limit for one HTTP request to an engine."""
MAX_RESPONSE_BYTES = 262_144
"""Most bytes that are read of the body of a response."""
STALE_ORDER_STATUS = 409
"""Status by which an engine refuses an order with an old fencing number."""


class OrderFailed(SycamorehavenError):
    """An engine did not report its state or did not accept an order."""

    code = "order_failed"
    remedy = "the router reads the engine's state again and repeats the order"


class OrderRefused(OrderFailed):
    """An engine has already accepted an order with a larger fencing number."""

    code = "order_refused"
    remedy = "nothing: the router follows the newer configuration by itself"


class EngineControl(Protocol):
    """Reads the state of engines and sends them orders."""

    async def read_state(self, server: BackendServer) -> EngineState:
        """
        Return the models, adapters, version and role of an engine.

        :raises OrderFailed: if the engine does not report its state.
        """
        ...

    async def send_order(self, server: BackendServer, order: EngineOrder) -> None:
        """
        Send an order to an engine.

        :raises OrderRefused: if the engine has accepted an order with a
            larger fencing number.
        :raises OrderFailed: if the order was not accepted.
        """
        ...


class StateBody(TypedDict):
    """The JSON object that ``GET /state`` returns; other keys are ignored."""

    models: list[str]
    adapters: list[str]
    version: str
    role: str
    number: NotRequired[int]


class HttpEngineControl:
    """
    Calls ``GET /state`` and ``POST /orders`` of engines.

    The bodies are JSON objects with the fields of ``EngineState`` and
    ``EngineOrder``. An engine that has accepted an order with a larger fencing
    number refuses an older one with the status 409.
    """

    def __init__(self) -> None:
        self._client: aiohttp.ClientSession | None = None

    async def read_state(self, server: BackendServer) -> EngineState:
        """Return the models, adapters, version and role of an engine."""
        body = await self._call("GET", server, "/state", None)
        try:
            state = msgspec.json.decode(body, type=StateBody)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise OrderFailed(
                f"the state of '{server.name}' is malformed: {error}"
            ) from error
        return EngineState(
            tuple(state["models"]),
            tuple(state["adapters"]),
            state["version"],
            state["role"],
            state.get("number", 0),
        )

    async def send_order(self, server: BackendServer, order: EngineOrder) -> None:
        """Send an order to an engine."""
        body = msgspec.json.encode(order._asdict())
        await self._call("POST", server, "/orders", body)

    async def close(self) -> None:
        """Close the connections to engines."""
        if self._client is not None:
            await self._client.close()

    async def _call(
        self, method: str, server: BackendServer, path: str, body: bytes | None
    ) -> bytes:
        if self._client is None:
            timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
            self._client = aiohttp.ClientSession(timeout=timeout)
        url = f"http://{server.address}{path}"
        try:
            async with self._client.request(method, url, data=body) as response:
                content = await response.content.read(MAX_RESPONSE_BYTES)
                status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise OrderFailed(
                f"the request to '{server.name}' failed: {error!r}"
            ) from error
        if status == STALE_ORDER_STATUS:
            raise OrderRefused(f"'{server.name}' has already accepted a newer order")
        if status not in (200, 202, 204):
            raise OrderFailed(f"'{server.name}' returned the status {status}")
        return content
