"""The size that the fleet is designed for, and what it leaves one node."""

from __future__ import annotations

from typing import NamedTuple


class TargetSize(NamedTuple):
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
    requests_per_second: float = 4_100.0
    tokens_per_second: float = 1_300_000.0
    token_interval_seconds: float = 0.025
    workspaces: int = 1_400
    backlogged_workspaces: int = 140
    services: int = 17
    domains: int = 6
    changes_per_day: int = 4_500
    replaced_routers_per_day: int = 120
    failed_hosts_per_day: int = 16

    @property
    def node_requests_per_second(self) -> float:
        """Requests per second of one node."""
        return self.requests_per_second / self.nodes

    @property
    def node_tokens_per_second(self) -> float:
        """Tokens per second that one node relays."""
        return self.tokens_per_second / self.nodes

    @property
    def stream_seconds(self) -> float:
        """Seconds that a request streams."""
        return (
            self.tokens_per_second
            / self.requests_per_second
            * self.token_interval_seconds
        )

    @property
    def node_streams(self) -> float:
        """Streams that one node relays at once."""
        return self.node_requests_per_second * self.stream_seconds

    @property
    def schedulers_per_service(self) -> float:
        """Routers that schedule servers of one service."""
        return self.servers / self.services


class ControlBudget(NamedTuple):
    """
    What control may cost one node.

    :ivar core: part of a core.
    :ivar memory: bytes.
    :ivar traffic: bytes per second.
    """

    core_ratio: float = 0.015
    memory_bytes: float = 32_000_000.0
    bytes_per_second: float = 21_000.0


TARGET = TargetSize()
BUDGET = ControlBudget()
SECONDS_PER_DAY = 86_400.0
"""Seconds."""
BACKLOGGED_WAIT_SECONDS = 2.0
"""Seconds that a request of a backlogged workspace waits."""
BACKLOGGED_RATIO = 0.5
"""Part of the requests that come from backlogged workspaces."""
