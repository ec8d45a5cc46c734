"""
Idempotency tokens: their text, their MAC and the request that they stand for.

A token names the router process that minted it. Only that process can check
the MAC, and only that process ever runs a call with the token.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import xxhash

from sycamorehaven.identity import INCARNATION_RANDOM_BITS, RouterId

if TYPE_CHECKING:
    from sycamorehaven.call import Call

NONCE_BYTES = 12
"""Random bytes of a token."""
MAC_BYTES = 16
"""Bytes kept of the HMAC-SHA256."""
MAX_TEXT_CHARACTERS = 256
"""Characters of the longest token text."""
MAX_HOST_CHARACTERS = 64
"""Characters of the longest host name."""


class IdempotencyToken(NamedTuple):
    """
    An idempotency token.

    :ivar host: host of the router that minted it.
    :ivar incarnation: incarnation of that router's process.
    :ivar expires_after: milliseconds from the start of that process, on its
        monotonic clock, after which the token is not run any more.
    :ivar nonce: random bytes that tell it from the others of the process.
    :ivar mac: proves that the process minted it for the workspace.
    """

    host: str
    incarnation: int
    expires_after_ms: int
    nonce: bytes
    mac: bytes

    @property
    def owner(self) -> RouterId:
        """The one process that may run a call with the token."""
        return RouterId(self.host, self.incarnation)

    @property
    def expires_at_epoch(self) -> float:
        """Expiry by the owner's wall clock, seconds since the epoch."""
        return (
            (self.incarnation >> INCARNATION_RANDOM_BITS) + self.expires_after_ms
        ) / 1000

    def format(self) -> str:
        """Return the text of the token, safe in URLs and headers."""
        data = msgspec.msgpack.encode(self)
        return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def mint_token(
    owner: RouterId, expires_after_ms: int, nonce: bytes, key: bytes, workspace: str
) -> IdempotencyToken:
    """
    Return a new token.

    :param owner: the minting process.
    :param expires_after: milliseconds from the start of that process.
    :param nonce: ``NONCE_BYTES`` random bytes.
    :param key: MAC key of that process.
    :param workspace: the only workspace that may use the token.
    """
    token = IdempotencyToken(
        owner.host, owner.incarnation, expires_after_ms, nonce, b""
    )
    return token._replace(mac=_compute_mac(token, key, workspace))


def parse_token(text: str) -> IdempotencyToken | None:
    """
    Return the token that a text stands for, ``None`` if it is not one.

    Each token has exactly one text, so that the text can serve as its key.
    """
    if not text or len(text) > MAX_TEXT_CHARACTERS or not text.isascii():
        return None
    padding = "=" * (-len(text) % 4)
    try:
        data = base64.b64decode(text + padding, altchars=b"-_", validate=True)
        token = msgspec.msgpack.decode(data, type=IdempotencyToken)
    except (binascii.Error, msgspec.MsgspecError, UnicodeError):
        return None
    sizes = (len(token.nonce), len(token.mac))
    if sizes != (NONCE_BYTES, MAC_BYTES) or len(token.host) > MAX_HOST_CHARACTERS:
        return None
    if token.incarnation < 0 or token.expires_after_ms < 0 or token.format() != text:
        return None
    return token


def verify_token(token: IdempotencyToken, key: bytes, workspace: str) -> bool:
    """Return whether the holder of ``key`` minted it for the workspace."""
    return hmac.compare_digest(token.mac, _compute_mac(token, key, workspace))


def _compute_mac(token: IdempotencyToken, key: bytes, workspace: str) -> bytes:
    signed = msgspec.msgpack.encode((*token[:4], workspace))
    return hmac.digest(key, signed, hashlib.sha256)[:MAC_BYTES]


def fingerprint_request(call: Call) -> bytes:
    """Return 16 bytes that tell the request of a call from others."""
    parts = (call.workspace.name, call.service.name, call.method, call.path, call.body)
    return xxhash.xxh3_128_digest(msgspec.msgpack.encode(parts))
