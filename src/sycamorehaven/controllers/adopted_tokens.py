"""
Answers calls whose idempotency tokens were taken over from other routers.

A router that shuts down hands its used tokens over to its successors.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.controllers.tokens import (
    create_replayed_answer,
    create_token_refusal,
)
from sycamorehaven.decisions.idempotency_tokens import fingerprint_request
from sycamorehaven.decisions.token_table import ClaimAction, TokenState
from sycamorehaven.transport.messages.tokens import TokenStateReply

if TYPE_CHECKING:
    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.call import Answer, Call


class AdoptedTokenResponder:
    """
    Answers repeated calls from adopted tokens; never runs a call.

    :param board: shared state of this router.
    """

    def __init__(self, board: Blackboard) -> None:
        self._board = board

    def answer(self, call: Call) -> Answer | None:
        """
        Return the recorded answer, or ``None`` if the token is unknown here.

        :raises Refusal: if the token is known, but there is no answer that
            could be repeated for this call.
        """
        adopted = self._board.tokens.adopted_tokens.find(
            call.token, call.workspace.name
        )
        if adopted is None:
            return None
        if adopted.request_fingerprint != fingerprint_request(call):
            raise create_token_refusal(ClaimAction.MISMATCH)
        if adopted.state is not TokenState.FINISHED:
            raise create_token_refusal(ClaimAction.OUTCOME_UNKNOWN)
        if adopted.answer is None:
            raise create_token_refusal(ClaimAction.ANSWER_GONE)
        self._board.outcomes.count_event("token_replay")
        return create_replayed_answer(adopted.answer)

    def get_token_state(
        self, number: int, token: str, workspace: str
    ) -> TokenStateReply:
        """
        Return the state of a token.

        The state is empty if the token is unknown to this router.
        """
        adopted = self._board.tokens.adopted_tokens.find(token, workspace)
        if adopted is None:
            return TokenStateReply(number, "", 0)
        status = adopted.answer.status if adopted.answer else 0
        return TokenStateReply(number, adopted.state.value, status)
