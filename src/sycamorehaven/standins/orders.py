"""The part of a stand-in model engine that carries out engine orders."""

from __future__ import annotations

import asyncio
from typing import TypedDict

import msgspec
from aiohttp import web


class OrderBody(TypedDict):
    """The JSON body of ``POST /orders``."""

    number: int
    models: list[str]
    adapters: list[str]
    version: str
    role: str


class EngineOrderStandin:
    """
    Stand-in for the engine's side of orders.

    An order describes the whole desired state of the engine. The engine
    answers an order after it has loaded the models.

    :param checks_fencing: whether the engine rejects an order with a lower
        number than the last accepted order, and reports that number.
    :param load_time: time to carry out an order, in seconds.
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
        """Add ``GET /state`` and ``POST /orders`` to an application."""
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
