"""
Simulation of one router in front of overloaded model engines.

The router makes the same decisions as for published routes, on a simulated
clock. Requests arrive faster than the engines, which differ in speed, can read
their prompts. A rejected client tries once more. Each overload mechanism can
be disabled, so that a comparison of two runs shows its effect.
"""

from __future__ import annotations

import heapq
import random
from typing import Any, NamedTuple

from sycamorehaven.decisions.load_shedding import (
    PlacementRequest,
    choose_retry_after,
    decide_prompt_request,
)
from sycamorehaven.decisions.placement import Candidate, Placement, choose_engine
from sycamorehaven.decisions.prefix_cache import hash_prefixes
from sycamorehaven.decisions.server_model import Prefill, ServerModel
from sycamorehaven.replay.engines import ReplayedRequest, SimulatedEngine, StreamEvent
from sycamorehaven.routing.model import ServerRecord
from sycamorehaven.routing.requests import PromptPart

FIRST_EVENT_TARGET_SECONDS = 0.8
"""Maximum time to the first event of a request that is on time."""
MAX_PAUSE_SECONDS = 0.4
"""Maximum time between two events of a request that is on time."""
CLIENT_TIMEOUT_SECONDS = 12.0
"""Time after its first attempt at which a client gives up."""
ENGINE_SLOTS = 64
"""Maximum number of requests that an engine runs at a time."""
ENGINE_CACHE_TOKENS = 670_000
"""Capacity of the prefix cache of each engine."""
ENGINE_SPEEDS = (0.55, 1.2, 1.2, 1.2, 1.2)
"""Speed of each engine; the first one is much slower than the others."""
DISPATCH_INTERVAL_SECONDS = 0.02
"""Interval at which the router tries to place its waiting requests."""


class EnabledMechanisms(NamedTuple):
    """
    Overload mechanisms that are enabled.

    The field names are the values of the command-line option ``--without``.

    :ivar affinity: requests prefer engines that cached their prompt prefix.
    :ivar limits: each engine has a concurrency limit, which adapts to the
        pauses of its streams.
    :ivar yields: requests of clients that will be late in any case give way
        to requests that can still be on time.
    :ivar copies: cached prompt prefixes are copied between engines.
    :ivar refuses: requests that cannot be on time are rejected.
    """

    affinity: bool = True
    limits: bool = True
    yields: bool = True
    copies: bool = True
    refuses: bool = True


class ReplayLoad(NamedTuple):
    """
    The requests of a replay, which arrive as a Poisson process.

    :ivar rate: average arrival rate in requests per second.
    :ivar duration_seconds: period in which requests arrive.
    :ivar subjects: number of different shared prompt prefixes.
    :ivar seed: seed of the random number generator.
    """

    rate: float = 62.0
    duration_seconds: float = 30.0
    subjects: int = 110
    seed: int = 1


class ReplayOutcome(NamedTuple):
    """
    Results of a replay.

    :ivar asked: number of requests, not counting repeated attempts.
    :ivar on_time: number of requests that were answered completely and on
        time.
    :ivar late: number of requests that were answered completely but late.
    :ivar read: number of prompt tokens that the engines read.
    """

    asked: int
    on_time: int
    late: int
    read: int


class PendingRequest(NamedTuple):
    """
    An attempt of a client that the router has received.

    :ivar request: the request.
    :ivar first_sent_at: time of the client's first attempt, in seconds.
    :ivar received_at: time of this attempt, in seconds.
    """

    request: ReplayedRequest
    first_sent_at: float
    received_at: float


