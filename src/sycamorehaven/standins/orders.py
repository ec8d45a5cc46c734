"""The part of a stand-in engine that takes orders."""

from __future__ import annotations

import asyncio
from typing import TypedDict

import msgspec
from aiohttp import web


class OrderBody(TypedDict):
    """The JSON object of ``POST /orders``."""

    number: int
    models: list[str]
    adapters: list[str]
    version: str
    role: str


class EngineOrderStandin:
    """
    Takes orders as a whole state and loads for a while.

    :param checks_fencing: whether an order with an old number is refused.
    :param load_time: seconds to load.
    """

    def __init__(self, checks_fencing: bool = False, load_time: float = 0.05) -> None:
        self._checks_fencing = checks_fencing
        self._load_time = load_time
        self._last_order_number = 0
        self.models: list[str] = []
        self.adapters: list[str] = []
        self.version = ""
        self.role = ""
        self.accepted_orders: list[OrderBody] = []
        self.refused_count = 0

    def add_routes(self, application: web.Application) -> None:
        """Serve ``GET /state`` and ``POST /orders``."""
        application.router.add_get("/state", self._report_state)
        application.router.add_post("/orders", self._accept_order)

    async def _report_state(self, _request: web.Request) -> web.Response:
        state = {
            "models": self.models,
            "adapters": self.adapters,
            "version": self.version,
            "role": self.role,
        }
        number = {"number": self._last_order_number} if self._checks_fencing else {}
        return web.json_response({**state, **number})

    async def _accept_order(self, request: web.Request) -> web.Response:
        try:
            order = msgspec.json.decode(await request.read(), type=OrderBody)
        except msgspec.MsgspecError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        if self._checks_fencing and order["number"] < self._last_order_number:
            self.refused_count += 1
            raise web.HTTPConflict
        self._last_order_number = order["number"]
        self.accepted_orders.append(order)
        await asyncio.sleep(self._load_time)
        self.models, self.adapters = order["models"], order["adapters"]
        self.version = order["version"] or self.version
        self.role = order["role"] or self.role
        return web.Response(status=204)
