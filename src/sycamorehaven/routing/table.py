"""Finds the route of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sycamorehaven.routing.model import Route, WeightedService


class RouteTable:
    """
    Routes by host, the longest prefix first.

    :param routes: every route.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find_route(self, host: str, path: str) -> Route | None:
        """
        Return the route of a request, ``None`` if there is none.

        :param host: the ``Host`` header, with or without a port.
        :param path: path without the query.
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
    Return the service at a fraction of the weights.

    :param fraction: 0 to 1, drawn evenly.
    """
    total = sum(entry.weight for entry in weighted_services)
    remaining = fraction * total
    for entry in weighted_services:
        remaining -= entry.weight
        if remaining < 0.0:
            return entry.service
    return weighted_services[-1].service