class OverloadReplay:
    """
    One simulation run.

    :param mechanisms: enabled mechanisms.
    :param load: arriving requests.
    """

    def __init__(self, mechanisms: EnabledMechanisms, load: ReplayLoad) -> None:
        self._mechanisms = mechanisms
        self._load = load
        self._random = random.Random(load.seed)
        self._engines = {
            f"engine-{n}": SimulatedEngine(speed, ENGINE_CACHE_TOKENS)
            for n, speed in enumerate(ENGINE_SPEEDS)
        }
        self._models = {name: ServerModel() for name in self._engines}
        for model in self._models.values():
            model.update_capacity(ENGINE_CACHE_TOKENS, ENGINE_SLOTS)
        self._events: list[tuple[float, int, str, Any]] = []
        self._event_count = 0
        self._waiting: list[PendingRequest] = []
        self._placed_requests: dict[int, tuple[PendingRequest, Prefill]] = {}
        self._late_requests: set[int] = set()
        self._busy_engines: set[str] = set()
        self._is_dispatch_scheduled = False
        self._asked_count = self._on_time_count = self._late_count = (
            self._read_tokens
        ) = 0

    def run(self) -> ReplayOutcome:
        """Simulate the load until the last request has ended."""
        at = 0.0
        while at < self._load.duration_seconds:
            at += self._random.expovariate(self._load.rate)
            self._schedule_event(
                at, "arrival", PendingRequest(self._draw_request(), at, at)
            )
            self._asked_count += 1
        while self._events:
            now, _, kind, value = heapq.heappop(self._events)
            if kind == "arrival":
                self._waiting.append(value)
                self._dispatch_waiting(now)
            elif kind == "dispatch":
                self._is_dispatch_scheduled = False
                self._dispatch_waiting(now)
            else:
                self._run_engine_step(value, now)
        return ReplayOutcome(
            self._asked_count, self._on_time_count, self._late_count, self._read_tokens
        )

    def _schedule_event(self, at: float, kind: str, value: object) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (at, self._event_count, kind, value))

    def _draw_request(self) -> ReplayedRequest:
        # Lengths are in tokens; every shared prefix has 10,000.
        own = int(min(self._random.lognormvariate(7.6, 1.0), 40_000))
        subject = self._random.randrange(self._load.subjects)
        output = int(min(self._random.lognormvariate(4.4, 0.8), 400)) + 1
        return ReplayedRequest(self._asked_count, subject, 10_000, own, output)

    def _dispatch_waiting(self, now: float) -> None:
        waiting, self._waiting = self._waiting, []
        for pending in waiting:
            self._dispatch_request(pending, now)
        if self._waiting and not self._is_dispatch_scheduled:
            self._is_dispatch_scheduled = True
            self._schedule_event(now + DISPATCH_INTERVAL_SECONDS, "dispatch", None)

    def _dispatch_request(self, pending: PendingRequest, now: float) -> None:
        prefix_hashes = hash_request_prompt(pending.request)
        candidates = self._list_candidates(pending.request, prefix_hashes, now)
        placement = choose_engine(candidates)
        first_asked_at = (
            pending.first_sent_at if self._mechanisms.yields else pending.received_at
        )
        placement_request = PlacementRequest(
            first_asked_at,
            pending.received_at,
            FIRST_EVENT_TARGET_SECONDS,
            pending.first_sent_at + CLIENT_TIMEOUT_SECONDS,
            True,
        )
        action = decide_prompt_request(placement_request, placement, now)
        if placement is not None and not self._mechanisms.refuses:
            action = "place"
        if action == "place" and placement is not None:
            self._place_request(pending, placement, prefix_hashes, now)
        elif action == "wait" or not self._mechanisms.refuses:
            self._waiting.append(pending)
        elif pending.first_sent_at == pending.received_at:
            queue_seconds = min(
                candidate.pending_tokens / candidate.prefill_rate
                for candidate in candidates
            )
            retry_at = now + choose_retry_after(placement_request, queue_seconds, now)
            self._schedule_event(
                retry_at, "arrival", pending._replace(received_at=retry_at)
            )

    def _list_candidates(
        self,
        request: ReplayedRequest,
        prefix_hashes: tuple[tuple[int, int], ...],
        now: float,
    ) -> list[Candidate]:
        total_tokens = request.shared_prompt_tokens + request.own_prompt_tokens
        cached_tokens = {
            name: model.prefix_cache.count_cached_tokens(prefix_hashes)
            for name, model in self._models.items()
        }
        if not self._mechanisms.affinity:
            cached_tokens = dict.fromkeys(cached_tokens, 0)
        most_cached = max(cached_tokens.values())
        candidates = []
        for rank, (name, model) in enumerate(self._models.items()):
            copied = most_cached - cached_tokens[name] if self._mechanisms.copies else 0
            limit = (
                model.concurrency.limit
                if self._mechanisms.limits
                else float(ENGINE_SLOTS)
            )
            server = ServerRecord(
                name, 0, "model", "", "", ENGINE_SLOTS, draining=False
            )
            candidates.append(
                Candidate(
                    server=server,
                    running_requests=model.count_requests(now),
                    concurrency_limit=limit,
                    pending_tokens=model.count_pending_tokens(now),
                    uncached_tokens=total_tokens - cached_tokens[name] - copied,
                    copied_tokens=copied,
                    copy_source="a" if copied else "",
                    prefill_rate=model.prefill_rate,
                    error_ratio=0.0,
                    is_local=True,
                    rank=(rank + request.subject) % len(self._models),
                )
            )
        return candidates

    def _place_request(
        self,
        pending: PendingRequest,
        placement: Placement,
        prefix_hashes: tuple[tuple[int, int], ...],
        now: float,
    ) -> None:
        name, request = placement.server.id, pending.request
        copied = bool(placement.copy_source) and any(
            engine.has_cached(request.subject) for engine in self._engines.values()
        )
        engine = self._engines[name]
        if not copied and not engine.has_cached(request.subject):
            self._read_tokens += request.shared_prompt_tokens
        self._read_tokens += request.own_prompt_tokens
        prefill = self._models[name].start_request(placement.uncached_tokens, now)
        self._models[name].prefix_cache.record_prompt(prefix_hashes)
        self._placed_requests[request.request_number] = pending, prefill
        engine.start_request(request, now, copied)
        if name not in self._busy_engines:
            self._busy_engines.add(name)
            self._schedule_event(now, "step", name)

    def _run_engine_step(self, name: str, now: float) -> None:
        engine = self._engines[name]
        if not engine.running_requests:
            self._busy_engines.discard(name)
            return
        end, events = engine.run_step(now)
        for event in events:
            self._record_event(name, event, end)
        self._schedule_event(end, "step", name)

    def _record_event(self, name: str, event: StreamEvent, now: float) -> None:
        number = event.running_request.request.request_number
        pending, prefill = self._placed_requests[number]
        model = self._models[name]
        if event.is_first:
            model.record_first_token(prefill, now)
            if now - pending.first_sent_at > FIRST_EVENT_TARGET_SECONDS:
                self._late_requests.add(number)
        else:
            model.concurrency.observe_gap(event.pause, MAX_PAUSE_SECONDS, now)
            if event.pause > MAX_PAUSE_SECONDS:
                self._late_requests.add(number)
        if event.is_last:
            model.finish_request()
            if now - pending.first_sent_at > CLIENT_TIMEOUT_SECONDS:
                return
            if number in self._late_requests:
                self._late_count += 1
            else:
                self._on_time_count += 1


def hash_request_prompt(request: ReplayedRequest) -> tuple[tuple[int, int], ...]:
    """Return the hash of each prompt prefix and the tokens that it adds."""
    parts = [
        PromptPart(f"s{request.subject}", request.shared_prompt_tokens),
        PromptPart(f"r{request.request_number}", request.own_prompt_tokens),
    ]
    return hash_prefixes("model", parts)


def run_replay(
    mechanisms: EnabledMechanisms, load: ReplayLoad | None = None
) -> ReplayOutcome:
    """Simulate a load with the enabled mechanisms and return the results."""
    return OverloadReplay(mechanisms, load or ReplayLoad()).run()
