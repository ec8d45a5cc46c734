"""A published route that tests of decisions and controllers share."""

from __future__ import annotations

from sycamorehaven.routing.model import Route, WeightedService

STREAMING_ROUTE = Route(
    "chat",
    "fleet.example",
    "/",
    "streaming",
    timeout=12.0,
    latency_target=0.8,
    event_gap_target=0.5,
    weighted_services=(WeightedService("model", 1.0),),
    max_attempts=2,
    priority=0,
    public=False,
    resumable=True,
)
"""A route to the service ``model`` whose streams may be resumed."""
