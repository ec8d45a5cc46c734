"""Settings of a router that serves published routes."""

from __future__ import annotations

from typing import Annotated, NamedTuple, TypedDict

from msgspec import Meta

GatewayAddress = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d+\Z")]
Seconds = Annotated[float, Meta(gt=0, le=3_600)]


class GatewayTable(TypedDict):
    """The ``[gateway]`` table: a router that serves published routes."""

    readiness: GatewayAddress
    metrics: GatewayAddress
    grace: Seconds
    retry_ratio: Annotated[float, Meta(ge=0, le=1)]
    retry_window: Seconds
    retry_slack: Annotated[float, Meta(ge=0)]
    quota_window: Seconds


class GatewaySettings(NamedTuple):
    """
    Checked settings of the ``[gateway]`` table.

    :ivar readiness: ``ip:port`` of the readiness check.
    :ivar metrics: ``ip:port`` of the metrics.
    :ivar grace: seconds from SIGTERM to the end of the process.
    :ivar retry_ratio: repeats for each fresh request, fleet-wide.
    :ivar retry_window: seconds over which repeats are counted.
    :ivar retry_slack: further repeats in a window, fleet-wide.
    :ivar quota_window: seconds over which shares of capacity are counted.
    """

    readiness: str
    metrics: str
    grace: float
    retry_ratio: float
    retry_window: float
    retry_slack: float
    quota_window: float

    @classmethod
    def from_table(cls, table: GatewayTable) -> GatewaySettings:
        """Return the settings of a checked table."""
        return cls(
            readiness=table["readiness"],
            metrics=table["metrics"],
            grace=table["grace"],
            retry_ratio=table["retry_ratio"],
            retry_window=table["retry_window"],
            retry_slack=table["retry_slack"],
            quota_window=table["quota_window"],
        )
