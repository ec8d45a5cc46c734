"""Load of backend servers and use of shares; written by the dispatcher."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from sycamorehaven.blackboard.signal import Signal
from sycamorehaven.decisions.server_model import ServerModel

if TYPE_CHECKING:
    from sycamorehaven.decisions.shares import UsageWindow

MOST_NEWS = 400
"""Placements that wait to be told to other routers."""


class FleetSection:
    """
    Models of the servers, and what other routers have not been told yet.

    :param usage: what workspaces asked and got.
    """

    def __init__(self, usage: UsageWindow) -> None:
        self._usage = usage
        self._models: dict[str, ServerModel] = {}
        self._touched: set[str] = set()
        self._placed: list[tuple[int, int, str]] = []
        self._asked: Counter[str] = Counter()
        self._given: Counter[str] = Counter()
        self._changed = Signal()

    @property
    def usage(self) -> UsageWindow:
        """What workspaces asked and got, fleet-wide."""
        return self._usage

    @property
    def changed(self) -> Signal:
        """Raised when a server may have become free."""
        return self._changed

    @property
    def asked(self) -> Counter[str]:
        """Tokens that each workspace asked here since the start."""
        return self._asked

    @property
    def given(self) -> Counter[str]:
        """Tokens that each workspace got here since the start."""
        return self._given

    def find_model(self, server: str) -> ServerModel:
        """Return the model of a server."""
        model = self._models.get(server)
        if model is None:
            model = self._models[server] = ServerModel()
        return model

    def describe(self, server: str, memory: int, slots: int) -> ServerModel:
        """Return the model of a server that is like this."""
        model = self.find_model(server)
        model.describe(memory, slots)
        return model

    def retain(self, servers: set[str]) -> None:
        """Forget idle servers that are gone."""
        for name in [name for name in self._models if name not in servers]:
            if not self._models[name].running:
                del self._models[name]

    def touch(self, server: str) -> None:
        """Note that this router's load of a server has changed."""
        self._touched.add(server)

    def note_placed(self, chain: tuple[tuple[int, int], ...], server: str) -> None:
        """Note the parts of a prompt that a server reads."""
        if len(self._placed) < MOST_NEWS:
            self._placed += [(key, tokens, server) for key, tokens in chain]

    def take_news(self) -> tuple[list[str], list[tuple[int, int, str]]]:
        """Return changed servers and new placements, once."""
        touched, placed = sorted(self._touched), self._placed
        self._touched, self._placed = set(), []
        return touched, placed

    def add_usage(self, workspace: str, asked: float, given: float, now: float) -> None:
        """Count what a workspace asked and got at this router."""
        self._asked[workspace] += int(asked)
        self._given[workspace] += int(given)
        self._usage.add(workspace, asked, given, now)
