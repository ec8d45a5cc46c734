"""Strikes against requests and parts of prompts that crash servers."""

from __future__ import annotations

import random
import tracemalloc

from sycamorehaven.decisions.crash_blame import (
    FIRST_BLOCK_SECONDS,
    MAX_BLOCK_SECONDS,
    MIN_CRASHES,
    find_culprits,
)
from sycamorehaven.decisions.strikes import (
    MAX_PARTS_PER_RUN,
    MAX_RUNS,
    MAX_SOUND_SUSPECTS,
    MAX_SUSPECTS,
    SOUND_LIFETIME_SECONDS,
    STRIKE_LIFETIME_SECONDS,
    LostRun,
    StrikeTable,
    SuspectKeys,
)
from sycamorehaven.routing.requests import PromptPart, RequestHead, RoutedRequest
from tests.support.published_routes import STREAMING_ROUTE

SYSTEM, BAD, OTHER = 1, 2, 3
MAX_MEMORY_BYTES = 16 * 1_048_576
"""Half of what a router may use for control."""


def build_keys(request: int, *parts: int) -> SuspectKeys:
    """Return the keys of a request whose last part is its own."""
    return SuspectKeys(request, (*parts, request + 1_000_000))


def lose_servers(
    table: StrikeTable, runs: list[SuspectKeys], first: int = 0, now: float = 0.0
) -> None:
    """Lose one server after the other, each with one run."""
    for number, keys in enumerate(runs, first):
        table.add_run(LostRun(f"s{number}", now + number, keys), now + number)


def test_request_that_loses_three_servers_is_blocked() -> None:
    table, keys = StrikeTable(), SuspectKeys(100)
    for number in range(MIN_CRASHES):
        assert not table.find_culprits(keys)
        table.add_run(LostRun(f"s{number}", 1.0, keys), 1.0)
    assert table.find_culprits(keys)[0].is_request
    table.record_sound([keys.request], 1.0)
    assert not table.find_culprits(keys)


def test_part_is_blamed_after_three_losses_whatever_else_requests_hold() -> None:
    for place in range(3):
        table, runs = StrikeTable(), []
        for number in range(MIN_CRASHES):
            parts = [10 + number, 20 + number, 30 + number]
            parts.insert(place, BAD)
            runs.append(build_keys(100 + number, *parts))
        lose_servers(table, runs)
        assert table.find_culprits(build_keys(999, 77, BAD))
        assert not table.find_culprits(build_keys(999, 77))
        assert not table.find_culprits(build_keys(999, 10, 20, 30))


def test_part_on_which_servers_answer_is_never_blamed() -> None:
    table = StrikeTable()
    table.record_sound([SYSTEM], 0.0)
    runs = [build_keys(100 + number, SYSTEM) for number in range(25)]
    lose_servers(table, runs)
    assert not table.culprits


def test_common_part_is_not_blamed_beside_a_bad_one_that_comes_with_it() -> None:
    table = StrikeTable()
    table.record_sound([SYSTEM], 0.0)
    lose_servers(table, [build_keys(100 + number, SYSTEM, BAD) for number in range(5)])
    assert table.find_culprits(build_keys(999, SYSTEM, BAD))
    assert not table.find_culprits(build_keys(999, SYSTEM))


def test_unknown_part_is_not_blamed_for_the_bad_one_it_comes_with() -> None:
    table = StrikeTable()
    lose_servers(table, [build_keys(100 + number, OTHER, BAD) for number in range(3)])
    assert table.find_culprits(build_keys(999, OTHER, BAD))
    assert not table.find_culprits(build_keys(999, OTHER))
    lose_servers(table, [build_keys(200, BAD)], first=3)
    assert table.find_culprits(build_keys(999, BAD))
    assert not table.find_culprits(build_keys(999, OTHER))


