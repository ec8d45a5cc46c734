"""Relays calls with tokens to the routers that minted the tokens."""

from __future__ import annotations

import secrets
import time
from typing import TYPE_CHECKING

from mode import Service
from opentelemetry import trace

from sycamorehaven.blackboard.signal import Signal
from sycamorehaven.call import Answer
from sycamorehaven.controllers.relay_requests import add_trace_headers
from sycamorehaven.controllers.relayed_calls import (
    RESEND_SECONDS,
    RelayedBody,
    RelayedCall,
)
from sycamorehaven.controllers.tokens import TokenStatus
from sycamorehaven.decisions.token_routes import plan_route
from sycamorehaven.decisions.token_table import TokenState
from sycamorehaven.exceptions.refusals import (
    DeadlineUnreachable,
    InvalidToken,
    OutcomeUnknown,
    TokenOwnerUnreachable,
)
from sycamorehaven.identity import RouterId
from sycamorehaven.transport.messages.relays import (
    RelayCall,
    RelayRefusal,
    RelayReply,
    RelayStatus,
)
from sycamorehaven.transport.messages.tokens import TokenStateReply, TokenStateRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.call import Call
    from sycamorehaven.controllers.adopted_tokens import AdoptedTokenResponder
    from sycamorehaven.decisions.idempotency_tokens import IdempotencyToken
    from sycamorehaven.decisions.token_routes import TokenRoute
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

REQUEST_NUMBER_BITS = 62
"""
Size of the random number of a relayed call or of a request for a state.

It is so large that no number occurs twice.
"""
RETRY_AFTER_SECONDS = 2.0
"""``Retry-After`` of a refusal because the token's owner is unreachable."""
DEADLINE_GRACE_SECONDS = 0.5
"""Time past the deadline for which the owner's own refusal is awaited."""
STATE_TIMEOUT_SECONDS = 1.5
"""Time within which a router must send the state of a token."""

tracer = trace.get_tracer("sycamorehaven")


