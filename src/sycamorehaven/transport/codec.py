"""Encodes messages between routers, and decodes them within size limits."""

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
"""Most bytes that an envelope adds to a message."""


class MessageError(SycamorehavenError):
    """A message can't be encoded, or received bytes can't be decoded."""

    code = "bad_peer_message"
    remedy = "run one version of the protocol on all routers"


class Delivery(NamedTuple):
    """
    A decoded message and its sender.

    :ivar sender: the router that sent the message.
    :ivar address: ``ip:port`` at which the sender receives messages.
    :ivar message: an instance of one of ``MESSAGE_KINDS``.
    """

    sender: RouterId
    address: str
    message: Any


class Codec:
    """
    Encodes the messages of this router and decodes those of others.

    :param sender: the identity of this router.
    :param address: ``ip:port`` at which this router receives messages.
    """

    def __init__(self, sender: RouterId, address: str) -> None:
        self._sender = sender
        self._address = address
        self._encoder = msgspec.msgpack.Encoder()
        self._envelope_decoder = msgspec.msgpack.Decoder(Envelope)
        self._body_decoders: list[msgspec.msgpack.Decoder[Any]] = [
            msgspec.msgpack.Decoder(message_type) for message_type in MESSAGE_KINDS
        ]
        self._kinds_by_type = {
            message_type: kind for kind, message_type in enumerate(MESSAGE_KINDS)
        }

    def encode(self, message: object) -> bytes:
        """
        Return the bytes of an envelope around ``message``.

        :raises MessageError: if it is none of ``MESSAGE_KINDS``, is larger
            than peers accept, or has fields that cannot be encoded.
        """
        kind = self._kinds_by_type.get(type(message))
        if kind is None:
            raise MessageError(
                f"'{type(message).__name__}' is not a known kind of message"
            )
        try:
            body = self._encoder.encode(message)
        except (TypeError, ValueError, OverflowError, RecursionError) as error:
            raise MessageError(
                f"'{type(message).__name__}' cannot be encoded: {error}"
            ) from error
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
        Return the message in ``data`` with its sender.

        :raises MessageError: for anything but a message of this protocol
            version.
        """
        if len(data) > MAX_MESSAGE_BYTES + MAX_ENVELOPE_OVERHEAD_BYTES:
            raise MessageError(
                f"a message of {len(data)} bytes exceeds the limit for every kind"
            )
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
    Check the values of an envelope whose types the decoder has checked.

    :raises MessageError: for another protocol version or a field that is out
        of bounds.
    """
    if envelope.version != PROTOCOL_VERSION:
        raise MessageError(f"protocol version {envelope.version} is not supported")
    if not 0 <= envelope.kind < len(MESSAGE_KINDS):
        raise MessageError(f"message kind {envelope.kind} is unknown")
    if not 0 < envelope.incarnation < 2**63:
        raise MessageError(f"incarnation {envelope.incarnation} is out of bounds")
    if not 0 < len(envelope.host) <= MAX_NAME_LENGTH >= len(envelope.address):
        raise MessageError("the sender's host or address is empty or too long")
    check_message_size(envelope.kind, len(bytes(envelope.body)))


def check_message_size(kind: int, size: int) -> None:
    """
    Check the size of an encoded message before it is decoded or sent.

    :param kind: index into ``MESSAGE_KINDS``.
    :param size: size of the encoded message, bytes.
    :raises MessageError: if it exceeds the limit of its kind.
    """
    message_type = MESSAGE_KINDS[kind]
    limit = (
        MAX_MESSAGE_BYTES
        if message_type in BULK_MESSAGE_KINDS
        else MAX_CONTROL_MESSAGE_BYTES
    )
    if size > limit:
        raise MessageError(
            f"{size} bytes exceed the size limit of a '{message_type.__name__}'"
        )
