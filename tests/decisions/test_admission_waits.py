"""How long a request waits for admission to an engine."""

from __future__ import annotations

from sycamorehaven.decisions.load_shedding import (
    MAX_REFUSED_APPLICATIONS,
    MIN_REFUSED_APPLICATIONS,
    RESUME_WAIT_SECONDS,
    PlacementRequest,
    compute_max_wait,
    compute_tolerated_wait,
    is_hopeless,
)
from sycamorehaven.decisions.placement import Placement
from sycamorehaven.routing.model import ServerRecord

NOW = 1_000.0
TARGET_SECONDS = 0.8
SERVER = ServerRecord("s1", 1, "model", "s1:80", "a", 16, draining=False)
PLACEMENT = Placement(SERVER, 0.0, 0.1, 5_000)
REQUEST = PlacementRequest(NOW, NOW, TARGET_SECONDS, NOW + 12.0, within_share=True)
RESUMED = REQUEST._replace(resumes=True)


def test_request_waits_no_longer_than_its_target_leaves() -> None:
    max_wait = compute_max_wait(REQUEST, PLACEMENT, NOW)
    assert 0.4 <= max_wait < TARGET_SECONDS - PLACEMENT.prefill_seconds
    later = compute_max_wait(REQUEST, PLACEMENT, NOW + 0.2)
    assert abs(max_wait - later - 0.2) < 1e-6


def test_request_that_is_late_already_may_use_an_idle_engine() -> None:
    late = REQUEST._replace(first_asked_at=NOW - 5.0)
    assert 0.0 < compute_max_wait(late, PLACEMENT, NOW) < 0.1


def test_first_engine_with_a_longer_wait_than_expected_is_left() -> None:
    assert compute_tolerated_wait(REQUEST, 0.5, 0.0, 0) < 0.2
    assert compute_tolerated_wait(REQUEST, 0.5, 0.0, 5) == 0.5


def test_request_that_nobody_can_serve_in_time_asks_no_further() -> None:
    assert not is_hopeless(REQUEST, 0, 1.0, 0.5)
    assert is_hopeless(REQUEST, MIN_REFUSED_APPLICATIONS, 1.0, 0.5)
    assert not is_hopeless(REQUEST, MIN_REFUSED_APPLICATIONS, 0.1, 0.5)
    assert is_hopeless(REQUEST, MAX_REFUSED_APPLICATIONS, 0.1, 0.5)


# Engines look full to all routers after others have crashed.
def test_broken_stream_is_rejected_though_it_goes_before_all_others() -> None:
    max_wait = compute_max_wait(RESUMED, PLACEMENT, NOW)
    assert max_wait == RESUME_WAIT_SECONDS
    assert compute_tolerated_wait(RESUMED, max_wait, 0.0, 0) == max_wait
    assert not is_hopeless(RESUMED, MIN_REFUSED_APPLICATIONS, 5.0, max_wait)
