"""Finds the route of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sycamorehaven.routing.model import Route, Split


class RouteTable:
    """
    Routes by host, the longest prefix first.

    :param routes: every route.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for found in self._by_host.values():
            found.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """
        Return the route of a request, ``None`` if there is none.

        :param host: the ``Host`` header, with or without a port.
        :param path: path without the query.
        """
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None


def choose_service(splits: tuple[Split, ...], point: float) -> str:
    """
    Return the service at a point of the weights.

    :param point: 0 to 1, drawn evenly.
    """
    total = sum(split.weight for split in splits)
    left = point * total
    for split in splits:
        left -= split.weight
        if left < 0.0:
            return split.service
    return splits[-1].service
