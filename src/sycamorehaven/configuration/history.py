"""Replies that send the configuration text to other routers."""

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
"""Recent texts whose block digests are kept to build deltas from them."""


class ConfigurationHistory:
    """
    Builds and caches replies that carry the configuration in force.

    It keeps the block digests of recent texts, so that a router that holds
    one of these can be sent a delta instead of the whole text.
    """

    def __init__(self) -> None:
        self._block_digests: dict[str, array[int]] = {}
        self._replies: dict[str, ConfigurationReply] = {}

    def add(self, configuration: Configuration) -> None:
        """Record the configuration that has come into force."""
        self._block_digests.pop(configuration.digest, None)
        self._block_digests[configuration.digest] = digest_blocks(configuration.text)
        while len(self._block_digests) > MAX_REMEMBERED_TEXTS:
            del self._block_digests[next(iter(self._block_digests))]
        self._replies.clear()

    def build_reply(
        self, current: Configuration, base_digest: str
    ) -> ConfigurationReply:
        """
        Return a reply with a delta, or with the whole text.

        The reply carries the whole text if the base text is unknown.

        :param current: the configuration in force.
        :param base_digest: digest of the text that the receiver holds, or "".
        """
        key = base_digest if base_digest in self._block_digests else ""
        reply = self._replies.get(key)
        if reply is None or reply.digest != current.digest:
            reply = self._replies[key] = self._create_reply(current, key)
        return reply

    def _create_reply(
        self, current: Configuration, base_digest: str
    ) -> ConfigurationReply:
        revision, digest = current.version
        if not base_digest:
            compressed = compress_text(current.text)
            return ConfigurationReply(revision, digest, "", compressed)
        parts = build_delta(self._block_digests[base_digest], current.text)
        return ConfigurationReply(revision, digest, base_digest, encode_delta(parts))
