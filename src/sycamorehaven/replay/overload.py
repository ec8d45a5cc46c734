"""
Overload of model engines, replayed on a given clock.

One router with the decisions of published routes stands before engines of
unequal speed. More comes than they can read; refused clients come back once.
Each mechanism can be left out, so that a run shows what it is worth.
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
"""Seconds to the first event that are on time."""
MAX_PAUSE_SECONDS = 0.4
"""Seconds between two events that are on time."""
CLIENT_TIMEOUT_SECONDS = 12.0
"""Seconds that a client waits."""
ENGINE_SLOTS = 64
ENGINE_CACHE_TOKENS = 670_000
ENGINE_SPEEDS = (0.55, 1.2, 1.2, 1.2, 1.2)
DISPATCH_INTERVAL_SECONDS = 0.02
"""Seconds between two looks at the waiting requests."""


class EnabledMechanisms(NamedTuple):
    """
    The mechanisms that are in use.

    :ivar affinity: prompts go where their shared part is kept.
    :ivar limits: what an engine runs is bounded by the pauses of its streams.
    :ivar yields: clients that are late in any case yield.
    :ivar copies: shared parts are copied between engines.
    :ivar refuses: hopeless requests are turned away.
    """

    affinity: bool = True
    limits: bool = True
    yields: bool = True
    copies: bool = True
    refuses: bool = True


class ReplayLoad(NamedTuple):
    """
    What comes.

    :ivar rate: requests a second.
    :ivar length: seconds in which they come.
    :ivar subjects: subjects that they are about.
    :ivar seed: of the randomness.
    """

    rate: float = 62.0
    duration_seconds: float = 30.0
    subjects: int = 110
    seed: int = 1


class ReplayOutcome(NamedTuple):
    """
    What became of the requests.

    :ivar asked: requests, without those that came back.
    :ivar on_time: answered whole and on time.
    :ivar late: answered whole and late.
    :ivar read: prompt tokens that engines read.
    """

    asked: int
    on_time: int
    late: int
    read: int


class PendingRequest(NamedTuple):
    """
    A request at the router.

    :ivar prompt: what is asked.
    :ivar asked: when the client asked first.
    :ivar received: when this try came.
    """

    request: ReplayedRequest
    first_sent_at: float
    received_at: float


class OverloadReplay:
    """
    One run.

    :param policy: mechanisms in use.
    :param load: what comes.
    """

    def __init__(self, policy: EnabledMechanisms, load: ReplayLoad) -> None:
        self._mechanisms = policy
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
        """Play the load to its end."""
        at = 0.0
        while at < self._load.duration_seconds:
            at += self._random.expovariate(self._load.rate)
            self._schedule_event(
                at, "ask", PendingRequest(self._draw_request(), at, at)
            )
            self._asked_count += 1
        while self._events:
            now, _, kind, value = heapq.heappop(self._events)
            if kind == "ask":
                self._waiting.append(value)
                self._dispatch_waiting(now)
            elif kind == "look":
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
        own = int(min(self._random.lognormvariate(7.6, 1.0), 40_000))
        subject = self._random.randrange(self._load.subjects)
        output = int(min(self._random.lognormvariate(4.4, 0.8), 400)) + 1
        return ReplayedRequest(self._asked_count, subject, 10_000, own, output)

    def _dispatch_waiting(self, now: float) -> None:
        waiting, self._waiting = self._waiting, []
        for asking in waiting:
            self._dispatch_request(asking, now)
        if self._waiting and not self._is_dispatch_scheduled:
            self._is_dispatch_scheduled = True
            self._schedule_event(now + DISPATCH_INTERVAL_SECONDS, "look", None)

    def _dispatch_request(self, asking: PendingRequest, now: float) -> None:
        chain = hash_request_prompt(asking.request)
        candidates = self._list_candidates(asking.request, chain, now)
        best = choose_engine(candidates)
        asked = asking.first_sent_at if self._mechanisms.yields else asking.received_at
        demand = PlacementRequest(
            asked,
            asking.received_at,
            FIRST_EVENT_TARGET_SECONDS,
            asking.first_sent_at + CLIENT_TIMEOUT_SECONDS,
            True,
        )
        action = decide_prompt_request(demand, best, now)
        if best is not None and not self._mechanisms.refuses:
            action = "place"
        if action == "place" and best is not None:
            self._place_request(asking, best, chain, now)
        elif action == "wait" or not self._mechanisms.refuses:
            self._waiting.append(asking)
        elif asking.first_sent_at == asking.received_at:
            wait = min(one.pending_tokens / one.prefill_rate for one in candidates)
            again = now + choose_retry_after(demand, wait, now)
            self._schedule_event(again, "ask", asking._replace(received_at=again))

    def _list_candidates(
        self, prompt: ReplayedRequest, chain: tuple[tuple[int, int], ...], now: float
    ) -> list[Candidate]:
        total = prompt.shared_prompt_tokens + prompt.own_prompt_tokens
        kept = {
            n: m.prefix_cache.count_cached_tokens(chain)
            for n, m in self._models.items()
        }
        if not self._mechanisms.affinity:
            kept = dict.fromkeys(kept, 0)
        most = max(kept.values())
        candidates = []
        for rank, (name, model) in enumerate(self._models.items()):
            copied = most - kept[name] if self._mechanisms.copies else 0
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
                    uncached_tokens=total - kept[name] - copied,
                    copied_tokens=copied,
                    copy_source="a" if copied else "",
                    prefill_rate=model.prefill_rate,
                    error_ratio=0.0,
                    is_local=True,
                    rank=(rank + prompt.subject) % len(self._models),
                )
            )
        return candidates

    def _place_request(
        self,
        asking: PendingRequest,
        best: Placement,
        chain: tuple[tuple[int, int], ...],
        now: float,
    ) -> None:
        name, prompt = best.server.id, asking.request
        copied = bool(best.copy_source) and any(
            engine.has_cached(prompt.subject) for engine in self._engines.values()
        )
        engine = self._engines[name]
        if not copied and not engine.has_cached(prompt.subject):
            self._read_tokens += prompt.shared_prompt_tokens
        self._read_tokens += prompt.own_prompt_tokens
        reading = self._models[name].start_request(best.uncached_tokens, now)
        self._models[name].prefix_cache.record_prompt(chain)
        self._placed_requests[prompt.request_number] = asking, reading
        engine.start_request(prompt, now, copied)
        if name not in self._busy_engines:
            self._busy_engines.add(name)
            self._schedule_event(now, "step", name)

    def _run_engine_step(self, name: str, now: float) -> None:
        engine = self._engines[name]
        if not engine.running:
            self._busy_engines.discard(name)
            return
        ends, events = engine.run_step(now)
        for event in events:
            self._record_event(name, event, ends)
        self._schedule_event(ends, "step", name)

    def _record_event(self, name: str, event: StreamEvent, now: float) -> None:
        number = event.running.request.request_number
        asking, reading = self._placed_requests[number]
        model = self._models[name]
        if event.is_first:
            model.record_first_token(reading, now)
            if now - asking.first_sent_at > FIRST_EVENT_TARGET_SECONDS:
                self._late_requests.add(number)
        else:
            model.concurrency.observe_gap(event.pause, MAX_PAUSE_SECONDS, now)
            if event.pause > MAX_PAUSE_SECONDS:
                self._late_requests.add(number)
        if event.is_last:
            model.finish_request()
            if now - asking.first_sent_at > CLIENT_TIMEOUT_SECONDS:
                return
            if number in self._late_requests:
                self._late_count += 1
            else:
                self._on_time_count += 1


def hash_request_prompt(prompt: ReplayedRequest) -> tuple[tuple[int, int], ...]:
    """Return the parts of a prompt as the router sees them."""
    parts = [
        PromptPart(f"s{prompt.subject}", prompt.shared_prompt_tokens),
        PromptPart(f"r{prompt.request_number}", prompt.own_prompt_tokens),
    ]
    return hash_prefixes("model", parts)


def run_replay(
    policy: EnabledMechanisms, load: ReplayLoad | None = None
) -> ReplayOutcome:
    """Return what becomes of a load under a policy."""
    return OverloadReplay(policy, load or ReplayLoad()).run()
