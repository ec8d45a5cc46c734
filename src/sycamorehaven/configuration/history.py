"""Texts that this router can send to its peers, whole or as a difference."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.configuration.delta import (
    build_delta,
    compress_text,
    digest_blocks,
    encode_delta,
)
from sycamorehaven.transport.messages.configuration import ConfigurationReply

if TYPE_CHECKING:
    from array import array

    from sycamorehaven.configuration.model import Configuration

MAX_REMEMBERED_TEXTS = 32
"""Recent texts whose digests of tables are kept."""


class ConfigurationHistory:
    """Digests of the tables of recent texts, and replies made of the last."""

    def __init__(self) -> None:
        self._block_digests: dict[str, array[int]] = {}
        self._replies: dict[str, ConfigurationReply] = {}

    def add(self, configuration: Configuration) -> None:
        """Note the text that has taken force."""
        self._block_digests.pop(configuration.digest, None)
        self._block_digests[configuration.digest] = digest_blocks(configuration.text)
        while len(self._block_digests) > MAX_REMEMBERED_TEXTS:
            del self._block_digests[next(iter(self._block_digests))]
        self._replies.clear()

    def build_reply(self, current: Configuration, base: str) -> ConfigurationReply:
        """
        Return the current text as a difference to a base, else whole.

        :param base: digest of the text that the receiver holds, or "".
        """
        key = base if base in self._block_digests else ""
        reply = self._replies.get(key)
        if reply is None or reply.digest != current.digest:
            reply = self._replies[key] = self._create_reply(current, key)
        return reply

    def _create_reply(self, current: Configuration, base: str) -> ConfigurationReply:
        revision, digest = current.version
        if not base:
            packed = compress_text(current.text)
            return ConfigurationReply(revision, digest, "", packed)
        parts = build_delta(self._block_digests[base], current.text)
        return ConfigurationReply(revision, digest, base, encode_delta(parts))
