"""Hands used tokens over at shutdown, and adopts those of other routers."""

from __future__ import annotations

import secrets
import time
from typing import TYPE_CHECKING

from absl import logging
from mode import Service

from sycamorehaven.blackboard.signal import Signal
from sycamorehaven.blackboard.tokens import AdoptedToken
from sycamorehaven.decisions.idempotency_tokens import parse_token
from sycamorehaven.decisions.token_routes import SUCCESSOR_COUNT, rank_successors
from sycamorehaven.decisions.token_table import RecordedAnswer, TokenState
from sycamorehaven.transport.messages.tokens import (
    TokenHandover,
    TokenHandoverAck,
    TokenRecord,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

MAX_PART_BYTES = 262_144
"""Bytes of answers in one message; a larger answer is sent alone."""
MAX_PART_RECORDS = 500
"""Number of token records in one message."""
RESEND_SECONDS = 0.3
"""Time without an acknowledgement after which a part is resent."""
HANDOVER_TIMEOUT_SECONDS = 5.0
"""Time after which parts that are not acknowledged are given up."""
PART_NUMBER_BITS = 62
"""Size of the random number that identifies a part."""


class HandoverController(Service):
    """
    Sends used tokens to successors, which repeat answers but never run calls.

    :param board: shared state of this router.
    :param link: connection to the other routers.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._board = board
        self._link = link
        self._clock = clock
        self._unacknowledged: dict[int, tuple[str, TokenHandover]] = {}
        self._ack_received = Signal()
        link.subscribe(TokenHandover, self._handle_handover)
        link.subscribe(TokenHandoverAck, self._handle_ack)

    async def hand_over(self) -> bool:
        """
        Hand all used tokens over to their successors.

        :returns: whether all parts were acknowledged.
        """
        for host, records in self._group_by_successor().items():
            for part in split_records(records):
                message = TokenHandover(secrets.randbits(PART_NUMBER_BITS), part)
                self._unacknowledged[message.number] = (host, message)
        ends_at = self._clock() + HANDOVER_TIMEOUT_SECONDS
        while self._unacknowledged and self._clock() < ends_at:
            for host, message in self._unacknowledged.values():
                self._link.send(host, message)
            await self._wait_for_acks(RESEND_SECONDS)
        if self._unacknowledged:
            logging.warning(
                "%d parts of the token handover were not acknowledged",
                len(self._unacknowledged),
            )
        return not self._unacknowledged

    async def _wait_for_acks(self, seconds: float) -> None:
        ends_at = self._clock() + seconds
        while self._unacknowledged and (remaining := ends_at - self._clock()) > 0.0:
            await self._ack_received.wait(remaining)

    def _group_by_successor(self) -> dict[str, list[TokenRecord]]:
        """Return the records for each successor host."""
        members = [
            member
            for member in self._board.members.list()
            if member.host != self._board.identity.host
        ]
        groups: dict[str, list[TokenRecord]] = {}
        for record in self._list_used_tokens():
            token = parse_token(record.token)
            if token is None:
                continue
            for host in rank_successors(token, members, SUCCESSOR_COUNT):
                groups.setdefault(host, []).append(record)
        return groups

    def _list_used_tokens(self) -> Iterator[TokenRecord]:
        for text, entry in self._board.tokens.token_table.entries.items():
            if entry.state is TokenState.UNUSED:
                continue
            yield encode_record(
                AdoptedToken(
                    text, entry.workspace, entry.fingerprint, entry.state, entry.answer
                )
            )
        for adopted in self._board.tokens.adopted_tokens.list():
            yield encode_record(adopted)

    def _handle_handover(self, delivery: Delivery) -> None:
        message: TokenHandover = delivery.message
        for record in message.records:
            self._board.tokens.adopted_tokens.add(decode_record(record))
        self._link.send_to(delivery.address, TokenHandoverAck(message.number))

    def _handle_ack(self, delivery: Delivery) -> None:
        self._unacknowledged.pop(delivery.message.number, None)
        self._ack_received.notify()


def encode_record(adopted: AdoptedToken) -> TokenRecord:
    """
    Return the record that is sent to a successor.

    A run that had not finished is recorded with an unknown outcome.
    """
    answer = adopted.answer or RecordedAnswer(0, (), b"")
    return TokenRecord(
        token=adopted.token,
        workspace=adopted.workspace,
        request=adopted.request_fingerprint,
        finished=adopted.state is TokenState.FINISHED,
        status=answer.status,
        headers=list(answer.headers),
        body=answer.body,
    )


def decode_record(record: TokenRecord) -> AdoptedToken:
    """Return the adopted token that a received record describes."""
    headers = tuple((name, value) for name, value in record.headers)
    answer = RecordedAnswer(record.status, headers, record.body)
    return AdoptedToken(
        token=record.token,
        workspace=record.workspace,
        request_fingerprint=record.request,
        state=TokenState.FINISHED if record.finished else TokenState.OUTCOME_UNKNOWN,
        answer=answer if record.status else None,
    )


def split_records(records: Iterable[TokenRecord]) -> Iterator[list[TokenRecord]]:
    """Yield the records in groups that fit into one message each."""
    part: list[TokenRecord] = []
    part_bytes = 0
    for record in records:
        header_bytes = sum(len(name) + len(value) for name, value in record.headers)
        record_bytes = len(record.body) + len(record.token) + header_bytes
        if part and (
            part_bytes + record_bytes > MAX_PART_BYTES or len(part) >= MAX_PART_RECORDS
        ):
            yield part
            part, part_bytes = [], 0
        part.append(record)
        part_bytes += record_bytes
    if part:
        yield part
