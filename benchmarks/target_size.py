"""The fleet size that the project is designed for, and a node's budget."""

from __future__ import annotations

from typing import NamedTuple


class TargetSize(NamedTuple):
    """
    Size and load of a whole fleet.

    :ivar nodes: number of routers.
    :ivar servers: number of backend servers.
    :ivar requests_per_second: requests per second.
    :ivar tokens_per_second: generated tokens per second.
    :ivar token_interval_seconds: time between two tokens of a stream.
    :ivar workspaces: number of workspaces in the configuration.
    :ivar backlogged_workspaces: number of workspaces that have waiting
        requests at any time.
    :ivar services: number of services, one for each model in use.
    :ivar domains: number of failure domains.
    :ivar changes_per_day: changes of the configuration per day.
    :ivar replaced_routers_per_day: routers that are restarted or replaced
        per day.
    :ivar failed_hosts_per_day: hosts that fail per day.
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
        """Requests per second that one node accepts."""
        return self.requests_per_second / self.nodes

    @property
    def node_tokens_per_second(self) -> float:
        """Tokens per second that one node relays."""
        return self.tokens_per_second / self.nodes

    @property
    def stream_seconds(self) -> float:
        """Seconds that the reply to a mean request is streamed."""
        return (
            self.tokens_per_second
            / self.requests_per_second
            * self.token_interval_seconds
        )

    @property
    def node_streams(self) -> float:
        """Number of streams that one node relays at the same time."""
        return self.node_requests_per_second * self.stream_seconds

    @property
    def schedulers_per_service(self) -> float:
        """Number of routers that schedule servers of one service."""
        return self.servers / self.services


class ControlBudget(NamedTuple):
    """
    Bounds on the cost of control work for one node.

    :ivar core_ratio: processor seconds per second.
    :ivar memory_bytes: memory.
    :ivar bytes_per_second: control traffic.
    """

    core_ratio: float = 0.015
    memory_bytes: float = 32_000_000.0
    bytes_per_second: float = 21_000.0


TARGET = TargetSize()
BUDGET = ControlBudget()
SECONDS_PER_DAY = 86_400.0
BACKLOGGED_WAIT_SECONDS = 2.0
"""Time that a request of a backlogged workspace waits for a permit."""
BACKLOGGED_RATIO = 0.5
"""Ratio of requests that come from backlogged workspaces."""
