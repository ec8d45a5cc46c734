"""Route look-up by host and path prefix, and choice of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sycamorehaven.routing.model import Route, WeightedService


class RouteTable:
    """
    Index of the routes by host, with the longest path prefix first.

    :param routes: all routes.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find_route(self, host: str, path: str) -> Route | None:
        """
        Return the route of a request, or ``None`` if none matches.

        :param host: value of the ``Host`` header, with or without a port.
        :param path: path of the request, without the query.
        """
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def choose_service(
    weighted_services: tuple[WeightedService, ...], fraction: float
) -> str:
    """
    Choose a service with a probability proportional to its weight.

    :param weighted_services: the services with their weights.
    :param fraction: random number from 0 to 1, uniformly distributed.
    """
    total = sum(entry.weight for entry in weighted_services)
    remaining = fraction * total
    for entry in weighted_services:
        remaining -= entry.weight
        if remaining < 0.0:
            return entry.service
    return weighted_services[-1].service
