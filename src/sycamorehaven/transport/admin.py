"""The read-only HTTP interface for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from mode import Service

from sycamorehaven.settings import split_address

if TYPE_CHECKING:
    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.settings import RouterSettings


class AdminListener(Service):
    """
    Serves operators.

    :param board: the state of this router.
    :param settings: settings of this process.
    """

    def __init__(self, board: Blackboard, settings: RouterSettings) -> None:
        super().__init__()
        self._board = board
        self._settings = settings

    async def on_start(self) -> None:
        """Bind the listener."""
        application = web.Application()
        application.router.add_get("/livez", self._show_live)
        application.router.add_get("/readyz", self._show_ready)
        application.router.add_get("/v1/members", self._show_members)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        host, port = split_address(self._settings.admin_address)
        await web.TCPSite(self._runner, host, port).start()

    async def on_stop(self) -> None:
        """Close the listener."""
        await self._runner.cleanup()

    async def _show_live(self, _request: web.Request) -> web.Response:
        return web.json_response({"live": True})

    async def _show_ready(self, _request: web.Request) -> web.Response:
        reasons = []
        if self._board.configuration.current is None:
            reasons.append("no configuration yet")
        if self._board.lifecycle.draining:
            reasons.append("shutting down")
        status = 503 if reasons else 200
        return web.json_response(
            {"ready": not reasons, "reasons": reasons}, status=status
        )

    async def _show_members(self, _request: web.Request) -> web.Response:
        members = [member._asdict() for member in self._board.members.list()]
        return web.json_response({"members": members})
