"""Relays calls with tokens to the routers that minted the tokens."""

from __future__ import annotations

import secrets
import time
from typing import TYPE_CHECKING

from mode import Service
from opentelemetry import trace

from sycamorehaven.blackboard.signal import Signal
from sycamorehaven.call import Answer
from sycamorehaven.controllers.relay_requests import write_headers
from sycamorehaven.controllers.relayed_calls import (
    RESEND,
    Exchange,
    RelayedBody,
)
from sycamorehaven.controllers.tokens import TokenStatus
from sycamorehaven.decisions.token_routes import plan_route
from sycamorehaven.decisions.token_table import State
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
    from sycamorehaven.controllers.adoption import Adoption
    from sycamorehaven.decisions.token_routes import TokenRoute
    from sycamorehaven.decisions.tokens import Token
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

NUMBER_BITS = 62
"""Random bits of the number of a relayed call: no two are ever alike."""
RETRY_AFTER = 2.0
"""Seconds after which a caller may ask for an unreachable owner again."""
DEADLINE_GRACE = 0.5
"""Seconds past the deadline for which the owner's own word is awaited."""
STATE_TIMEOUT = 1.5
"""Seconds in which a router must tell the state of a token."""

tracer = trace.get_tracer("sycamorehaven")


class RelayController(Service):
    """
    Asks the owner of a token, or those who took its tokens over.

    :param board: the state of this router.
    :param link: connection to other routers.
    :param adoption: answers from tokens that this router took over.
    :param clock: monotonic seconds.
    :param wall_clock: seconds since the epoch.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink,
        adoption: Adoption,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        super().__init__()
        self._board = board
        self._link = link
        self._adoption = adoption
        self._clock = clock
        self._wall_clock = wall_clock
        self._exchanges: dict[int, Exchange] = {}
        self._states: dict[int, TokenStateReply] = {}
        self._asked: dict[int, RouterId] = {}
        self._answered = Signal()
        self._newest: dict[str, int] = {}
        board.members.changed.subscribe(self._note_members)
        link.subscribe(RelayReply, self._take_reply)
        link.subscribe(RelayRefusal, self._take_refusal)
        link.subscribe(RelayStatus, self._take_status)
        link.subscribe(TokenStateReply, self._take_state)

    async def relay(self, call: Call, token: Token) -> Answer:
        """
        Return the answer of the token's owner or of its successor.

        :raises Refusal: theirs, or that the outcome is not known.
        """
        with tracer.start_as_current_span("relay"):
            self._board.outcomes.count_event("relay")
            route = self._plan(token)
            if route.owner:
                answer = await self._ask(call, token, route.owner, adopted=False)
                if answer is not None:
                    return answer
            for host in route.successors:
                answer = await self._ask(call, token, host, adopted=True)
                if answer is not None:
                    return answer
            raise self._give_up(token)

    def _plan(self, token: Token) -> TokenRoute:
        members = self._board.members.list()
        return plan_route(token, self._board.identity, members, self._wall_clock())

    def _give_up(self, token: Token) -> OutcomeUnknown | TokenOwnerUnreachable:
        owner = token.owner.format()
        if self._is_final(token):
            return OutcomeUnknown(f"router {owner} is gone", was_run="unknown")
        return TokenOwnerUnreachable(
            f"router {owner} does not answer",
            was_run="unknown",
            retry_after=RETRY_AFTER,
        )

    def _is_final(self, token: Token) -> bool:
        newest = self._newest.get(token.host, 0)
        return newest > token.incarnation or self._plan(token).final

    async def _ask(
        self, call: Call, token: Token, host: str, *, adopted: bool
    ) -> Answer | None:
        if host == self._board.identity.host:
            return self._adoption.answer(call)
        asked = self._find_process(host, token, adopted=adopted)
        if asked is None:
            return None
        exchange = self._open(call, token, asked, adopted=adopted)
        try:
            head = await self._converse(call, exchange, asked)
        except BaseException:
            self._close(exchange)
            raise
        if head is None:
            self._close(exchange)
            return None
        body = RelayedBody(exchange, lambda: self._close(exchange))
        headers = tuple((name, value) for name, value in head.headers)
        return Answer(head.status, headers, body)

    def _find_process(
        self, host: str, token: Token, *, adopted: bool
    ) -> RouterId | None:
        member = self._board.members.find(host)
        if member is None:
            return None
        return RouterId(host, member.incarnation) if adopted else token.owner

    def _open(
        self, call: Call, token: Token, asked: RouterId, *, adopted: bool
    ) -> Exchange:
        number = secrets.randbits(NUMBER_BITS)
        message = RelayCall(
            relay=number,
            owner=token.incarnation,
            adopted=adopted,
            token=call.token,
            request_id=call.request_id,
            workspace=call.workspace.name,
            service=call.service.name,
            method=call.method,
            path=call.path,
            headers=write_headers(call),
            body=call.body,
            priority=call.priority,
            timeout=call.deadline - self._clock(),
            cost_hint=call.cost_hint,
        )

        def send(message: object) -> None:
            self._link.send(asked.host, message)

        exchange = Exchange(message, asked, send, self._clock)
        self._exchanges[number] = exchange
        return exchange

    def _close(self, exchange: Exchange) -> None:
        if self._exchanges.pop(exchange.number, None) is not None:
            exchange.close()

    async def _converse(
        self, call: Call, exchange: Exchange, asked: RouterId
    ) -> RelayReply | None:
        exchange.post()
        while not exchange.decided:
            if self._is_replaced(asked) or exchange.silent:
                return None
            if self._clock() > call.deadline + DEADLINE_GRACE:
                raise DeadlineUnreachable(
                    "the owner of the token has not answered yet",
                    was_run="unknown",
                    retry_after=RETRY_AFTER,
                    remedy="send the same token again after Retry-After seconds",
                )
            if not await exchange.changed.wait(RESEND):
                exchange.post()
        if exchange.refusal is not None:
            raise exchange.refusal
        return exchange.head

    def _is_replaced(self, asked: RouterId) -> bool:
        member = self._board.members.find(asked.host)
        return member is None or member.incarnation > asked.incarnation

    async def look_up(self, token: Token, workspace: str) -> TokenStatus:
        """
        Return the state of another router's token.

        :raises InvalidToken: if its owner says that it is forged.
        """
        route = self._plan(token)
        asked = [(route.owner, False)] if route.owner else []
        asked += [(host, True) for host in route.successors]
        for host, adopted in asked:
            reply = await self._ask_state(token, workspace, host, adopted=adopted)
            if reply is not None and reply.state == "invalid":
                raise InvalidToken("the token was not minted for this workspace")
            if reply is not None and reply.state in set(State):
                return TokenStatus(State(reply.state), reply.status)
        if self._is_final(token):
            return TokenStatus(State.OUTCOME_UNKNOWN)
        return TokenStatus(State.OWNER_UNREACHABLE)

    async def _ask_state(
        self, token: Token, workspace: str, host: str, *, adopted: bool
    ) -> TokenStateReply | None:
        text = token.format()
        number = secrets.randbits(NUMBER_BITS)
        if host == self._board.identity.host:
            return self._adoption.describe(number, text, workspace)
        asked = self._find_process(host, token, adopted=adopted)
        if asked is None:
            return None
        message = TokenStateRequest(number, token.incarnation, adopted, text, workspace)
        self._asked[number] = asked
        ends = self._clock() + STATE_TIMEOUT
        try:
            while number not in self._states and self._clock() < ends:
                self._link.send(host, message)
                await self._answered.wait(RESEND)
            return self._states.pop(number, None)
        finally:
            del self._asked[number]
            self._states.pop(number, None)

    def _note_members(self) -> None:
        for member in self._board.members.list():
            self._note_process(member.host, member.incarnation)

    def _note_process(self, host: str, incarnation: int) -> None:
        self._newest[host] = max(self._newest.get(host, 0), incarnation)

    def _take_reply(self, delivery: Delivery) -> None:
        exchange = self._exchanges.get(delivery.message.relay)
        if exchange is not None:
            exchange.take_reply(delivery)

    def _take_refusal(self, delivery: Delivery) -> None:
        exchange = self._exchanges.get(delivery.message.relay)
        if exchange is not None:
            exchange.take_refusal(delivery)

    def _take_status(self, delivery: Delivery) -> None:
        self._note_process(delivery.sender.host, delivery.sender.incarnation)
        exchange = self._exchanges.get(delivery.message.relay)
        if exchange is not None:
            exchange.take_status(delivery)

    def _take_state(self, delivery: Delivery) -> None:
        reply: TokenStateReply = delivery.message
        asked = self._asked.get(reply.number)
        if asked is None or asked.host != delivery.sender.host:
            return
        if asked == delivery.sender or not reply.state:
            self._states[reply.number] = reply
            self._answered.notify()
