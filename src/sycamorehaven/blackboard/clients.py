"""
What the requests of clients occupy, and which clients were disconnected.

Written by the guard of the listeners.
"""

from __future__ import annotations

from collections import Counter


class ClientsSection:
    """
    Figures of the clients that don't keep to the limits.

    :ivar body_bytes: bytes that requests occupy.
    """

    def __init__(self) -> None:
        self.body_bytes = 0
        self._cut_clients: Counter[str] = Counter()

    @property
    def cut_clients(self) -> Counter[str]:
        """Clients that were disconnected, by reason, since the start."""
        return self._cut_clients

    def count_cuts(self, reason: str, count: int) -> None:
        """Count clients that were disconnected."""
        self._cut_clients[reason] += count
