"""Messages that distribute the configuration among the routers."""

from __future__ import annotations

from typing import NamedTuple


class ConfigurationNotice(NamedTuple):
    """
    Notifies a router that the sender has put a configuration in force.

    :ivar revision: revision of the configuration.
    :ivar digest: digest of the configuration's text.
    """

    revision: int
    digest: str


class ConfigurationRequest(NamedTuple):
    """
    Asks a router for a configuration that is newer than the sender's.

    :ivar revision: revision of the sender's configuration, 0 for none.
    :ivar digest: digest of the sender's configuration, "" for none.
    :ivar whole: whether the sender wants the whole text, not a difference.
    """

    revision: int
    digest: str
    whole: bool


class ConfigurationReply(NamedTuple):
    """
    Carries a configuration that the sender has accepted.

    :ivar revision: revision of the configuration.
    :ivar digest: digest of the configuration's text.
    :ivar base: digest of the text that the difference applies to, "" for a
        whole text.
    :ivar compressed: the text or the difference, compressed with zlib.
    """

    revision: int
    digest: str
    base: str
    compressed: bytes
