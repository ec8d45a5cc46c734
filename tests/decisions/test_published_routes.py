"""Tests of decisions on requests to published routes, with simulated time."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st

from sycamorehaven.decisions.concurrency import MIN_SLOT_RATIO, ConcurrencyLimit
from sycamorehaven.decisions.load_shedding import (
    MAX_RETRY_AFTER_RATIO,
    RESUME_WAIT_SECONDS,
    PlacementRequest,
    choose_retry_after,
    decide_prompt_request,
)
from sycamorehaven.decisions.outlier_detection import MAX_EJECTION_SECONDS, ServerHealth
from sycamorehaven.decisions.placement import Candidate, Placement, choose_plain_server
from sycamorehaven.decisions.prefix_cache import PrefixCache, hash_prefixes
from sycamorehaven.decisions.retry_policy import (
    AttemptHistory,
    compute_idle_timeouts,
    find_retry_obstacle,
)
from sycamorehaven.decisions.retry_window import RetryWindow
from sycamorehaven.decisions.server_directory import (
    RECOVERY_GRACE_SECONDS,
    STORE_OUTAGE_SECONDS,
    ServerDirectory,
)
from sycamorehaven.decisions.server_model import (
    RemoteLoad,
    ServerModel,
)
from sycamorehaven.decisions.usage_window import UsageWindow, compute_max_min_share
from sycamorehaven.routing.model import ServerRecord, Snapshot
from sycamorehaven.routing.requests import PromptPart

SERVER = ServerRecord("s1", 1, "model", "10.0.0.1:80", "north", 4, draining=False)


def build_snapshot(revision: int, *servers: ServerRecord) -> Snapshot:
    return Snapshot(revision, None, servers)


def build_candidate(**changes: object) -> Candidate:
    base = Candidate(SERVER, 0, 4.0, 0.0, 1, 0, "", 1.0, 0.0, is_local=True, rank=0)
    return base._replace(**changes)  # type: ignore[arg-type]


def test_expired_server_is_kept_until_the_grace_after_an_outage_ends() -> None:
    directory = ServerDirectory()
    directory.apply_snapshot(build_snapshot(1, SERVER), 0.0)
    recovered_at = STORE_OUTAGE_SECONDS + 1.0
    assert not directory.apply_snapshot(build_snapshot(2), recovered_at).left
    for pause in (0.5, 1.0, 1.5, 2.0):
        assert not directory.apply_snapshot(
            build_snapshot(2), recovered_at + pause
        ).left
    after_grace = directory.apply_snapshot(
        build_snapshot(2), recovered_at + RECOVERY_GRACE_SECONDS + 0.1
    )
    assert after_grace.left == (SERVER,)


def test_server_that_expires_while_the_store_answers_is_removed() -> None:
    directory = ServerDirectory()
    directory.apply_snapshot(build_snapshot(1, SERVER), 0.0)
    assert directory.apply_snapshot(build_snapshot(2), 0.5).left == (SERVER,)


def test_expired_server_whose_address_is_reused_is_removed() -> None:
    directory = ServerDirectory()
    directory.apply_snapshot(build_snapshot(1, SERVER), 0.0)
    other = SERVER._replace(id="s2", service="plain")
    directory.apply_snapshot(build_snapshot(2, other), STORE_OUTAGE_SECONDS + 1.0)
    assert set(directory.servers) == {"s2"}


def test_restored_copy_does_not_revert_what_is_known_of_servers() -> None:
    directory = ServerDirectory()
    gone = SERVER._replace(id="gone", address="10.0.0.9:80")
    newer = SERVER._replace(id="newer", address="10.0.0.3:80")
    copied = build_snapshot(5, SERVER, gone, newer)._replace(era=1)
    directory.apply_snapshot(build_snapshot(5, SERVER, gone, newer), 0.0)
    draining = SERVER._replace(draining=True)
    restarted = newer._replace(started_at_ms=2)
    added = SERVER._replace(id="added", address="10.0.0.4:80")
    directory.apply_snapshot(build_snapshot(9, draining, restarted, added), 0.5)
    expected = {server.id: server for server in (draining, restarted, added)}
    change = directory.apply_snapshot(copied, 1.0)
    assert directory.servers == expected
    assert change == ((), (), ())
    directory.apply_snapshot(copied, 1.0 + RECOVERY_GRACE_SECONDS - 0.1)
    assert directory.servers == expected


def test_restored_copy_is_believed_after_the_grace() -> None:
    directory = ServerDirectory()
    directory.apply_snapshot(build_snapshot(9, SERVER), 0.0)
    copied = build_snapshot(5)._replace(era=1)
    assert not directory.apply_snapshot(copied, 0.5).left
    late = 0.5 + RECOVERY_GRACE_SECONDS
    directory.apply_snapshot(copied, late - 1.0)
    assert directory.apply_snapshot(copied, late).left == (SERVER,)


def test_first_snapshot_of_a_restored_store_is_believed() -> None:
    directory = ServerDirectory()
    restored = build_snapshot(5, SERVER)._replace(era=3)
    assert directory.apply_snapshot(restored, 0.0).joined == (SERVER,)
    next_snapshot = build_snapshot(6)._replace(era=3)
    assert directory.apply_snapshot(next_snapshot, 0.5).left == (SERVER,)


def test_server_that_restarts_under_the_same_id_has_joined() -> None:
    directory = ServerDirectory()
    directory.apply_snapshot(build_snapshot(1, SERVER), 0.0)
    restarted = SERVER._replace(started_at_ms=2)
    assert directory.apply_snapshot(build_snapshot(2, restarted), 0.5).joined == (
        restarted,
    )


def test_concurrency_limit_follows_stream_gaps() -> None:
    limit = ConcurrencyLimit(64)
    before = limit.limit
    for step in range(200):
        limit.observe_gap(0.5, 0.4, step * 0.2)
    assert limit.limit == 64 * MIN_SLOT_RATIO < before
    for step in range(5_000):
        limit.observe_gap(0.1, 0.4, 50.0 + step)
    assert limit.limit == 64


def test_ejection_time_is_bounded() -> None:
    health, now = ServerHealth(), 0.0
    for _ in range(10):
        health.record_connection_failure(now)
        assert health.ejected_until - now <= MAX_EJECTION_SECONDS
        now = health.ejected_until


def test_plain_requests_avoid_servers_that_return_errors() -> None:
    failing = build_candidate(error_ratio=0.5)
    healthy = build_candidate(
        server=SERVER._replace(id="s2"), running_requests=2, is_local=False
    )
    best = choose_plain_server([failing, healthy])
    assert best is not None
    assert best.server.id == "s2"


def test_full_servers_get_no_requests() -> None:
    assert choose_plain_server([build_candidate(running_requests=4)]) is None


def test_cached_part_counts_only_after_its_preceding_parts() -> None:
    cache = PrefixCache(10_000)
    first, second = PromptPart("a", 100), PromptPart("b", 50)
    cache.record_prompt(hash_prefixes("m", [first, second]))
    assert cache.count_cached_tokens(hash_prefixes("m", [first, second])) == 150
    assert cache.count_cached_tokens(hash_prefixes("m", [second])) == 0
    assert cache.count_cached_tokens(hash_prefixes("n", [first])) == 0


def test_least_recently_used_parts_are_evicted() -> None:
    cache = PrefixCache(100)
    for number in range(5):
        cache.record_prompt([(number, 40)])
    assert [cache.count_cached_tokens([(number, 40)]) for number in range(5)] == [
        0,
        0,
        0,
        40,
        40,
    ]


def test_request_that_may_have_run_is_retried_only_if_repeatable() -> None:
    history = AttemptHistory(reached=1, may_have_run=True)
    assert find_retry_obstacle(history, 2, 1.0, is_repeatable=False) == "may_have_run"
    assert not find_retry_obstacle(history, 2, 1.0, is_repeatable=True)
    assert find_retry_obstacle(history, 1, 1.0, is_repeatable=True) == "attempts"
    assert find_retry_obstacle(history, 2, 0.0, is_repeatable=True) == "deadline"


def test_idle_timeouts_never_end_a_request_that_is_not_repeatable() -> None:
    timeouts = compute_idle_timeouts(
        is_repeatable=False, target_seconds=0.1, max_gap_seconds=0.1
    )
    assert min(timeouts) > 600.0


@given(
    st.lists(st.tuples(st.booleans(), st.floats(0.0, 0.2)), max_size=300),
    st.integers(1, 8),
)
def test_retries_stay_within_the_window_budget(
    steps: list[tuple[bool, float]], routers: int
) -> None:
    ratio, slack, length = 0.2, 20.0, 10.0
    window = RetryWindow(ratio, slack, length)
    now, requests, retries = 0.0, [], []
    for is_request, pause in steps:
        now += pause
        if is_request:
            window.record_request(now)
            requests.append(now)
        elif window.try_spend(routers, now):
            retries.append(now)
    recent_retries = [retried_at for retried_at in retries if retried_at > now - length]
    recent_requests = [
        requested_at for requested_at in requests if requested_at > now - 2 * length
    ]
    assert len(recent_retries) <= ratio * len(recent_requests) + slack / routers


def test_load_of_a_silent_router_expires() -> None:
    model = ServerModel()
    model.update_remote_load("other", RemoteLoad(3, 5_000, 12.0))
    assert model.count_requests(10.5) == 3
    assert model.count_requests(12.0) == 0


def test_abandoned_prompt_is_no_longer_counted() -> None:
    model = ServerModel()
    prefill = model.start_request(4_000, 0.0)
    assert model.count_pending_tokens(0.0) == 4_000
    model.abandon_prefill(prefill)
    model.finish_request()
    assert (model.count_pending_tokens(0.0), model.own_requests) == (0, 0)


@given(st.lists(st.floats(0.0, 1e6), max_size=20), st.floats(0.0, 1e6))
def test_shares_are_max_min_fair(demands: list[float], capacity: float) -> None:
    largest_share = compute_max_min_share(demands, capacity)
    allocated = sum(min(amount, largest_share) for amount in demands)
    if math.isinf(largest_share):
        assert allocated <= capacity + 1e-3
    else:
        assert abs(allocated - capacity) < 1e-3 + 1e-9 * capacity


@given(st.lists(st.tuples(st.sampled_from("abc"), st.floats(0.0, 3.0)), max_size=60))
def test_usage_window_drops_expired_usage(steps: list[tuple[str, float]]) -> None:
    window, now = UsageWindow(4.0), 0.0
    for name, pause in steps:
        now += pause
        window.add(name, 1.0, 1.0, now)
        assert window.get_received(name, now) >= 1.0
        window.get_fair_share(now)
    assert window.get_received("a", now + 5.0) == 0.0


def build_request(**changes: object) -> PlacementRequest:
    base = PlacementRequest(0.0, 0.0, 0.8, 12.0, within_share=True)
    return base._replace(**changes)  # type: ignore[arg-type]


def test_idle_engines_reject_nothing() -> None:
    idle = Placement(SERVER, 0.0, 3.0, 100_000)
    late_request = build_request(first_asked_at=-5.0, within_share=False)
    assert decide_prompt_request(late_request, idle, 0.0) == "place"


def test_workspace_beyond_its_share_gets_only_spare_capacity() -> None:
    busy = Placement(SERVER, 0.3, 0.1, 5_000)
    assert decide_prompt_request(build_request(), busy, 0.0) == "place"
    beyond_share = build_request(within_share=False)
    assert decide_prompt_request(beyond_share, busy, 0.0) == "wait"
    assert decide_prompt_request(beyond_share, busy, 0.5) == "reject"


def test_request_that_cannot_meet_its_target_waits() -> None:
    busy = Placement(SERVER, 0.3, 0.1, 5_000)
    assert (
        decide_prompt_request(build_request(first_asked_at=-1.0), busy, 0.0) == "wait"
    )


def test_resumed_stream_is_placed_before_new_requests() -> None:
    busy = Placement(SERVER, 5.0, 0.1, 5_000)
    resumed = build_request(resumes=True)
    assert decide_prompt_request(resumed, busy, 0.0) == "place"
    assert decide_prompt_request(resumed, None, 0.0) == "wait"
    assert decide_prompt_request(resumed, None, RESUME_WAIT_SECONDS) == "reject"


@given(st.floats(0.0, 60.0), st.floats(0.0, 20.0))
def test_retry_delay_is_at_most_a_third_of_the_remaining_time(
    work_seconds: float, now: float
) -> None:
    retry_after = choose_retry_after(build_request(), work_seconds, now)
    assert 0.0 <= retry_after <= max(12.0 - now, 0.0) * MAX_RETRY_AFTER_RATIO
