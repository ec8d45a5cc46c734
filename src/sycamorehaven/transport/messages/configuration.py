"""Messages that spread the configuration."""

from __future__ import annotations

from typing import NamedTuple


class ConfigurationNotice(NamedTuple):
    """
    The sender has put a configuration in force.

    :ivar revision: its revision.
    :ivar digest: its digest.
    """

    revision: int
    digest: str


class ConfigurationRequest(NamedTuple):
    """
    A request for a configuration newer than the sender's.

    :ivar revision: the sender's revision, 0 for none.
    :ivar digest: the sender's digest, "" for none.
    :ivar whole: whether the whole text is wanted, not a difference.
    """

    revision: int
    digest: str
    whole: bool


class ConfigurationReply(NamedTuple):
    """
    An accepted configuration.

    :ivar revision: its revision.
    :ivar digest: its digest.
    :ivar base: digest of the text that the difference applies to, "" for a
        whole text.
    :ivar compressed: the text or the difference, zlib.
    """

    revision: int
    digest: str
    base: str
    compressed: bytes
