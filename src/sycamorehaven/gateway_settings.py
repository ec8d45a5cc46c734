"""Settings of a gateway, a router that serves published routes."""

from __future__ import annotations

from typing import Annotated, NamedTuple, NotRequired, TypedDict

from msgspec import Meta

GatewayAddress = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d+\Z")]
"""An IPv4 address with a port."""
Seconds = Annotated[float, Meta(gt=0, le=3_600)]
"""A duration of at most an hour."""


class GatewayTable(TypedDict):
    """The ``[gateway]`` table, which makes a router a gateway."""

    readiness: GatewayAddress
    metrics: GatewayAddress
    grace: Seconds
    retry_ratio: Annotated[float, Meta(ge=0, le=1)]
    retry_window: Seconds
    retry_slack: Annotated[float, Meta(ge=0)]
    quota_window: Seconds
    descriptors: NotRequired[Annotated[int, Meta(ge=64)]]
    cpu_quota: NotRequired[Annotated[float, Meta(gt=0, le=1_024)]]
    cpu_speed: NotRequired[Annotated[float, Meta(gt=0, le=1_024)]]


class GatewaySettings(NamedTuple):
    """
    Validated settings of the ``[gateway]`` table.

    :ivar readiness: ``ip:port`` of the listener for readiness checks.
    :ivar metrics: ``ip:port`` of the listener for metrics.
    :ivar grace: maximum time from SIGTERM to the end of the process, in
        seconds.
    :ivar retry_ratio: allowed number of retries for each new request,
        fleet-wide.
    :ivar retry_window: period over which retries are counted, in seconds.
    :ivar retry_slack: number of retries allowed in each period in addition to
        ``retry_ratio``, fleet-wide.
    :ivar quota_window: period over which the shares of capacity are measured,
        in seconds.
    :ivar descriptors: number of file descriptors that the process may use;
        ``None`` for the limit that its operating system states.
    :ivar cores: processor time that the host gives the process, in seconds of
        a core per second.
    """

    readiness: str
    metrics: str
    grace: float
    retry_ratio: float
    retry_window: float
    retry_slack: float
    quota_window: float
    descriptors: int | None = None
    cores: float = 1.0

    @classmethod
    def from_table(cls, table: GatewayTable) -> GatewaySettings:
        """Create the settings from a validated table."""
        return cls(
            readiness=table["readiness"],
            metrics=table["metrics"],
            grace=table["grace"],
            retry_ratio=table["retry_ratio"],
            retry_window=table["retry_window"],
            retry_slack=table["retry_slack"],
            quota_window=table["quota_window"],
            descriptors=table.get("descriptors"),
            cores=table.get("cpu_quota", 1.0) * table.get("cpu_speed", 1.0),
        )
