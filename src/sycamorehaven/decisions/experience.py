"""What the scheduler of a service learns from the permits that come back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.decisions.estimates import ServiceEstimates
from sycamorehaven.decisions.slots import FinishedRun, ServerLimits

if TYPE_CHECKING:
    from sycamorehaven.decisions.classes import ClassShares
    from sycamorehaven.decisions.grants import Issue
    from sycamorehaven.decisions.holdings import Holding, PermitName
    from sycamorehaven.transport.messages.permits import PermitReturn


class Experience:
    """
    Costs of requests and limits of servers, learned from what ended.

    :param service: the service.
    :param classes: gets the charge for an unused permit back.
    """

    def __init__(self, service: str, classes: ClassShares) -> None:
        self._classes = classes
        self._estimates = ServiceEstimates(service)
        self._limits = ServerLimits()
        self._issues: dict[PermitName, Issue] = {}

    @property
    def estimates(self) -> ServiceEstimates:
        """Estimates of costs."""
        return self._estimates

    @property
    def limits(self) -> ServerLimits:
        """Limits of the servers' slots."""
        return self._limits

    def note_issue(self, name: PermitName, issue: Issue) -> None:
        """Note what a permit was granted on."""
        self._issues[name] = issue

    def forget(self, name: PermitName) -> None:
        """Learn nothing from a permit that was given up."""
        self._issues.pop(name, None)

    def list_guaranteed(self) -> set[PermitName]:
        """Return the permits granted on the guaranteed part of a class."""
        return {name for name, issue in self._issues.items() if issue.choice.guaranteed}

    def take_return(
        self, holding: Holding, message: PermitReturn, now: float, *, in_seconds: bool
    ) -> None:
        """
        Learn from a permit that came back.

        :param in_seconds: whether the service's unit is the time itself.
        """
        issue = self._issues.pop(holding.name, None)
        if message.failed:
            self._limits.take_failure(holding.server, holding.granted_at, now)
        elif issue is None:
            return
        elif message.runs <= 0:
            self._classes.refund(holding.workspace, issue.choice, holding.cost)
        else:
            cost = message.cost / message.runs
            self._estimates.learn(holding.workspace, holding.priority, issue.hint, cost)
            units = float(message.runs) if in_seconds else message.cost
            run = FinishedRun(holding.granted_at, now, units)
            self._limits.take_finish(holding.server, run)
