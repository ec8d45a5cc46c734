"""Encoding and bounded decoding of messages between routers."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from sycamorehaven.exceptions.base import SycamorehavenError
from sycamorehaven.identity import RouterId
from sycamorehaven.transport.messages.envelope import (
    MAX_CONTROL_MESSAGE_BYTES,
    MAX_MESSAGE_BYTES,
    PROTOCOL_VERSION,
    Envelope,
)
from sycamorehaven.transport.messages.field_types import MAX_NAME_LENGTH
from sycamorehaven.transport.messages.kinds import BULK_MESSAGE_KINDS, MESSAGE_KINDS

MAX_ENVELOPE_OVERHEAD_BYTES = 320
"""Most that an envelope adds to a message, bytes."""


class MessageError(SycamorehavenError):
    """Bytes from a peer are not a message of this protocol version."""

    code = "bad_peer_message"
    remedy = "run one version of the protocol on all routers"


class Delivery(NamedTuple):
    """
    A decoded message and where it came from.

    :ivar sender: the sending router.
    :ivar address: ``ip:port`` at which it takes messages.
    :ivar message: one of ``MESSAGE_KINDS``.
    """

    sender: RouterId
    address: str
    message: Any


class Codec:
    """Encodes messages of one router and decodes those of others."""

    def __init__(self, sender: RouterId, address: str) -> None:
        self._sender = sender
        self._address = address
        self._encoder = msgspec.msgpack.Encoder()
        self._envelope_decoder = msgspec.msgpack.Decoder(Envelope)
        self._body_decoders: list[msgspec.msgpack.Decoder[Any]] = [
            msgspec.msgpack.Decoder(kind) for kind in MESSAGE_KINDS
        ]
        self._kind_numbers = {kind: number for number, kind in enumerate(MESSAGE_KINDS)}

    def encode(self, message: object) -> bytes:
        """
        Return the bytes of an envelope around ``message``.

        :raises MessageError: if it is larger than peers accept, or its
            fields cannot be encoded.
        """
        kind = self._kind_numbers.get(type(message))
        if kind is None:
            raise MessageError(f"no kind of message: {type(message).__name__}")
        try:
            body = self._encoder.encode(message)
        except (TypeError, ValueError, OverflowError, RecursionError) as error:
            raise MessageError(f"{type(message).__name__}: {error}") from error
        check_message_size(kind, len(body))
        envelope = Envelope(
            PROTOCOL_VERSION,
            kind,
            self._sender.host,
            self._sender.incarnation,
            self._address,
            msgspec.Raw(body),
        )
        return self._encoder.encode(envelope)

    def decode(self, data: bytes) -> Delivery:
        """
        Return the message in ``data``.

        :raises MessageError: for anything but a message of this version.
        """
        if len(data) > MAX_MESSAGE_BYTES + MAX_ENVELOPE_OVERHEAD_BYTES:
            raise MessageError(f"{len(data)} bytes in one message")
        try:
            envelope = self._envelope_decoder.decode(data)
            check_envelope(envelope)
            message = self._body_decoders[envelope.kind].decode(envelope.body)
        except (msgspec.MsgspecError, RecursionError, UnicodeError) as error:
            raise MessageError(str(error)) from error
        sender = RouterId(envelope.host, envelope.incarnation)
        return Delivery(sender, envelope.address, message)


def check_envelope(envelope: Envelope) -> None:
    """
    Check what is not checked by type.

    :raises MessageError: for a foreign version or a field out of bounds.
    """
    if envelope.version != PROTOCOL_VERSION:
        raise MessageError(f"protocol version {envelope.version}")
    if not 0 <= envelope.kind < len(MESSAGE_KINDS):
        raise MessageError(f"message kind {envelope.kind}")
    if not 0 < envelope.incarnation < 2**63:
        raise MessageError(f"incarnation {envelope.incarnation}")
    if not 0 < len(envelope.host) <= MAX_NAME_LENGTH >= len(envelope.address):
        raise MessageError("a sender's name out of bounds")
    check_message_size(envelope.kind, len(bytes(envelope.body)))


def check_message_size(kind: int, size: int) -> None:
    """
    Check the size of an encoded message before it is decoded or sent.

    :raises MessageError: if it is larger than its kind may be.
    """
    message = MESSAGE_KINDS[kind]
    limit = (
        MAX_MESSAGE_BYTES
        if message in BULK_MESSAGE_KINDS
        else MAX_CONTROL_MESSAGE_BYTES
    )
    if size > limit:
        raise MessageError(f"{size} bytes in one {message.__name__}")
