"""The envelope around every message, and the size limits of messages."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

PROTOCOL_VERSION = 1
"""Version of the protocol between routers; others are rejected."""
MAX_MESSAGE_BYTES = 2_097_152
"""Largest encoded message; fits a relayed body with its headers."""
MAX_CONTROL_MESSAGE_BYTES = 262_144
"""Largest encoded message of a kind that carries no bodies."""


class Envelope(NamedTuple):
    """
    The unit that is sent: the sender's identity and an encoded message.

    :ivar version: version of the protocol.
    :ivar kind: kind of the message, an index into ``MESSAGE_KINDS``.
    :ivar host: host of the sender.
    :ivar incarnation: incarnation of the sender.
    :ivar address: ``ip:port`` at which the sender receives messages.
    :ivar body: the message, encoded with msgpack.
    """

    version: int
    kind: int
    host: str
    incarnation: int
    address: str
    body: msgspec.Raw
