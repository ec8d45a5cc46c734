"""
Services without an available backend server.

Written by the controller of the unserved services.
"""

from __future__ import annotations


class UnservedServicesSection:
    """Services that have had no available backend server for some time."""

    def __init__(self) -> None:
        self._services: frozenset[str] = frozenset()

    @property
    def services(self) -> frozenset[str]:
        """Names of the services."""
        return self._services

    def replace(self, services: frozenset[str]) -> None:
        """Replace the names of the services."""
        self._services = services
