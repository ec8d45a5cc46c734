"""Services that nothing serves; written by the unserved controller."""

from __future__ import annotations


class UnservedServicesSection:
    """Names of services without a serving backend server for a while."""

    def __init__(self) -> None:
        self._services: frozenset[str] = frozenset()

    @property
    def services(self) -> frozenset[str]:
        """The services."""
        return self._services

    def replace(self, services: frozenset[str]) -> None:
        """Take over another set."""
        self._services = services
