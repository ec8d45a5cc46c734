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
from sycamorehaven.replay.engines import Event, ModelEngine, Prompt
from sycamorehaven.routing.model import ServerRecord
from sycamorehaven.routing.requests import PromptPart

TARGET = 0.8
"""Seconds to the first event that are on time."""
LONGEST_PAUSE = 0.4
"""Seconds between two events that are on time."""
PATIENCE = 12.0
"""Seconds that a client waits."""
SLOTS = 64
MEMORY = 670_000
SPEEDS = (0.55, 1.2, 1.2, 1.2, 1.2)
LOOK = 0.02
"""Seconds between two looks at the waiting requests."""


class Policy(NamedTuple):
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


class Load(NamedTuple):
    """
    What comes.

    :ivar rate: requests a second.
    :ivar length: seconds in which they come.
    :ivar subjects: subjects that they are about.
    :ivar seed: of the randomness.
    """

    rate: float = 62.0
    length: float = 30.0
    subjects: int = 110
    seed: int = 1


class Outcome(NamedTuple):
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


class Asking(NamedTuple):
    """
    A request at the router.

    :ivar prompt: what is asked.
    :ivar asked: when the client asked first.
    :ivar received: when this try came.
    """

    prompt: Prompt
    asked: float
    received: float


class RoutedReplay:
    """
    One run.

    :param policy: mechanisms in use.
    :param load: what comes.
    """

    def __init__(self, policy: Policy, load: Load) -> None:
        self._policy = policy
        self._load = load
        self._random = random.Random(load.seed)
        self._engines = {
            f"engine-{n}": ModelEngine(speed, MEMORY) for n, speed in enumerate(SPEEDS)
        }
        self._models = {name: ServerModel() for name in self._engines}
        for model in self._models.values():
            model.update_capacity(MEMORY, SLOTS)
        self._events: list[tuple[float, int, str, Any]] = []
        self._order = 0
        self._waiting: list[Asking] = []
        self._placed: dict[int, tuple[Asking, Prefill]] = {}
        self._late: set[int] = set()
        self._busy: set[str] = set()
        self._looks = False
        self._asked = self._on_time = self._late_count = self._read = 0

    def run(self) -> Outcome:
        """Play the load to its end."""
        at = 0.0
        while at < self._load.length:
            at += self._random.expovariate(self._load.rate)
            self._push(at, "ask", Asking(self._draw(), at, at))
            self._asked += 1
        while self._events:
            now, _, kind, value = heapq.heappop(self._events)
            if kind == "ask":
                self._waiting.append(value)
                self._look(now)
            elif kind == "look":
                self._looks = False
                self._look(now)
            else:
                self._step(value, now)
        return Outcome(self._asked, self._on_time, self._late_count, self._read)

    def _push(self, at: float, kind: str, value: object) -> None:
        self._order += 1
        heapq.heappush(self._events, (at, self._order, kind, value))

    def _draw(self) -> Prompt:
        own = int(min(self._random.lognormvariate(7.6, 1.0), 40_000))
        subject = self._random.randrange(self._load.subjects)
        output = int(min(self._random.lognormvariate(4.4, 0.8), 400)) + 1
        return Prompt(self._asked, subject, 10_000, own, output)

    def _look(self, now: float) -> None:
        waiting, self._waiting = self._waiting, []
        for asking in waiting:
            self._settle(asking, now)
        if self._waiting and not self._looks:
            self._looks = True
            self._push(now + LOOK, "look", None)

    def _settle(self, asking: Asking, now: float) -> None:
        chain = make_chain(asking.prompt)
        candidates = self._list_candidates(asking.prompt, chain, now)
        best = choose_engine(candidates)
        asked = asking.asked if self._policy.yields else asking.received
        demand = PlacementRequest(
            asked, asking.received, TARGET, asking.asked + PATIENCE, True
        )
        action = decide_prompt_request(demand, best, now)
        if best is not None and not self._policy.refuses:
            action = "place"
        if action == "place" and best is not None:
            self._place(asking, best, chain, now)
        elif action == "wait" or not self._policy.refuses:
            self._waiting.append(asking)
        elif asking.asked == asking.received:
            wait = min(one.pending_tokens / one.prefill_rate for one in candidates)
            again = now + choose_retry_after(demand, wait, now)
            self._push(again, "ask", asking._replace(received=again))

    def _list_candidates(
        self, prompt: Prompt, chain: tuple[tuple[int, int], ...], now: float
    ) -> list[Candidate]:
        total = prompt.shared + prompt.own
        kept = {
            n: m.prefix_cache.count_cached_tokens(chain)
            for n, m in self._models.items()
        }
        if not self._policy.affinity:
            kept = dict.fromkeys(kept, 0)
        most = max(kept.values())
        candidates = []
        for rank, (name, model) in enumerate(self._models.items()):
            copied = most - kept[name] if self._policy.copies else 0
            limit = model.concurrency.limit if self._policy.limits else float(SLOTS)
            server = ServerRecord(name, 0, "model", "", "", SLOTS, draining=False)
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

    def _place(
        self,
        asking: Asking,
        best: Placement,
        chain: tuple[tuple[int, int], ...],
        now: float,
    ) -> None:
        name, prompt = best.server.id, asking.prompt
        copied = bool(best.copy_source) and any(
            engine.keeps(prompt.subject) for engine in self._engines.values()
        )
        engine = self._engines[name]
        if not copied and not engine.keeps(prompt.subject):
            self._read += prompt.shared
        self._read += prompt.own
        reading = self._models[name].start_request(best.uncached_tokens, now)
        self._models[name].prefix_cache.record_prompt(chain)
        self._placed[prompt.number] = asking, reading
        engine.begin(prompt, now, copied)
        if name not in self._busy:
            self._busy.add(name)
            self._push(now, "step", name)

    def _step(self, name: str, now: float) -> None:
        engine = self._engines[name]
        if not engine.running:
            self._busy.discard(name)
            return
        ends, events = engine.step(now)
        for event in events:
            self._note(name, event, ends)
        self._push(ends, "step", name)

    def _note(self, name: str, event: Event, now: float) -> None:
        number = event.progress.prompt.number
        asking, reading = self._placed[number]
        model = self._models[name]
        if event.first:
            model.record_first_token(reading, now)
            if now - asking.asked > TARGET:
                self._late.add(number)
        else:
            model.concurrency.observe_gap(event.gap, LONGEST_PAUSE, now)
            if event.gap > LONGEST_PAUSE:
                self._late.add(number)
        if event.last:
            model.finish_request()
            if now - asking.asked > PATIENCE:
                return
            if number in self._late:
                self._late_count += 1
            else:
                self._on_time += 1


def make_chain(prompt: Prompt) -> tuple[tuple[int, int], ...]:
    """Return the parts of a prompt as the router sees them."""
    parts = [
        PromptPart(f"s{prompt.subject}", prompt.shared),
        PromptPart(f"r{prompt.number}", prompt.own),
    ]
    return hash_prefixes("model", parts)


def replay(policy: Policy, load: Load | None = None) -> Outcome:
    """Return what becomes of a load under a policy."""
    return RoutedReplay(policy, load or Load()).run()
