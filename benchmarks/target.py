"""The size that the fleet is designed for, and what it leaves one node."""

from __future__ import annotations

from typing import NamedTuple


class Target(NamedTuple):
    """
    A size of the fleet.

    :ivar nodes: routers.
    :ivar servers: backend servers.
    :ivar requests: requests per second.
    :ivar tokens: tokens per second.
    :ivar token_time: seconds between two tokens of a stream.
    :ivar workspaces: in the configuration.
    :ivar backlogged: workspaces that wait at any time.
    :ivar services: models in use.
    :ivar domains: failure domains.
    :ivar changes: changes of the configuration a day.
    :ivar replaced: routers restarted or replaced a day.
    :ivar failed: hosts that fail a day.
    """

    nodes: int = 420
    servers: int = 800
    requests: float = 4_100.0
    tokens: float = 1_300_000.0
    token_time: float = 0.025
    workspaces: int = 1_400
    backlogged: int = 140
    services: int = 17
    domains: int = 6
    changes: int = 4_500
    replaced: int = 120
    failed: int = 16

    @property
    def node_requests(self) -> float:
        """Requests per second of one node."""
        return self.requests / self.nodes

    @property
    def node_tokens(self) -> float:
        """Tokens per second that one node relays."""
        return self.tokens / self.nodes

    @property
    def request_time(self) -> float:
        """Seconds that a request streams."""
        return self.tokens / self.requests * self.token_time

    @property
    def node_streams(self) -> float:
        """Streams that one node relays at once."""
        return self.node_requests * self.request_time

    @property
    def schedulers(self) -> float:
        """Routers that schedule servers of one service."""
        return self.servers / self.services


class Budget(NamedTuple):
    """
    What control may cost one node.

    :ivar core: part of a core.
    :ivar memory: bytes.
    :ivar traffic: bytes per second.
    """

    core: float = 0.015
    memory: float = 32_000_000.0
    traffic: float = 21_000.0


TARGET = Target()
BUDGET = Budget()
DAY = 86_400.0
"""Seconds."""
WAIT = 2.0
"""Seconds that a request of a backlogged workspace waits."""
BACKLOGGED_PART = 0.5
"""Part of the requests that come from backlogged workspaces."""
