"""Hands used tokens over at a graceful shutdown, and takes others' over."""

from __future__ import annotations

import secrets
import time
from typing import TYPE_CHECKING

from absl import logging
from mode import Service

from sycamorehaven.blackboard.signal import Signal
from sycamorehaven.blackboard.tokens import AdoptedToken
from sycamorehaven.decisions.token_routes import SUCCESSORS, rank_successors
from sycamorehaven.decisions.token_table import RecordedAnswer, State
from sycamorehaven.decisions.tokens import parse_token
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

PART_BYTES = 262_144
"""Bytes of answers in one message; a larger answer goes alone."""
PART_RECORDS = 500
"""Records in one message."""
RESEND = 0.3
"""Seconds without an acknowledgement after which a part is sent again."""
TIMEOUT = 5.0
"""Seconds after which a successor that does not acknowledge is given up."""
NUMBER_BITS = 62
"""Random bits of the number of a part."""


class HandoverController(Service):
    """
    Gives used tokens to successors, who answer resends but never run them.

    :param board: the state of this router.
    :param link: connection to other routers.
    :param clock: monotonic seconds.
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
        self._open: dict[int, tuple[str, TokenHandover]] = {}
        self._acknowledged = Signal()
        link.subscribe(TokenHandover, self._take)
        link.subscribe(TokenHandoverAck, self._take_ack)

    async def hand_over(self) -> bool:
        """Hand everything over; return whether all of it was acknowledged."""
        for host, records in self._group().items():
            for part in split_records(records):
                message = TokenHandover(secrets.randbits(NUMBER_BITS), part)
                self._open[message.number] = (host, message)
        ends = self._clock() + TIMEOUT
        while self._open and self._clock() < ends:
            for host, message in self._open.values():
                self._link.send(host, message)
            await self._wait_for_acks(RESEND)
        if self._open:
            logging.warning("%d parts of tokens not handed over", len(self._open))
        return not self._open

    async def _wait_for_acks(self, seconds: float) -> None:
        ends = self._clock() + seconds
        while self._open and (left := ends - self._clock()) > 0.0:
            await self._acknowledged.wait(left)

    def _group(self) -> dict[str, list[TokenRecord]]:
        members = [
            member
            for member in self._board.members.list()
            if member.host != self._board.identity.host
        ]
        groups: dict[str, list[TokenRecord]] = {}
        for record in self._list_records():
            token = parse_token(record.token)
            if token is None:
                continue
            for host in rank_successors(token, members, SUCCESSORS):
                groups.setdefault(host, []).append(record)
        return groups

    def _list_records(self) -> Iterator[TokenRecord]:
        for text, entry in self._board.tokens.table.entries.items():
            if entry.state is State.UNUSED:
                continue
            yield create_record(
                AdoptedToken(
                    text, entry.workspace, entry.request, entry.state, entry.answer
                )
            )
        for adopted in self._board.tokens.adopted.list():
            yield create_record(adopted)

    def _take(self, delivery: Delivery) -> None:
        message: TokenHandover = delivery.message
        for record in message.records:
            self._board.tokens.adopted.add(read_record(record))
        self._link.send_to(delivery.address, TokenHandoverAck(message.number))

    def _take_ack(self, delivery: Delivery) -> None:
        self._open.pop(delivery.message.number, None)
        self._acknowledged.notify()


def create_record(used: AdoptedToken) -> TokenRecord:
    """Return what a successor is told; a run cut short is unknown to it."""
    answer = used.answer or RecordedAnswer(0, (), b"")
    return TokenRecord(
        token=used.token,
        workspace=used.workspace,
        request=used.request,
        finished=used.state is State.FINISHED,
        status=answer.status,
        headers=list(answer.headers),
        body=answer.body,
    )


def read_record(record: TokenRecord) -> AdoptedToken:
    """Return what a hand-over says of a token."""
    headers = tuple((name, value) for name, value in record.headers)
    answer = RecordedAnswer(record.status, headers, record.body)
    return AdoptedToken(
        token=record.token,
        workspace=record.workspace,
        request=record.request,
        state=State.FINISHED if record.finished else State.OUTCOME_UNKNOWN,
        answer=answer if record.status else None,
    )


def split_records(records: Iterable[TokenRecord]) -> Iterator[list[TokenRecord]]:
    """Yield the records in parts that fit a message."""
    part: list[TokenRecord] = []
    size = 0
    for record in records:
        headers = sum(len(name) + len(value) for name, value in record.headers)
        added = len(record.body) + len(record.token) + headers
        if part and (size + added > PART_BYTES or len(part) >= PART_RECORDS):
            yield part
            part, size = [], 0
        part.append(record)
        size += added
    if part:
        yield part
