"""
A stand-in for the platform, which serves the configuration and the host list.

Tests control it through ``PUT /control/configuration`` with a configuration
text, ``PUT /control/hosts`` with a host list, and ``PUT /control/state`` with
``{"state": "up" | "down" | "stale"}``.
"""

from __future__ import annotations

import asyncio
from typing import Annotated

import msgspec
import typer
from aiohttp import web

from sycamorehaven.standins.serving import run_application
from sycamorehaven.transport.platform_client import REVISION_HEADER, ListedHost

MAX_WATCH_SECONDS = 30.0
"""Maximum time for which a watch of the configuration waits for a change;
then it is answered with status 204."""


class PlatformStandin:
    """
    Stand-in for the platform, with one configuration text and one host list.

    While its state is ``stale``, it keeps serving the text that was current
    when the state was set, and stores newly published texts without serving
    them. While its state is ``down``, it answers reads with status 503.
    """

    def __init__(self) -> None:
        self._revision = 0
        self._text = b""
        self._served_configuration: tuple[int, bytes] = (0, b"")
        self._hosts: list[ListedHost] = []
        self._state = "up"
        self._changed = asyncio.Event()
        self.read_count = 0

    def build_application(self) -> web.Application:
        """Return the HTTP application of the platform."""
        application = web.Application(client_max_size=2_000_000)
        application.router.add_get("/configuration", self._serve_configuration)
        application.router.add_get("/hosts", self._list_hosts)
        application.router.add_get("/control/reads", self._report_read_count)
        application.router.add_put(
            "/control/configuration", self._publish_configuration
        )
        application.router.add_put("/control/hosts", self._handle_put_hosts)
        application.router.add_put("/control/state", self._handle_put_state)
        return application

    def publish(self, text: bytes, revision: int | None = None) -> int:
        """
        Publish a configuration text.

        :param text: the configuration text.
        :param revision: revision of the text, ``None`` for the next one.
        :return: revision of the text.
        """
        self._revision = self._revision + 1 if revision is None else revision
        self._text = text
        if self._state != "stale":
            self._served_configuration = (self._revision, text)
        self._notify_watchers()
        return self._revision

    def replace_hosts(self, hosts: list[ListedHost]) -> None:
        """Replace the host list."""
        self._hosts = hosts

    def set_state(self, state: str) -> None:
        """Set the state of the platform to ``up``, ``down`` or ``stale``."""
        self._state = state
        if state == "up":
            self._served_configuration = (self._revision, self._text)
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _refuse_if_down(self) -> None:
        if self._state == "down":
            raise web.HTTPServiceUnavailable

    async def _serve_configuration(self, request: web.Request) -> web.Response:
        self.read_count += 1
        after = int(request.query.get("after", "-1"))
        wait_seconds = min(float(request.query.get("wait", "0")), MAX_WATCH_SECONDS)
        deadline = asyncio.get_running_loop().time() + wait_seconds
        while True:
            self._refuse_if_down()
            revision, text = self._served_configuration
            seconds_left = deadline - asyncio.get_running_loop().time()
            if revision and (revision > after or seconds_left <= 0):
                if revision <= after:
                    return web.Response(status=204)
                headers = {REVISION_HEADER: str(revision)}
                return web.Response(body=text, headers=headers)
            if seconds_left <= 0:
                return web.Response(status=204)
            try:
                async with asyncio.timeout(seconds_left):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _list_hosts(self, _request: web.Request) -> web.Response:
        self.read_count += 1
        self._refuse_if_down()
        body = msgspec.json.encode(self._hosts)
        return web.Response(body=body, content_type="application/json")

    async def _report_read_count(self, _request: web.Request) -> web.Response:
        return web.json_response({"reads": self.read_count})

    async def _publish_configuration(self, request: web.Request) -> web.Response:
        requested = request.query.get("revision")
        revision = self.publish(
            await request.read(), int(requested) if requested else None
        )
        return web.json_response({"revision": revision})

    async def _handle_put_hosts(self, request: web.Request) -> web.Response:
        body = await request.read()
        self.replace_hosts(msgspec.json.decode(body, type=list[ListedHost]))
        return web.Response(status=204)

    async def _handle_put_state(self, request: web.Request) -> web.Response:
        self.set_state((await request.json())["state"])
        return web.Response(status=204)


def serve(
    address: Annotated[str, typer.Option(help="ip:port to listen on.")],
) -> None:
    """Run the stand-in platform."""
    run_application(PlatformStandin().build_application(), address)


if __name__ == "__main__":
    typer.run(serve)