class RelayController(Service):
    """
    Relays calls to the owner of their token or to the owner's successors.

    The owner is the process that minted the token. Its successors are the
    routers that adopt its tokens when it shuts down.

    :param board: shared state of this router.
    :param link: connection to the other routers.
    :param adopted_responder: answers calls whose tokens this router has
        adopted.
    :param clock: returns monotonic time in seconds.
    :param wall_clock: returns seconds since the epoch.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink,
        adopted_responder: AdoptedTokenResponder,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        super().__init__()
        self._board = board
        self._link = link
        self._adopted_responder = adopted_responder
        self._clock = clock
        self._wall_clock = wall_clock
        self._relayed_calls: dict[int, RelayedCall] = {}
        self._state_replies: dict[int, TokenStateReply] = {}
        self._state_targets: dict[int, RouterId] = {}
        self._state_received = Signal()
        self._newest_incarnations: dict[str, int] = {}
        board.members.changed.subscribe(self._update_incarnations)
        link.subscribe(RelayReply, self._handle_reply)
        link.subscribe(RelayRefusal, self._handle_refusal)
        link.subscribe(RelayStatus, self._handle_status)
        link.subscribe(TokenStateReply, self._handle_token_state)

    async def relay(self, call: Call, token: IdempotencyToken) -> Answer:
        """
        Return the answer of the token's owner or of one of its successors.

        :raises Refusal: if they refuse the call, or if none of them answers.
        """
        with tracer.start_as_current_span("relay"):
            self._board.outcomes.count_event("relay")
            route = self._plan_route(token)
            if route.owner:
                answer = await self._call_router(
                    call, token, route.owner, adopted=False
                )
                if answer is not None:
                    return answer
            for host in route.successors:
                answer = await self._call_router(call, token, host, adopted=True)
                if answer is not None:
                    return answer
            raise self._create_refusal(token)

    def _plan_route(self, token: IdempotencyToken) -> TokenRoute:
        members = self._board.members.list()
        return plan_route(token, self._board.identity, members, self._wall_clock())

    def _create_refusal(
        self, token: IdempotencyToken
    ) -> OutcomeUnknown | TokenOwnerUnreachable:
        owner = token.owner.format()
        if self._is_owner_gone(token):
            return OutcomeUnknown(
                f"the router '{owner}', which owns the token, is no longer running",
                was_run="unknown",
            )
        return TokenOwnerUnreachable(
            f"the router '{owner}', which owns the token, does not answer",
            was_run="unknown",
            retry_after=RETRY_AFTER_SECONDS,
        )

    def _is_owner_gone(self, token: IdempotencyToken) -> bool:
        """
        Return whether the process that minted the token has ended for good.
        """
        newest_incarnation = self._newest_incarnations.get(token.host, 0)
        return (
            newest_incarnation > token.incarnation or self._plan_route(token).is_final
        )

    async def _call_router(
        self, call: Call, token: IdempotencyToken, host: str, *, adopted: bool
    ) -> Answer | None:
        """Return a router's answer, or ``None`` if the router has none."""
        if host == self._board.identity.host:
            return self._adopted_responder.answer(call)
        target = self._find_target(host, token, adopted=adopted)
        if target is None:
            return None
        relayed_call = self._open_relayed_call(call, token, target, adopted=adopted)
        try:
            first_part = await self._wait_for_first_part(call, relayed_call, target)
        except BaseException:
            self._close_relayed_call(relayed_call)
            raise
        if first_part is None:
            self._close_relayed_call(relayed_call)
            return None
        body = RelayedBody(relayed_call, lambda: self._close_relayed_call(relayed_call))
        headers = tuple((name, value) for name, value in first_part.headers)
        return Answer(first_part.status, headers, body)

    def _find_target(
        self, host: str, token: IdempotencyToken, *, adopted: bool
    ) -> RouterId | None:
        """Return the process to contact on a host, if the host is a member."""
        member = self._board.members.find(host)
        if member is None:
            return None
        return RouterId(host, member.incarnation) if adopted else token.owner

    def _open_relayed_call(
        self, call: Call, token: IdempotencyToken, target: RouterId, *, adopted: bool
    ) -> RelayedCall:
        relay_number = secrets.randbits(REQUEST_NUMBER_BITS)
        message = RelayCall(
            relay=relay_number,
            owner=token.incarnation,
            adopted=adopted,
            token=call.token,
            request_id=call.request_id,
            workspace=call.workspace.name,
            service=call.service.name,
            method=call.method,
            path=call.path,
            headers=add_trace_headers(call),
            body=call.body,
            priority=call.priority,
            timeout=call.deadline - self._clock(),
            cost_hint=call.cost_hint,
        )

        def send(message: object) -> None:
            self._link.send(target.host, message)

        relayed_call = RelayedCall(message, target, send, self._clock)
        self._relayed_calls[relay_number] = relayed_call
        return relayed_call

    def _close_relayed_call(self, relayed_call: RelayedCall) -> None:
        if self._relayed_calls.pop(relayed_call.number, None) is not None:
            relayed_call.close()

    async def _wait_for_first_part(
        self, call: Call, relayed_call: RelayedCall, target: RouterId
    ) -> RelayReply | None:
        """
        Return the first part, or ``None`` if the router will not answer.

        :raises Refusal: if the router refuses or the deadline passes.
        """
        relayed_call.transmit()
        while not relayed_call.is_decided:
            if self._is_replaced(target) or relayed_call.is_silent:
                return None
            if self._clock() > call.deadline + DEADLINE_GRACE_SECONDS:
                raise DeadlineUnreachable(
                    "the owner of the token has not answered yet",
                    was_run="unknown",
                    retry_after=RETRY_AFTER_SECONDS,
                    remedy="send the same token again after Retry-After seconds",
                )
            if not await relayed_call.changed.wait(RESEND_SECONDS):
                relayed_call.transmit()
        if relayed_call.refusal is not None:
            raise relayed_call.refusal
        return relayed_call.first_part

    def _is_replaced(self, target: RouterId) -> bool:
        """Return whether a process has left the fleet or has restarted."""
        member = self._board.members.find(target.host)
        return member is None or member.incarnation > target.incarnation

    async def look_up(self, token: IdempotencyToken, workspace: str) -> TokenStatus:
        """
        Return the state of a token that another router minted.

        :raises InvalidToken: if the owner says that it did not mint the token
            for the workspace.
        """
        route = self._plan_route(token)
        targets = [(route.owner, False)] if route.owner else []
        targets += [(host, True) for host in route.successors]
        for host, adopted in targets:
            reply = await self._request_state(token, workspace, host, adopted=adopted)
            if reply is not None and reply.state == "invalid":
                raise InvalidToken("the token was not minted for this workspace")
            if reply is not None and reply.state in set(TokenState):
                return TokenStatus(TokenState(reply.state), reply.status)
        if self._is_owner_gone(token):
            return TokenStatus(TokenState.OUTCOME_UNKNOWN)
        return TokenStatus(TokenState.OWNER_UNREACHABLE)

    async def _request_state(
        self, token: IdempotencyToken, workspace: str, host: str, *, adopted: bool
    ) -> TokenStateReply | None:
        """
        Return a router's reply about a token, or ``None`` without a reply.
        """
        text = token.format()
        request_number = secrets.randbits(REQUEST_NUMBER_BITS)
        if host == self._board.identity.host:
            return self._adopted_responder.get_token_state(
                request_number, text, workspace
            )
        target = self._find_target(host, token, adopted=adopted)
        if target is None:
            return None
        message = TokenStateRequest(
            request_number, token.incarnation, adopted, text, workspace
        )
        self._state_targets[request_number] = target
        ends_at = self._clock() + STATE_TIMEOUT_SECONDS
        try:
            while request_number not in self._state_replies and self._clock() < ends_at:
                self._link.send(host, message)
                await self._state_received.wait(RESEND_SECONDS)
            return self._state_replies.pop(request_number, None)
        finally:
            del self._state_targets[request_number]
            self._state_replies.pop(request_number, None)

    def _update_incarnations(self) -> None:
        for member in self._board.members.list():
            self._record_incarnation(member.host, member.incarnation)

    def _record_incarnation(self, host: str, incarnation: int) -> None:
        self._newest_incarnations[host] = max(
            self._newest_incarnations.get(host, 0), incarnation
        )

    def _handle_reply(self, delivery: Delivery) -> None:
        relayed_call = self._relayed_calls.get(delivery.message.relay)
        if relayed_call is not None:
            relayed_call.handle_reply(delivery)

    def _handle_refusal(self, delivery: Delivery) -> None:
        relayed_call = self._relayed_calls.get(delivery.message.relay)
        if relayed_call is not None:
            relayed_call.handle_refusal(delivery)

    def _handle_status(self, delivery: Delivery) -> None:
        self._record_incarnation(delivery.sender.host, delivery.sender.incarnation)
        relayed_call = self._relayed_calls.get(delivery.message.relay)
        if relayed_call is not None:
            relayed_call.handle_status(delivery)

    def _handle_token_state(self, delivery: Delivery) -> None:
        reply: TokenStateReply = delivery.message
        target = self._state_targets.get(reply.number)
        if target is None or target.host != delivery.sender.host:
            return
        if target == delivery.sender or not reply.state:
            self._state_replies[reply.number] = reply
            self._state_received.notify()
