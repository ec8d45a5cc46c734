"""Answers from tokens taken over from routers that shut down."""

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
    Answers resends; it never runs a call.

    :param board: the state of this router.
    """

    def __init__(self, board: Blackboard) -> None:
        self._board = board

    def answer(self, call: Call) -> Answer | None:
        """
        Return the recorded answer, ``None`` if the token is not known here.

        :raises Refusal: if the token is known but has no answer for the call.
        """
        adopted = self._board.tokens.adopted.find(call.token, call.workspace.name)
        if adopted is None:
            return None
        if adopted.request != fingerprint_request(call):
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
        """Return the state of a token; empty if it is not known here."""
        adopted = self._board.tokens.adopted.find(token, workspace)
        if adopted is None:
            return TokenStateReply(number, "", 0)
        status = adopted.answer.status if adopted.answer else 0
        return TokenStateReply(number, adopted.state.value, status)