def test_parts_of_one_request_that_crashes_servers_are_not_blamed() -> None:
    table, poison = StrikeTable(), build_keys(100, OTHER)
    lose_servers(table, [poison] * MIN_CRASHES)
    assert [culprit.is_request for culprit in table.culprits] == [True]
    assert table.find_culprits(poison)
    assert not table.find_culprits(build_keys(101, OTHER))


def test_several_bad_parts_are_blamed_at_once() -> None:
    table = StrikeTable()
    runs = [
        build_keys(100 + number, (BAD, OTHER, 4)[number % 3])
        for number in range(3 * MIN_CRASHES)
    ]
    lose_servers(table, runs)
    for part in (BAD, OTHER, 4):
        assert table.find_culprits(build_keys(999, part))
    assert not table.find_culprits(build_keys(999, SYSTEM))


def test_bystanders_of_crashes_that_are_explained_are_not_blamed() -> None:
    table = StrikeTable()
    bystander = build_keys(50, OTHER)
    for number in range(5):
        server, now = f"s{number}", float(number)
        table.add_run(LostRun(server, now, build_keys(100 + number, BAD)), now)
        if number:
            table.add_run(LostRun(server, now, bystander), now)
    assert table.find_culprits(build_keys(999, BAD))
    assert not table.find_culprits(bystander)
    assert not table.find_culprits(build_keys(51, OTHER))


def test_all_runs_lost_in_one_crash_count_once() -> None:
    table = StrikeTable()
    for number in range(10):
        table.add_run(LostRun("s1", 0.0, build_keys(100 + number, BAD)), 0.0)
    assert not table.culprits


def test_block_ends_by_itself_and_grows_with_each_crash() -> None:
    table = StrikeTable()
    blocks, now = [], 0.0
    for number in range(MIN_CRASHES + 6):
        table.add_run(LostRun(f"s{number}", now, build_keys(100 + number, BAD)), now)
        for culprit in table.culprits:
            blocks.append(round(culprit.blocked_until - now, 3))
            now = culprit.blocked_until
        now += 1.0
    assert blocks[0] == FIRST_BLOCK_SECONDS
    assert blocks == sorted(blocks)
    assert blocks[-1] == MAX_BLOCK_SECONDS


def test_late_report_of_a_crash_does_not_lengthen_the_block() -> None:
    table = StrikeTable()
    lose_servers(table, [build_keys(100 + number, BAD) for number in range(3)])
    blocked_until = table.culprits[0].blocked_until
    table.add_run(LostRun("s0", 30.0, build_keys(200, BAD)), 30.0)
    assert table.culprits[0].blocked_until == blocked_until


def test_runs_that_were_sent_before_the_block_do_not_lengthen_it() -> None:
    table = StrikeTable()
    lose_servers(table, [build_keys(100 + number, BAD) for number in range(6)])
    assert table.culprits[0].blocked_until == 5.0 + FIRST_BLOCK_SECONDS


def test_strikes_expire() -> None:
    table = StrikeTable()
    lose_servers(table, [build_keys(100 + number, BAD) for number in range(3)])
    later = STRIKE_LIFETIME_SECONDS + 10.0
    table.add_run(LostRun("s9", later, build_keys(200, OTHER)), later)
    assert not table.culprits
    assert len(table) == 1


def test_part_that_turned_bad_is_found_once_its_last_answer_is_old() -> None:
    table = StrikeTable()
    table.record_sound([BAD], 0.0)
    later = SOUND_LIFETIME_SECONDS
    lose_servers(
        table, [build_keys(100 + number, BAD) for number in range(3)], now=later
    )
    assert table.find_culprits(build_keys(999, BAD))


def test_server_that_lives_counts_against_nobody() -> None:
    table = StrikeTable()
    runs = [build_keys(100 + number, BAD) for number in range(3)]
    lose_servers(table, runs)
    assert table.record_survivor("s1", 3.0)
    assert not table.culprits
    assert not table.add_run(LostRun("s1", 1.0, runs[1]), 3.0)


