"""
Classes inside a workspace's share.

Interactive goes first; batch has a guaranteed fraction of the service that
the workspace receives while both classes wait. Deficit round robin in units
of cost: service to interactive earns batch credit, and batch is served when
the credit covers its next request. Which workspace is served is decided
before, by virtual time alone, so a class never buys a second share.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.call import BATCH, INTERACTIVE

if TYPE_CHECKING:
    from collections.abc import Container, Mapping


class ClassChoice(NamedTuple):
    """
    The class to serve next.

    :ivar priority: ``"interactive"`` or ``"batch"``.
    :ivar guaranteed: whether batch goes before waiting interactive requests
        because its guaranteed fraction is due.
    """

    priority: str
    guaranteed: bool


class ClassScheduler:
    """
    Credit of batch by workspace, for one service at one scheduler.

    Credit is kept by each scheduler for itself. ``schedulers`` of them earn
    in parallel, so each lets batch go at that part of the cost: what the
    workspace's interactive requests receive before batch is due does not
    grow with the number of schedulers. The rest is owed and earned back
    before batch is due again, so the fraction is the same in the long run.

    :param fraction: guaranteed part of a workspace's share for batch, below
        1.
    """

    def __init__(self, fraction: float) -> None:
        self._fraction = fraction
        self._schedulers = 1
        self._credits: dict[str, float] = {}

    def configure(self, fraction: float, schedulers: int) -> None:
        """
        Replace the guaranteed fraction and the number of schedulers.

        :param schedulers: routers that schedule servers of the service.
        """
        self._fraction = fraction
        self._schedulers = max(schedulers, 1)

    def get_credit(self, workspace: str) -> float:
        """Return the credit of a workspace's batch requests, in units."""
        return self._credits.get(workspace, 0.0)

    def choose(self, workspace: str, costs: Mapping[str, float]) -> ClassChoice:
        """
        Return the class to serve next.

        :param costs: estimated cost of the next request of each class that
            waits, units; at least one class.
        """
        if BATCH not in costs:
            self._drop_positive_credit(workspace)
            return ClassChoice(INTERACTIVE, False)
        if INTERACTIVE not in costs:
            return ClassChoice(BATCH, False)
        threshold = costs[BATCH] / self._schedulers
        if self.get_credit(workspace) >= threshold:
            return ClassChoice(BATCH, True)
        return ClassChoice(INTERACTIVE, False)

    def charge(
        self, workspace: str, choice: ClassChoice, cost: float, *, contended: bool
    ) -> None:
        """
        Account for a grant.

        :param cost: estimated cost of the request, units.
        :param contended: whether both classes waited; what one of them gets
            while the other wants nothing is not accounted for.
        """
        if not contended:
            return
        change = -cost
        if choice.priority == INTERACTIVE:
            change = cost * self._fraction / (1.0 - self._fraction)
        self._credits[workspace] = self.get_credit(workspace) + change

    def refund(self, workspace: str, choice: ClassChoice, cost: float) -> None:
        """Give back what batch paid for a permit that was not used."""
        if choice.guaranteed:
            self._credits[workspace] = self.get_credit(workspace) + cost

    def retain_workspaces(self, workspaces: Container[str]) -> None:
        """Forget the workspaces that are no longer configured."""
        self._credits = {
            name: credit for name, credit in self._credits.items() if name in workspaces
        }

    def _drop_positive_credit(self, workspace: str) -> None:
        if self.get_credit(workspace) >= 0.0:
            self._credits.pop(workspace, None)
