"""The envelope around a message, and its bounds."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 2_097_152
"""Largest encoded envelope, bytes: a relayed body and its headers."""
MAX_CONTROL_MESSAGE_BYTES = 262_144
"""Largest encoded message, bytes, of a kind that carries no bodies."""


class Envelope(NamedTuple):
    """
    What travels: a version, a kind, the sender and the encoded message.

    :ivar version: protocol version.
    :ivar kind: index into ``MESSAGE_KINDS``.
    :ivar host: the sender's host.
    :ivar incarnation: the sender's incarnation.
    :ivar address: ``ip:port`` at which the sender takes messages.
    :ivar body: the message, msgpack.
    """

    version: int
    kind: int
    host: str
    incarnation: int
    address: str
    body: msgspec.Raw