def test_prompts_made_to_fill_the_memory_do_not_displace_what_is_blamed() -> None:
    table = StrikeTable(random.Random(1))
    table.record_sound([SYSTEM], 0.0)
    lose_servers(table, [build_keys(100 + number, BAD) for number in range(3)])
    for number in range(3 * MAX_RUNS):
        parts = range(1_000 * number + 10_000, 1_000 * number + 10_004)
        table.add_run(
            LostRun(f"x{number % 50}", 5.0, build_keys(number + 1_000, *parts)), 5.0
        )
    table.record_sound(range(10, 10 + 2 * MAX_SOUND_SUSPECTS), 5.0)
    assert len(table) <= MAX_RUNS
    assert table.find_culprits(build_keys(999, BAD))


def test_prompts_of_many_parts_keep_to_the_memory_of_a_router() -> None:
    tracemalloc.start()
    try:
        table = StrikeTable(random.Random(1))
        lose_servers(table, [build_keys(100 + number, BAD) for number in range(3)])
        for number in range(MAX_RUNS):
            first = 1_000_000 + 100 * number
            keys = SuspectKeys(first, tuple(range(first, first + MAX_PARTS_PER_RUN)))
            table.add_run(LostRun(f"x{number % 40}", 5.0, keys), 5.0)
            assert len(table._losses) <= MAX_SUSPECTS + MAX_PARTS_PER_RUN
        table.record_sound(range(10**12, 10**12 + MAX_SOUND_SUSPECTS), 5.0)
        used, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert used < MAX_MEMORY_BYTES
    assert table.find_culprits(build_keys(999, BAD))


def test_parts_of_a_prompt_are_limited() -> None:
    parts = tuple(PromptPart(f"{number:x}", 1) for number in range(10_000))
    head = RequestHead("a", None, "", "m", parts, 0, 0, None)
    request = RoutedRequest(
        head, "POST", "/", (), b"", STREAMING_ROUTE, "model", "w", 0.0, 10.0
    )
    assert len(SuspectKeys.from_request(request).parts) == MAX_PARTS_PER_RUN


def test_chosen_runs_hold_those_of_what_is_blamed() -> None:
    table = StrikeTable(random.Random(1))
    lose_servers(table, [build_keys(100 + number, BAD) for number in range(3)])
    for number in range(500):
        table.add_run(LostRun(f"x{number}", 3.0, build_keys(1_000 + number)), 3.0)
    chosen = table.choose_runs(16)
    assert len(chosen) == 16
    assert {"s0", "s1", "s2"} <= {run.server for run in chosen}


def test_bad_parts_in_different_requests_are_not_taken_for_one() -> None:
    table = StrikeTable()
    for number in range(MIN_CRASHES):
        for part in (BAD, OTHER):
            run = LostRun(f"s{number}", number, build_keys(10 * part + number, part))
            table.add_run(run, number)
    assert [len(culprit.keys) for culprit in table.culprits] == [1]


def test_part_is_not_blamed_for_servers_that_crash_at_the_same_moment() -> None:
    table = StrikeTable()
    for crash in range(5):
        now = 10.0 * crash
        for number in range(5):
            other = OTHER if number == crash else 1_000 + 10 * crash + number
            run = LostRun(
                f"s{number}/{crash}", now, build_keys(int(now) + number, other)
            )
            table.add_run(run, now)
    assert not table.culprits
    lose_servers(
        table, [build_keys(900 + number, OTHER) for number in range(3)], now=99.0
    )
    assert table.find_culprits(build_keys(999, OTHER))


def test_losses_of_a_request_and_its_part_are_explained_by_the_larger_number() -> None:
    runs = {
        BAD: {("a", 100), ("b", 100), ("c", 101), ("d", 102)},
        100: {("a", 100), ("b", 100)},
    }
    servers = {"a": 0.0, "b": 1.0, "c": 2.0, "d": 3.0}
    (culprit,) = find_culprits(runs, {100}, servers)
    assert culprit.keys == {BAD}
    assert not culprit.is_request
