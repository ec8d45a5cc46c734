"""The fleet of one run."""

from __future__ import annotations

from typing import NamedTuple

SERVICE = "assistant"
"""The service that every run asks for."""


class FleetPlan(NamedTuple):
    """
    A fleet to build.

    :ivar routers: how many.
    :ivar domains: failure domains.
    :ivar speeds: units per second of a request, by server.
    :ivar slots: of each server.
    :ivar kind: of the service.
    :ivar largest: the largest single request, units.
    :ivar expected: expected cost, units.
    :ivar loss: part of the messages that is lost.
    :ivar doubling: part of the messages that comes twice.
    :ivar sharing: seconds between two updates of counters.
    :ivar seed: of all that is drawn.
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
