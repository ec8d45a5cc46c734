"""Tests of the choice of the router that answers a request."""

from __future__ import annotations

from collections import Counter

from sycamorehaven.decisions.offload.peers import choose_max_offloads, choose_peer
from sycamorehaven.decisions.rotation import RotationReport

DRAWS = 1_000


def report(spare_cores: float, *, is_absent: bool = False) -> RotationReport:
    """Return what a router says that has some processor left."""
    return RotationReport({}, 1.0, is_absent, 0.0, "10.0.0.1:80", spare_cores)


def test_routers_get_requests_by_the_processor_that_they_have_left() -> None:
    reports = {
        "small": report(0.25),
        "large": report(0.75),
        "busy": report(0.01),
        "absent": report(1.0, is_absent=True),
    }
    chosen = Counter(
        peer.host
        for number in range(DRAWS)
        if (peer := choose_peer(reports, number / DRAWS)) is not None
    )
    assert chosen == {"small": DRAWS // 4, "large": 3 * DRAWS // 4}


def test_no_router_is_chosen_if_none_has_time() -> None:
    assert choose_peer({}, 0.5) is None
    assert choose_peer({"a2": report(0.0)}, 0.5) is None
    assert choose_peer({"a2": report(1.0)._replace(callers_address="")}, 0.0) is None


def test_offloads_are_bounded_by_descriptors_and_processor() -> None:
    assert choose_max_offloads(1_000, 10.0) == 80
    assert choose_max_offloads(100_000, 0.5) == 256
