"""Orders to model engines, by HTTP."""

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
"""Seconds for one call."""
MAX_RESPONSE_BYTES = 262_144
"""Largest answer that is read, bytes."""
STALE_ORDER_STATUS = 409


class OrderFailed(SycamorehavenError):
    """An engine did not tell its state or did not take an order."""

    code = "order_failed"
    remedy = "the router reads the engine's state again and repeats the order"


class OrderRefused(OrderFailed):
    """An engine has taken an order with a larger fencing number."""

    code = "order_refused"
    remedy = "nothing: the router follows the newer configuration by itself"


class EngineControl(Protocol):
    """Reads the state of engines and gives them orders."""

    async def read_state(self, server: BackendServer) -> EngineState:
        """
        Return what an engine has.

        :raises OrderFailed: if it does not say.
        """
        ...

    async def send_order(self, server: BackendServer, order: EngineOrder) -> None:
        """
        Give an order.

        :raises OrderRefused: if its number is too old.
        :raises OrderFailed: if it was not taken.
        """
        ...


class StateBody(TypedDict):
    """The JSON object of ``GET /state``; other members are ignored."""

    models: list[str]
    adapters: list[str]
    version: str
    role: str
    number: NotRequired[int]


class HttpEngineControl:
    """
    ``GET /state`` and ``POST /orders``, each with a JSON object.

    The objects have the fields of ``EngineState`` and ``Order``; 409 refuses
    an old number.
    """

    def __init__(self) -> None:
        self._client: aiohttp.ClientSession | None = None

    async def read_state(self, server: BackendServer) -> EngineState:
        """Return what an engine has."""
        body = await self._call("GET", server, "/state", None)
        try:
            state = msgspec.json.decode(body, type=StateBody)
        except msgspec.MsgspecError as error:
            raise OrderFailed(f"{server.name}: malformed state: {error}") from error
        return EngineState(
            tuple(state["models"]),
            tuple(state["adapters"]),
            state["version"],
            state["role"],
            state.get("number", 0),
        )

    async def send_order(self, server: BackendServer, order: EngineOrder) -> None:
        """Give an order."""
        body = msgspec.json.encode(order._asdict())
        await self._call("POST", server, "/orders", body)

    async def close(self) -> None:
        """Close the connections."""
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
                answer = await response.content.read(MAX_RESPONSE_BYTES)
                status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise OrderFailed(f"{server.name}: {error!r}") from error
        if status == STALE_ORDER_STATUS:
            raise OrderRefused(f"{server.name} has taken a newer order")
        if status not in (200, 202, 204):
            raise OrderFailed(f"{server.name} answered {status}")
        return answer
