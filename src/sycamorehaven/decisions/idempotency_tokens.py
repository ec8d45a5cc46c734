"""
Text form and MAC of idempotency tokens, and fingerprints of their requests.

A token names the router process that minted it. Only that process can verify
the MAC, and only that process runs calls with the token.
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
"""Random bytes in a token."""
MAC_BYTES = 16
"""Length to which the HMAC-SHA256 is truncated."""
MAX_TEXT_CHARACTERS = 256
"""Longest text of a token that is accepted."""
MAX_HOST_CHARACTERS = 64
"""Longest host name in a token that is accepted."""


class IdempotencyToken(NamedTuple):
    """
    Token with which a caller may repeat a call that must run only once.

    :ivar host: host of the router that minted the token.
    :ivar incarnation: incarnation of the minting process.
    :ivar expires_after_ms: expiry, in milliseconds since the start of the
        minting process by its monotonic clock.
    :ivar nonce: random bytes that make the token unique in its process.
    :ivar mac: MAC that proves which process minted the token and for which
        workspace.
    """

    host: str
    incarnation: int
    expires_after_ms: int
    nonce: bytes
    mac: bytes

    @property
    def owner(self) -> RouterId:
        """Identity of the only process that may run a call with the token."""
        return RouterId(self.host, self.incarnation)

    @property
    def expires_at_epoch(self) -> float:
        """Expiry by the owner's wall clock, seconds since the epoch."""
        return (
            (self.incarnation >> INCARNATION_RANDOM_BITS) + self.expires_after_ms
        ) / 1000

    def format(self) -> str:
        """Return the text of the token, which is safe in URLs and headers."""
        data = msgspec.msgpack.encode(self)
        return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def mint_token(
    owner: RouterId, expires_after_ms: int, nonce: bytes, key: bytes, workspace: str
) -> IdempotencyToken:
    """
    Return a new token.

    :param owner: identity of the minting process.
    :param expires_after_ms: milliseconds from the start of that process to the
        expiry of the token.
    :param nonce: ``NONCE_BYTES`` random bytes.
    :param key: MAC key of that process.
    :param workspace: name of the only workspace that may use the token.
    """
    token = IdempotencyToken(
        owner.host, owner.incarnation, expires_after_ms, nonce, b""
    )
    return token._replace(mac=_compute_mac(token, key, workspace))


def parse_token(text: str) -> IdempotencyToken | None:
    """
    Return the token for a text, or ``None`` if the text is not valid.

    Each token has exactly one valid text, so the text identifies the token.
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
    """Return whether a token was minted with ``key`` for a workspace."""
    return hmac.compare_digest(token.mac, _compute_mac(token, key, workspace))


def _compute_mac(token: IdempotencyToken, key: bytes, workspace: str) -> bytes:
    signed = msgspec.msgpack.encode((*token[:4], workspace))
    return hmac.digest(key, signed, hashlib.sha256)[:MAC_BYTES]


def fingerprint_request(call: Call) -> bytes:
    """Return the fingerprint of a request, a 16-byte xxh3-128 hash."""
    parts = (call.workspace.name, call.service.name, call.method, call.path, call.body)
    return xxhash.xxh3_128_digest(msgspec.msgpack.encode(parts))
