"""Reports of the clients that were disconnected."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

if TYPE_CHECKING:
    from sycamorehaven.blackboard.clients import ClientsSection
    from sycamorehaven.telemetry.decision_log import DecisionLog
    from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics


class GatewayCutReporter:
    """
    Reports to the log and the metrics of a gateway.

    :param decision_log: gets a line for each reason.
    :param metrics: the metrics of the gateway.
    """

    def __init__(self, decision_log: DecisionLog, metrics: GatewayMetrics) -> None:
        self._decision_log = decision_log
        self._metrics = metrics

    def report_cuts(self, reason: str, count: int) -> None:
        """Report clients that were disconnected in the last second."""
        self._decision_log.record("clients_cut", reason=reason, count=count)
        self._metrics.cut_clients.labels(reason).inc(count)

    def report_bytes(self, total: int) -> None:
        """Report the bytes that requests occupy."""
        self._metrics.body_bytes.set(total)


class LoggedCutReporter:
    """
    Reports to the log and the blackboard of a router.

    :param section: section of the blackboard.
    """

    def __init__(self, section: ClientsSection) -> None:
        self._section = section

    def report_cuts(self, reason: str, count: int) -> None:
        """Report clients that were disconnected in the last second."""
        logging.warning("clients_cut: reason %s, count %d", reason, count)
        self._section.count_cuts(reason, count)

    def report_bytes(self, total: int) -> None:
        """Report the bytes that requests occupy."""
        self._section.body_bytes = total
