"""Decisions about requests on published routes, each on a given clock."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st

from sycamorehaven.decisions.concurrency import MIN_SLOT_RATIO, ConcurrencyLimit
from sycamorehaven.decisions.directory import LAPSE_GRACE, OUTAGE, Directory
from sycamorehaven.decisions.load_shedding import (
    MAX_RETRY_AFTER_RATIO,
    RESUME_WAIT_SECONDS,
    PendingRequest,
    choose_retry_after,
    decide_prompt_request,
)
from sycamorehaven.decisions.outliers import LONGEST_PAUSE, ServerHealth
from sycamorehaven.decisions.placement import Candidate, Placement, place_plain
from sycamorehaven.decisions.prefixes import PrefixCache, chain_parts
from sycamorehaven.decisions.repeats import (
    AttemptHistory,
    choose_silence,
    find_obstacle,
)
from sycamorehaven.decisions.retry_window import RetryWindow
from sycamorehaven.decisions.server_model import (
    REPORT_LIFETIME,
    RemoteLoad,
    ServerModel,
)
from sycamorehaven.decisions.strikes import MOST_STRIKES, StrikeTable
from sycamorehaven.decisions.usage_window import UsageWindow, compute_max_min_share
from sycamorehaven.routing.model import ServerRecord, Snapshot
from sycamorehaven.routing.requests import PromptPart

SERVER = ServerRecord("s1", 1, "model", "10.0.0.1:80", "north", 4, draining=False)


def build_snapshot(revision: int, *servers: ServerRecord) -> Snapshot:
    return Snapshot(revision, None, servers)


def build_candidate(**changes: object) -> Candidate:
    base = Candidate(SERVER, 0, 4.0, 0.0, 1, 0, "", 1.0, 0.0, near=True, rank=0)
    return base._replace(**changes)  # type: ignore[arg-type]


def test_lapsed_server_stays_until_the_store_is_back_for_two_seconds() -> None:
    directory = Directory()
    directory.take(build_snapshot(1, SERVER), 0.0)
    back = OUTAGE + 1.0
    assert not directory.take(build_snapshot(2), back).left
    for pause in (0.5, 1.0, 1.5, 2.0):
        assert not directory.take(build_snapshot(2), back + pause).left
    later = directory.take(build_snapshot(2), back + LAPSE_GRACE + 0.1)
    assert later.left == (SERVER,)


def test_server_that_lapses_while_the_store_answers_is_gone() -> None:
    directory = Directory()
    directory.take(build_snapshot(1, SERVER), 0.0)
    assert directory.take(build_snapshot(2), 0.5).left == (SERVER,)


def test_reused_address_does_not_keep_a_lapsed_server() -> None:
    directory = Directory()
    directory.take(build_snapshot(1, SERVER), 0.0)
    other = SERVER._replace(id="s2", service="plain")
    directory.take(build_snapshot(2, other), OUTAGE + 1.0)
    assert set(directory.servers) == {"s2"}


def test_server_that_starts_again_under_its_id_has_joined() -> None:
    directory = Directory()
    directory.take(build_snapshot(1, SERVER), 0.0)
    again = SERVER._replace(started=2)
    assert directory.take(build_snapshot(2, again), 0.5).joined == (again,)


def test_limit_follows_the_pauses_of_streams() -> None:
    limit = ConcurrencyLimit(64)
    before = limit.limit
    for step in range(200):
        limit.observe_gap(0.5, 0.4, step * 0.2)
    assert limit.limit == 64 * MIN_SLOT_RATIO < before
    for step in range(5_000):
        limit.observe_gap(0.1, 0.4, 50.0 + step)
    assert limit.limit == 64


def test_paused_server_is_tried_again_after_a_bounded_time() -> None:
    health, now = ServerHealth(), 0.0
    for _ in range(10):
        health.note_break(now)
        assert health.paused_until - now <= LONGEST_PAUSE
        now = health.paused_until


def test_plain_requests_avoid_servers_that_answer_with_errors() -> None:
    grey = build_candidate(errors=0.5)
    sound = build_candidate(server=SERVER._replace(id="s2"), running=2, near=False)
    best = place_plain([grey, sound])
    assert best is not None
    assert best.server.id == "s2"


def test_full_servers_get_nothing() -> None:
    assert place_plain([build_candidate(running=4)]) is None


def test_a_part_counts_only_behind_the_parts_before_it() -> None:
    cache = PrefixCache(10_000)
    first, second = PromptPart("a", 100), PromptPart("b", 50)
    cache.note(chain_parts("m", [first, second]))
    assert cache.match(chain_parts("m", [first, second])) == 150
    assert cache.match(chain_parts("m", [second])) == 0
    assert cache.match(chain_parts("n", [first])) == 0


def test_oldest_parts_yield() -> None:
    cache = PrefixCache(100)
    for number in range(5):
        cache.note([(number, 40)])
    assert [cache.match([(number, 40)]) for number in range(5)] == [0, 0, 0, 40, 40]


def test_what_may_have_run_is_repeated_only_if_it_may() -> None:
    history = AttemptHistory(arrived=1, may_have_run=True)
    assert find_obstacle(history, 2, 1.0, repeatable=False) == "may_have_run"
    assert not find_obstacle(history, 2, 1.0, repeatable=True)
    assert find_obstacle(history, 1, 1.0, repeatable=True) == "attempts"
    assert find_obstacle(history, 2, 0.0, repeatable=True) == "deadline"


def test_silence_never_ends_what_may_run_only_once() -> None:
    limits = choose_silence(repeatable=False, target=0.1, longest_pause=0.1)
    assert min(limits) > 600.0


@given(
    st.lists(st.tuples(st.booleans(), st.floats(0.0, 0.2)), max_size=300),
    st.integers(1, 8),
)
def test_repeats_of_a_fleet_stay_in_its_budget(
    steps: list[tuple[bool, float]], routers: int
) -> None:
    ratio, slack, length = 0.2, 20.0, 10.0
    window = RetryWindow(ratio, slack, length)
    now, fresh, repeats = 0.0, [], []
    for is_fresh, pause in steps:
        now += pause
        if is_fresh:
            window.add_fresh(now)
            fresh.append(now)
        elif window.take(routers, now):
            repeats.append(now)
    recent = [at for at in repeats if at > now - length]
    seen = [at for at in fresh if at > now - 2 * length]
    assert len(recent) <= ratio * len(seen) + slack / routers


def test_load_of_a_silent_router_is_forgotten() -> None:
    model = ServerModel()
    model.note_remote("other", RemoteLoad(3, 5_000, 10.0))
    assert model.count_running(10.5) == 3
    assert model.count_running(10.0 + REPORT_LIFETIME) == 0


def test_given_up_prompt_is_no_longer_awaited() -> None:
    model = ServerModel()
    reading = model.begin(4_000, 0.0)
    assert model.count_unread(0.0) == 4_000
    model.give_up(reading)
    model.end()
    assert (model.count_unread(0.0), model.running) == (0, 0)


@given(st.lists(st.floats(0.0, 1e6), max_size=20), st.floats(0.0, 1e6))
def test_level_is_max_min_fair(asked: list[float], capacity: float) -> None:
    level = compute_max_min_share(asked, capacity)
    given_out = sum(min(amount, level) for amount in asked)
    if math.isinf(level):
        assert given_out <= capacity + 1e-3
    else:
        assert abs(given_out - capacity) < 1e-3 + 1e-9 * capacity


@given(st.lists(st.tuples(st.sampled_from("abc"), st.floats(0.0, 3.0)), max_size=60))
def test_window_forgets_what_has_left_it(steps: list[tuple[str, float]]) -> None:
    window, now = UsageWindow(4.0), 0.0
    for name, pause in steps:
        now += pause
        window.add(name, 1.0, 1.0, now)
        assert window.get_received(name, now) >= 1.0
        window.get_fair_share(now)
    assert window.get_received("a", now + 5.0) == 0.0


def test_request_that_loses_three_servers_goes_nowhere() -> None:
    table = StrikeTable()
    for number in range(MOST_STRIKES):
        assert not table.is_banned(b"f", 1.0)
        table.add(b"f", f"s{number}", 1.0)
    assert table.is_banned(b"f", 1.0)
    table.clear(b"f")
    assert not table.is_banned(b"f", 1.0)


def build_demand(**changes: object) -> PendingRequest:
    base = PendingRequest(0.0, 0.0, 0.8, 12.0, within_share=True)
    return base._replace(**changes)  # type: ignore[arg-type]


def test_idle_engines_refuse_nothing() -> None:
    idle = Placement(SERVER, 0.0, 3.0, 100_000)
    late = build_demand(first_asked_at=-5.0, within_share=False)
    assert decide_prompt_request(late, idle, 0.0) == "place"


def test_workspace_past_its_share_gets_what_others_leave() -> None:
    busy = Placement(SERVER, 0.3, 0.1, 5_000)
    assert decide_prompt_request(build_demand(), busy, 0.0) == "place"
    over = build_demand(within_share=False)
    assert decide_prompt_request(over, busy, 0.0) == "wait"
    assert decide_prompt_request(over, busy, 0.5) == "reject"


def test_client_that_is_late_in_any_case_yields() -> None:
    busy = Placement(SERVER, 0.3, 0.1, 5_000)
    assert decide_prompt_request(build_demand(first_asked_at=-1.0), busy, 0.0) == "wait"


def test_broken_stream_goes_before_new_requests() -> None:
    busy = Placement(SERVER, 5.0, 0.1, 5_000)
    resumed = build_demand(resumes=True)
    assert decide_prompt_request(resumed, busy, 0.0) == "place"
    assert decide_prompt_request(resumed, None, 0.0) == "wait"
    assert decide_prompt_request(resumed, None, RESUME_WAIT_SECONDS) == "reject"


@given(st.floats(0.0, 60.0), st.floats(0.0, 20.0))
def test_clients_return_within_a_third_of_their_time(wait: float, now: float) -> None:
    pause = choose_retry_after(build_demand(), wait, now)
    assert 0.0 <= pause <= max(12.0 - now, 0.0) * MAX_RETRY_AFTER_RATIO
