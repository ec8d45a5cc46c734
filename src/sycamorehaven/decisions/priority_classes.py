"""
Division of a workspace's share between interactive and batch requests.

Interactive requests are served first, but while both classes wait, batch is
guaranteed a fraction of the service that the workspace receives. The method is
deficit round robin, counted in cost units: service to interactive requests
earns credit for batch, and batch is served when the credit covers the cost of
its next request. The workspace itself is chosen beforehand, by virtual time
alone, so using both classes gives no workspace a larger share.
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
    :ivar guaranteed: whether batch is served before waiting interactive
        requests because it is owed its guaranteed fraction.
    """

    priority: str
    guaranteed: bool


class ClassScheduler:
    """
    Batch credit of each workspace, for one service at one scheduler.

    Each scheduler keeps its own credits. The ``n`` schedulers of a service
    earn credit in parallel, so each serves batch as soon as the credit covers
    one ``n``-th of the cost. The interactive service that precedes a batch
    request therefore does not grow with the number of schedulers. The rest of
    the cost remains as a negative credit, which must be earned back before
    batch is served again, so the long-run fraction is unaffected.

    :param fraction: fraction of a workspace's share that batch is guaranteed;
        less than 1.
    """

    def __init__(self, fraction: float) -> None:
        self._fraction = fraction
        self._scheduler_count = 1
        self._credits: dict[str, float] = {}

    def configure(self, fraction: float, scheduler_count: int) -> None:
        """
        Replace the guaranteed fraction and the number of schedulers.

        :param scheduler_count: number of routers that schedule servers of
            the service.
        """
        self._fraction = fraction
        self._scheduler_count = max(scheduler_count, 1)

    def get_credit(self, workspace: str) -> float:
        """Return the batch credit of a workspace, in cost units."""
        return self._credits.get(workspace, 0.0)

    def choose(self, workspace: str, costs: Mapping[str, float]) -> ClassChoice:
        """
        Return the class to serve next.

        :param costs: estimated cost in units of the next request of each
            waiting class; at least one class.
        """
        if BATCH not in costs:
            self._drop_positive_credit(workspace)
            return ClassChoice(INTERACTIVE, False)
        if INTERACTIVE not in costs:
            return ClassChoice(BATCH, False)
        threshold = costs[BATCH] / self._scheduler_count
        if self.get_credit(workspace) >= threshold:
            return ClassChoice(BATCH, True)
        return ClassChoice(INTERACTIVE, False)

    def charge(
        self, workspace: str, choice: ClassChoice, cost: float, *, contended: bool
    ) -> None:
        """
        Update the credit for a grant.

        :param cost: estimated cost of the request, in units.
        :param contended: whether both classes had requests waiting. A grant to
            one class while the other has no demand changes no credit.
        """
        if not contended:
            return
        change = -cost
        if choice.priority == INTERACTIVE:
            change = cost * self._fraction / (1.0 - self._fraction)
        self._credits[workspace] = self.get_credit(workspace) + change

    def refund(self, workspace: str, choice: ClassChoice, cost: float) -> None:
        """Return the credit that batch spent on a permit that was not used."""
        if choice.guaranteed:
            self._credits[workspace] = self.get_credit(workspace) + cost

    def retain_workspaces(self, workspaces: Container[str]) -> None:
        """Drop the workspaces that are no longer configured."""
        self._credits = {
            name: credit for name, credit in self._credits.items() if name in workspaces
        }

    def _drop_positive_credit(self, workspace: str) -> None:
        if self.get_credit(workspace) >= 0.0:
            self._credits.pop(workspace, None)
