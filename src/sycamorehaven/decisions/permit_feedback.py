"""What a service's scheduler learns from returned permits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.decisions.cost_estimates import ServiceCostEstimator
from sycamorehaven.decisions.slot_limits import FinishedRun, ServerSlotLimits

if TYPE_CHECKING:
    from sycamorehaven.decisions.grants import GrantBasis
    from sycamorehaven.decisions.outstanding_permits import OutstandingPermit, PermitId
    from sycamorehaven.decisions.priority_classes import ClassScheduler
    from sycamorehaven.transport.messages.permits import PermitReturn


class PermitFeedback:
    """
    Learns the costs of requests and the slot limits of servers.

    :param service: name of the service.
    :param class_scheduler: gets a refund for each permit returned unused.
    """

    def __init__(self, service: str, class_scheduler: ClassScheduler) -> None:
        self._class_scheduler = class_scheduler
        self._estimator = ServiceCostEstimator(service)
        self._limits = ServerSlotLimits()
        self._grant_bases: dict[PermitId, GrantBasis] = {}

    @property
    def estimator(self) -> ServiceCostEstimator:
        """Cost estimates of the service."""
        return self._estimator

    @property
    def limits(self) -> ServerSlotLimits:
        """Adaptive slot limits of the servers."""
        return self._limits

    def record_grant(self, permit_id: PermitId, basis: GrantBasis) -> None:
        """Record what the grant of a permit was based on."""
        self._grant_bases[permit_id] = basis

    def discard(self, permit_id: PermitId) -> None:
        """Discard the record of a permit that was given up."""
        self._grant_bases.pop(permit_id, None)

    def list_guaranteed(self) -> set[PermitId]:
        """Return the permits granted by batch's guaranteed fraction."""
        return {
            permit_id
            for permit_id, basis in self._grant_bases.items()
            if basis.choice.guaranteed
        }

    def record_return(
        self,
        permit: OutstandingPermit,
        message: PermitReturn,
        now: float,
        *,
        in_seconds: bool,
    ) -> None:
        """
        Learn from a returned permit.

        :param in_seconds: whether the service's cost unit is one second of a
            slot.
        """
        basis = self._grant_bases.pop(permit.permit_id, None)
        if message.failed:
            self._limits.record_failure(permit.server, permit.granted_at, now)
        elif basis is None:
            return
        elif message.runs <= 0:
            self._class_scheduler.refund(
                permit.workspace, basis.choice, permit.estimated_cost
            )
        else:
            cost = message.cost / message.runs
            self._estimator.observe(permit.workspace, permit.priority, basis.hint, cost)
            units = float(message.runs) if in_seconds else message.cost
            run = FinishedRun(permit.granted_at, now, units)
            self._limits.record_success(permit.server, run)
