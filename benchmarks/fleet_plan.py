"""Parameters of the fleet that one run simulates."""

from __future__ import annotations

from typing import NamedTuple

SERVICE = "assistant"
"""Name of the service that all requests ask for."""


class FleetPlan(NamedTuple):
    """
    A fleet to simulate.

    :ivar router_count: number of routers.
    :ivar domain_count: number of failure domains.
    :ivar server_speeds: units per second that a request receives, for each
        server.
    :ivar slots_per_server: number of requests that a server runs at once.
    :ivar service_kind: kind of the service, as in the configuration.
    :ivar largest_cost: cost of the largest single request, in units.
    :ivar expected_cost: expected cost of a request, in units.
    :ivar loss_ratio: ratio of messages that are lost.
    :ivar duplication_ratio: ratio of messages that are delivered twice.
    :ivar sharing_period: seconds between two counter updates.
    :ivar seed: seed of all random numbers.
    """

    router_count: int = 6
    domain_count: int = 4
    server_speeds: tuple[float, ...] = (20.0, 30.0, 40.0, 60.0, 80.0)
    slots_per_server: int = 8
    service_kind: str = "model"
    largest_cost: float = 1_000.0
    expected_cost: float = 80.0
    loss_ratio: float = 0.0
    duplication_ratio: float = 0.0
    sharing_period: float = 1.0
    seed: int = 1
