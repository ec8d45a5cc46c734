"""Settings of a gateway, a router that serves published routes."""

from __future__ import annotations

from typing import Annotated, NamedTuple, NotRequired, TypedDict

from msgspec import Meta

GatewayAddress = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d+\Z")]
"""An IPv4 address with a port."""
Seconds = Annotated[float, Meta(gt=0, le=3_600)]
"""A duration of at most an hour."""

DEFAULT_EVACUATION_SECONDS = 5.0
"""Time in which an evacuation takes effect, without a setting."""


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
    memory: NotRequired[Annotated[float, Meta(gt=0)]]
    cold_overshoot: NotRequired[Annotated[float, Meta(ge=1, le=100)]]
    cold_tolerance: NotRequired[Annotated[float, Meta(ge=0, le=1e6)]]
    evacuation_timeout_ms: NotRequired[Annotated[float, Meta(gt=0, le=3_600_000)]]


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
    :ivar memory: megabytes that the process may use; ``None`` for the memory
        of its host.
    :ivar cold_overshoot: factor by which the requests that a cold server gets
        in one second may exceed what it tolerates.
    :ivar cold_tolerance: requests that it may get in addition.
    :ivar evacuation_timeout: seconds from the order to evacuate a failure
        domain until nothing may reach its servers.
    :ivar has_evacuations: whether the platform sets this time, so that
        evacuations are to be expected.
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
    memory: float | None = None
    cold_overshoot: float = 1.0
    cold_tolerance: float = 0.0
    evacuation_timeout: float = DEFAULT_EVACUATION_SECONDS
    has_evacuations: bool = False

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
            memory=table.get("memory"),
            cold_overshoot=table.get("cold_overshoot", 1.0),
            cold_tolerance=table.get("cold_tolerance", 0.0),
            evacuation_timeout=table.get(
                "evacuation_timeout_ms", DEFAULT_EVACUATION_SECONDS * 1_000
            )
            / 1_000,
            has_evacuations="evacuation_timeout_ms" in table,
        )
