"""The HTTP endpoints that mint idempotency tokens and show their state."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Protocol

from aiohttp import web

from sycamorehaven.exceptions.refusals import NotReady, Refusal
from sycamorehaven.transport.call_reader import authenticate, read_positive_number
from sycamorehaven.transport.problem_details import build_problem_response

if TYPE_CHECKING:
    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.controllers.tokens import MintedToken, TokenStatus

DEFAULT_LIFETIME_SECONDS = 600.0
"""Time until a token expires if the header ``Token-Lifetime`` is missing."""
MAX_LIFETIME_SECONDS = 3_600.0
"""Longest lifetime; a longer ``Token-Lifetime`` is reduced to it."""
NOT_READY_RETRY_SECONDS = 1.0
"""``Retry-After`` of requests that arrive before the first configuration."""


class TokenManager(Protocol):
    """Mints idempotency tokens and looks up their state."""

    def mint(self, workspace: str, lifetime: float) -> MintedToken:
        """
        Return a new token.

        :param workspace: name of the workspace that may use it.
        :param lifetime: seconds until it expires.
        :raises Refusal: if no token can be minted.
        """
        ...

    async def look_up(self, text: str, workspace: str) -> TokenStatus:
        """
        Return the state of a token.

        :param text: the token as the caller holds it.
        :param workspace: name of the authenticated workspace.
        :raises Refusal: if the token is not valid or its state is not known.
        """
        ...


class TokenEndpoints:
    """
    The endpoints below ``/v1/idempotency-tokens``.

    ``POST`` mints a token; ``GET`` with a token in the path returns its
    state.

    :param board: the shared state of this router.
    :param manager: mints tokens and looks up their state.
    """

    def __init__(self, board: Blackboard, manager: TokenManager) -> None:
        self._board = board
        self._manager = manager

    def register(self, application: web.Application) -> None:
        """Add the endpoints to the callers' application."""
        application.router.add_post("/v1/idempotency-tokens", self._mint)
        application.router.add_get("/v1/idempotency-tokens/{token}", self._look_up)

    async def _mint(self, request: web.Request) -> web.Response:
        request_id = secrets.token_hex(8)
        try:
            workspace = self._authenticate(request)
            lifetime = read_positive_number(
                request,
                "Token-Lifetime",
                DEFAULT_LIFETIME_SECONDS,
                MAX_LIFETIME_SECONDS,
            )
            minted = self._manager.mint(workspace, lifetime)
        except Refusal as refusal:
            return build_problem_response(refusal, request_id)
        body = {
            "idempotency_token": minted.text,
            "expires_in": round(minted.expires_in, 3),
        }
        headers = {
            "Request-Id": request_id,
            "Cache-Control": "no-store",
            "Location": f"/v1/idempotency-tokens/{minted.text}",
        }
        return web.json_response(body, status=201, headers=headers)

    async def _look_up(self, request: web.Request) -> web.Response:
        request_id = secrets.token_hex(8)
        try:
            workspace = self._authenticate(request)
            token_status = await self._manager.look_up(
                request.match_info["token"], workspace
            )
        except Refusal as refusal:
            return build_problem_response(refusal, request_id)
        body: dict[str, object] = {"state": token_status.state.value}
        if token_status.status:
            body["status"] = token_status.status
        headers = {"Request-Id": request_id, "Cache-Control": "no-store"}
        return web.json_response(body, headers=headers)

    def _authenticate(self, request: web.Request) -> str:
        configuration = self._board.configuration.current
        if configuration is None:
            raise NotReady("no configuration yet", retry_after=NOT_READY_RETRY_SECONDS)
        return authenticate(request, configuration).name
