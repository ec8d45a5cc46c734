"""Encoding and bounded decoding of messages between routers."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from sycamorehaven.exceptions.base import SycamorehavenError
from sycamorehaven.identity import RouterId
from sycamorehaven.transport.messages import (
    LARGEST_MESSAGE,
    MESSAGE_KINDS,
    PROTOCOL_VERSION,
    Envelope,
)


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
        self._envelopes = msgspec.msgpack.Decoder(Envelope)
        self._bodies: list[msgspec.msgpack.Decoder[Any]] = [
            msgspec.msgpack.Decoder(kind) for kind in MESSAGE_KINDS
        ]
        self._numbers = {kind: number for number, kind in enumerate(MESSAGE_KINDS)}

    def encode(self, message: object) -> bytes:
        """
        Return the bytes of an envelope around ``message``.

        :raises MessageError: if it is larger than peers accept.
        """
        body = msgspec.Raw(self._encoder.encode(message))
        kind = self._numbers[type(message)]
        envelope = Envelope(
            PROTOCOL_VERSION,
            kind,
            self._sender.host,
            self._sender.incarnation,
            self._address,
            body,
        )
        data = self._encoder.encode(envelope)
        if len(data) > LARGEST_MESSAGE:
            raise MessageError(f"{len(data)} bytes in one message")
        return data

    def decode(self, data: bytes) -> Delivery:
        """
        Return the message in ``data``.

        :raises MessageError: for anything but a message of this version.
        """
        if len(data) > LARGEST_MESSAGE:
            raise MessageError(f"{len(data)} bytes in one message")
        try:
            envelope = self._envelopes.decode(data)
            if envelope.version != PROTOCOL_VERSION:
                raise MessageError(f"protocol version {envelope.version}")
            if not 0 <= envelope.kind < len(self._bodies):
                raise MessageError(f"message kind {envelope.kind}")
            message = self._bodies[envelope.kind].decode(envelope.body)
        except (msgspec.MsgspecError, RecursionError, UnicodeError) as error:
            raise MessageError(str(error)) from error
        sender = RouterId(envelope.host, envelope.incarnation)
        return Delivery(sender, envelope.address, message)
