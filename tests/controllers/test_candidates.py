"""The servers that are compared for a request."""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING
from unittest import mock

from sycamorehaven.controllers import candidates
from sycamorehaven.controllers.candidates import (
    CACHE_HOLDERS,
    CandidateFinder,
    PendingRequest,
)
from sycamorehaven.controllers.service_load import LEAST_LOADED_SERVERS
from sycamorehaven.decisions.placement import MAX_RANK, choose_engine
from sycamorehaven.decisions.prefix_cache import hash_prefixes
from sycamorehaven.routing.model import (
    EngineCapacity,
    RequestLimits,
    RoutedService,
    RoutingConfiguration,
    ServerRecord,
    Snapshot,
)
from sycamorehaven.routing.requests import PromptPart, RequestHead, RoutedRequest
from tests.support.doubles import create_board
from tests.support.published_routes import STREAMING_ROUTE

if TYPE_CHECKING:
    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.decisions.placement import Candidate

ENGINES = 70
SLOTS = 16
NOW = 1_000.0


def build_board(versions: tuple[str, ...] = ("v1",)) -> Blackboard:
    board = create_board()
    servers = tuple(
        ServerRecord(
            f"s{n}",
            1,
            "model",
            f"10.0.0.{n}:80",
            "a",
            SLOTS,
            draining=False,
            software_version=versions[n % len(versions)],
        )
        for n in range(ENGINES)
    )
    capacity = EngineCapacity(SLOTS, 500_000, 1e6)
    services = {"model": RoutedService("model", 64, capacity)}
    limits = RequestLimits(16_384, 100_000, 3.0, 15.0, 0.0)
    configuration = RoutingConfiguration(
        1, 1, (STREAMING_ROUTE,), services, limits, None
    )
    board.routing.apply_snapshot(Snapshot(1, configuration, servers), NOW)
    return board


def build_pending(
    subject: int, number: int, excluded_servers: frozenset[str]
) -> PendingRequest:
    parts = (PromptPart(f"s{subject}", 6_000), PromptPart(f"o{number}", 3_000))
    head = RequestHead(f"x{number}", 12.0, "", "m", parts, 9_000, 100, None)
    request = RoutedRequest(
        head, "POST", "/", (), b"", STREAMING_ROUTE, "model", "w", NOW, NOW + 12.0
    )
    return PendingRequest(
        request,
        hash_prefixes("m", parts),
        excluded_servers,
        is_resume=False,
        queued_at=NOW,
        reservation=asyncio.get_running_loop().create_future(),
    )


def start_requests(board: Blackboard, rng: random.Random) -> None:
    """Let each engine run some requests and keep some prompts."""
    for n in range(ENGINES):
        model = board.fleet_load.find_model(f"s{n}")
        for _ in range(1 + rng.randrange(4)):
            model.start_request(rng.randrange(8_000), NOW)
        for subject in rng.sample(range(20), 2):
            parts = (PromptPart(f"s{subject}", 6_000),)
            model.prefix_cache.record_prompt(hash_prefixes("m", parts))
        if rng.random() < 0.1:
            model.health.record_connection_failure(NOW)


async def test_best_engine_is_among_those_compared() -> None:
    rng = random.Random(3)
    compared_counts = []
    for number in range(200):
        board = build_board()
        finder = CandidateFinder(board)
        finder.observe_service("model", NOW)
        start_requests(board, rng)
        load = finder.observe_service("model", NOW)
        excluded = frozenset({f"s{rng.randrange(ENGINES)}"})
        pending = build_pending(rng.randrange(30), number, excluded)
        compared = finder.list_candidates(pending, load)
        with mock.patch.object(candidates, "LEAST_LOADED_SERVERS", ENGINES):
            every = finder.list_candidates(pending, load)
        compared_counts.append(len(compared))
        assert choose_engine(compared) == choose_engine(every)
    print(max(compared_counts))
    assert max(compared_counts) <= LEAST_LOADED_SERVERS + CACHE_HOLDERS + MAX_RANK


async def test_prompt_is_copied_only_from_engines_of_the_same_software_version() -> (
    None
):
    board = build_board(("v1", "v2"))
    pending = build_pending(1, 1, frozenset())
    board.fleet_load.find_model("s0").prefix_cache.record_prompt(pending.prefixes[:1])
    finder = CandidateFinder(board)
    load = finder.observe_service("model", NOW)
    sources = {
        candidate.server.software_version: candidate.copy_source
        for candidate in finder.list_candidates(pending, load)
        if candidate.server.id != "s0"
    }
    assert sources == {"v1": "10.0.0.0:80", "v2": ""}


async def test_engine_that_was_assigned_a_request_is_ordered_anew() -> None:
    board = build_board()
    finder = CandidateFinder(board)
    load = finder.observe_service("model", NOW)
    assigned: set[str] = set()
    for number in range(LEAST_LOADED_SERVERS):
        candidates_now: list[Candidate] = finder.list_candidates(
            build_pending(number, number, frozenset()), load
        )
        best = choose_engine(candidates_now)
        assert best is not None
        assert best.server.id not in assigned
        assigned.add(best.server.id)
        board.fleet_load.find_model(best.server.id).start_request(50_000, NOW)
        load.update(best.server.id)


def test_slots_of_ejected_engines_do_not_count_as_free() -> None:
    board = build_board()
    finder = CandidateFinder(board)
    all_servers = finder.observe_service("model", NOW)
    free, total = all_servers.free_prompt_slots, all_servers.total_prompt_slots
    for n in range(ENGINES // 2):
        board.fleet_load.find_model(f"s{n}").health.record_connection_failure(NOW)
    half = finder.observe_service("model", NOW)
    assert half.free_prompt_slots == free / 2
    assert math.isclose(half.total_prompt_slots, total / 2)


def test_index_of_prompt_parts_agrees_with_the_caches_of_all_engines() -> None:
    rng = random.Random(5)
    board = build_board()
    names = [f"s{n}" for n in range(6)]
    for name in names:
        board.fleet_load.update_capacity(name, 30_000, SLOTS)
    for step in range(2_000):
        name = rng.choice(names)
        parts = tuple(
            PromptPart(f"{depth}-{rng.randrange(4)}", 1_000 * (1 + rng.randrange(4)))
            for depth in range(1 + rng.randrange(3))
        )
        prefixes = hash_prefixes("m", parts)
        board.fleet_load.find_model(name).prefix_cache.record_prompt(prefixes)
        if step % 97 == 0:
            board.fleet_load.find_model(name).reset_after_restart()
        counted = {
            other: tokens
            for other in names
            if (
                tokens := board.fleet_load.find_model(
                    other
                ).prefix_cache.count_cached_tokens(prefixes)
            )
        }
        levels = board.fleet_load.prefix_index.list_holders(prefixes)
        indexed: dict[str, int] = {}
        for tokens, holders in reversed(levels):
            indexed.update(dict.fromkeys(holders, tokens))
        assert indexed == counted
    board.fleet_load.retain_models(set())
    assert not board.fleet_load.prefix_index.list_holders(prefixes)
