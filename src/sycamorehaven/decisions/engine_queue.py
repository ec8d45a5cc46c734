"""
The queue of one engine, kept by the router that schedules it.

An engine runs what reaches it in order of arrival, and nothing can be taken
back from its own queue. In a large fleet, news of what others placed are older
than the time in which an engine's slots fill anew. Routers that decide by news
overfill some engines and leave others idle, and none can decide whose turn it
is. One router therefore admits all requests to an engine. It knows exactly
what runs and what is still to be read there, so it

- admits a request only while the engine has a free slot and little to read,
- lets the others wait here, in the order of what their workspaces received,
- refuses at once a request whose turn would come too late.

While an engine is cold, admissions are paced as well, in the same order.

Nothing is refused while the engine has a free slot and little to read, unless
it is cold.

The queue of one engine can't tell whether somebody waits at another one. While
requests of workspaces within their share are denied here, it therefore leaves
a part of the engine to them: a workspace above its share gets no slot that one
of them finds taken a moment later.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from typing import TYPE_CHECKING, Literal, NamedTuple

from sycamorehaven.decisions.cold_servers.admission_pacer import AdmissionPacer
from sycamorehaven.decisions.concurrency import ConcurrencyLimit
from sycamorehaven.decisions.prefill_rate import (
    FIRST_TOKEN_OVERHEAD_SECONDS,
    PrefillRate,
)
from sycamorehaven.decisions.usage_window import UsageWindow
from sycamorehaven.identity import RouterId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sycamorehaven.decisions.cold_servers.paces import Pace

MAX_BACKLOG_SECONDS = 0.1
"""Time to read what was admitted up to which more is admitted. It covers the
time until an admitted request reaches the engine."""
RESERVED_RATIO = 0.125
"""Fraction of the slots that is left to workspaces within their share while
they are denied, at least one slot."""
RESERVED_BACKLOG_RATIO = 0.5
"""Fraction of the time to read that is left to them."""
RESERVATION_SECONDS = 1.0
"""Time for which the reservation holds after a request was denied."""
INITIAL_RUN_SECONDS = 2.0
"""Time from admission to end that is assumed until one has been measured."""
RUN_SMOOTHING_RATIO = 0.1
"""Weight of the newest measurement in the moving average of that time."""
ADOPTION_GRACE_SECONDS = 0.5
"""Age from which an admission counts as ended if its router does not list it
among its own; until then the list may be older than the admission."""
MAX_WAITING_REQUESTS = 256
"""Waiting requests from which further ones are refused."""

LevelSource = Callable[[Collection[str]], Mapping[str, float]]
"""Returns what workspaces received, as fractions of what all received."""
Verdict = Literal["admitted", "queued", "refused"]
"""What a scheduler decides on a request."""
DenialCause = Literal["slots", "reading", "pacing", "order"]
"""What a request that is not admitted at once waits for: a slot, prompts that
are read before, the pace of a cold engine, or others whose turn is before."""


class AdmissionKey(NamedTuple):
    """
    Identifies a request at the scheduler.

    :ivar router: router that asks for it.
    :ivar number: the router's number of it.
    """

    router: RouterId
    number: int


class QueuedRequest(NamedTuple):
    """
    A request that a router wants to send to the engine.

    :ivar key: identifies it.
    :ivar workspace: its workspace.
    :ivar tokens: prompt tokens that the engine must read for it.
    :ivar cost: its cost in prompt tokens.
    :ivar resumes: whether its client already has a part of the answer.
    :ivar asked_at: when the router asked, in monotonic seconds.
    :ivar give_up_at: latest time at which it is still worth admitting.
    :ivar is_over_share: whether its workspace has received more than its fair
        share.
    """

    key: AdmissionKey
    workspace: str
    tokens: int
    cost: float
    resumes: bool
    asked_at: float
    give_up_at: float
    is_over_share: bool = False


class RunningRequest:
    """
    A request that was admitted and has not ended.

    :ivar tokens: prompt tokens that the engine must read for it.
    :ivar tokens_ahead: prompt tokens of others that it reads before.
    :ivar admitted_at: when it was admitted, in monotonic seconds.
    :ivar has_begun: whether its first token has come.
    """

    def __init__(self, tokens: int, tokens_ahead: float, admitted_at: float) -> None:
        self.tokens = tokens
        self.tokens_ahead = tokens_ahead
        self.admitted_at = admitted_at
        self.has_begun = False


class EngineState(NamedTuple):
    """
    What the scheduler of an engine knows of it.

    :ivar running: requests that were admitted and have not ended.
    :ivar waiting: requests that wait for admission.
    :ivar backlog_seconds: time until all that was admitted is read, or until
        a cold engine takes what does not wait yet.
    :ivar waiting_tokens: prompt tokens of the requests that wait.
    :ivar prefill_rate: prompt tokens that the engine reads per second.
    :ivar limit: requests that it may run.
    """

    running: int
    waiting: int
    backlog_seconds: float
    waiting_tokens: int
    prefill_rate: float
    limit: float

    def exclude(self, tokens: int) -> EngineState:
        """
        Return the state without one of the admitted requests.

        :param tokens: prompt tokens that the engine must read for it.
        """
        seconds = tokens / self.prefill_rate
        return self._replace(
            running=max(self.running - 1, 0),
            backlog_seconds=max(self.backlog_seconds - seconds, 0.0),
        )


class EngineQueue:
    """
    Admits requests to one engine.

    :param slots: requests that the engine runs at a time.
    :param window_seconds: time over which workspaces are compared.
    """

    def __init__(self, slots: int, window_seconds: float) -> None:
        self._slots = slots
        self._concurrency = ConcurrencyLimit(slots, initial_ratio=1.0)
        self._rate = PrefillRate()
        self._run_seconds = INITIAL_RUN_SECONDS
        self._read_until = 0.0
        self._running: dict[AdmissionKey, RunningRequest] = {}
        self._waiting: dict[AdmissionKey, QueuedRequest] = {}
        self._admitted_usage = UsageWindow(window_seconds)
        self._reserved_until = 0.0
        self._cold_pacer = AdmissionPacer()

    @property
    def is_paced(self) -> bool:
        """Whether admissions are paced because the engine is cold."""
        return self._cold_pacer.is_active

    @property
    def has_waiting(self) -> bool:
        """Whether a request waits for admission."""
        return bool(self._waiting)

    @property
    def concurrency(self) -> ConcurrencyLimit:
        """Limit on the requests that the engine may run."""
        return self._concurrency

    def get_state(self, now: float) -> EngineState:
        """Return what is known of the engine."""
        return EngineState(
            len(self._running),
            len(self._waiting),
            max(
                self._get_backlog(now),
                self._cold_pacer.get_delay(len(self._waiting), now),
            ),
            sum(request.tokens for request in self._waiting.values()),
            self._rate.rate,
            self._concurrency.limit,
        )

    def set_pace(self, pace: Pace | None, now: float) -> None:
        """
        Set the pace of admissions, for those that wait as well.

        :param pace: ``None`` if the engine is not cold.
        """
        self._cold_pacer.set_pace(pace, now)

    def submit(
        self, request: QueuedRequest, get_levels: LevelSource, now: float
    ) -> Verdict:
        """
        Admit a request, let it wait, or refuse it.

        :param get_levels: returns what workspaces received, as fractions of
            what all received.
        """
        if not self._waiting and self._is_open(request, now):
            self._admit(request, now)
            return "admitted"
        if not request.is_over_share:
            self._reserved_until = now + RESERVATION_SECONDS
        ranks = self._rank([*self._waiting.values(), request], get_levels, now)
        own_rank = ranks.pop(request.key)
        ahead = [self._waiting[key] for key, rank in ranks.items() if rank < own_rank]
        if not ahead and self._is_open(request, now):
            self._admit(request, now)
            return "admitted"
        is_too_late = now + self._estimate_wait(request, ahead, now) > (
            request.give_up_at
        )
        if is_too_late or len(self._waiting) >= MAX_WAITING_REQUESTS:
            return "refused"
        self._waiting[request.key] = request
        return "queued"

    def find_denial_cause(self, request: QueuedRequest, now: float) -> DenialCause:
        """Return what a request that was not admitted at once waits for."""
        if not self._cold_pacer.is_open(now):
            return "pacing"
        limit, max_backlog = self._get_limits(request, now)
        if len(self._running) >= limit:
            return "slots"
        return "reading" if self._get_backlog(now) > max_backlog else "order"

    def advance(
        self, get_levels: LevelSource, now: float
    ) -> list[tuple[AdmissionKey, Verdict]]:
        """
        Admit the waiting requests whose turn it is.

        :param get_levels: as for ``submit``.
        :returns: the requests that wait no longer, with what was decided.
        """
        decided: list[tuple[AdmissionKey, Verdict]] = []
        for key, request in list(self._waiting.items()):
            if now > request.give_up_at:
                del self._waiting[key]
                decided.append((key, "refused"))
        while (
            self._waiting
            and self._cold_pacer.is_open(now)
            and self._has_room(self._slots, MAX_BACKLOG_SECONDS, now)
        ):
            ranks = self._rank(self._waiting.values(), get_levels, now)
            first = self._waiting[min(ranks, key=ranks.__getitem__)]
            if not self._is_open(first, now):
                break
            del self._waiting[first.key]
            self._admit(first, now)
            decided.append((first.key, "admitted"))
        return decided

    def record_begin(self, key: AdmissionKey, seconds: float, now: float) -> None:
        """
        Record the first token of a request.

        :param seconds: time from its sending to its first token.
        """
        running = self._running.get(key)
        if running is None or running.has_begun:
            return
        running.has_begun = True
        self._rate.observe(running.tokens + running.tokens_ahead, seconds)
        unread = sum(
            other.tokens for other in self._running.values() if not other.has_begun
        )
        read_at = now - FIRST_TOKEN_OVERHEAD_SECONDS
        self._read_until = read_at + unread / self._rate.rate

    def record_end(self, key: AdmissionKey, now: float) -> None:
        """Record that a request has ended, or is no longer wanted."""
        self._waiting.pop(key, None)
        running = self._running.pop(key, None)
        if running is None:
            return
        if running.has_begun:
            elapsed = now - running.admitted_at
            self._run_seconds += (elapsed - self._run_seconds) * RUN_SMOOTHING_RATIO
        else:
            # It may not have been read; what is left tells the next begin.
            self._read_until -= running.tokens / self._rate.rate

    def reconcile(
        self,
        router: RouterId,
        held: Collection[tuple[int, int, bool]],
        now: float,
    ) -> None:
        """
        Replace what is known of a router's requests by what it says.

        :param held: number, prompt tokens and whether it has begun, for each
            request that the router has at the engine.
        """
        listed = {AdmissionKey(router, number) for number, _, _ in held}
        for key, running in list(self._running.items()):
            is_old = now - running.admitted_at >= ADOPTION_GRACE_SECONDS
            if key.router == router and key not in listed and is_old:
                self.record_end(key, now)
        for number, tokens, has_begun in held:
            key = AdmissionKey(router, number)
            if key not in self._running:
                self._waiting.pop(key, None)
                self._adopt(key, tokens, now, has_begun=has_begun)

    def retain_routers(self, routers: Collection[RouterId]) -> None:
        """Forget the requests of routers that are gone."""
        for key in [key for key in self._running if key.router not in routers]:
            del self._running[key]
        for key in [key for key in self._waiting if key.router not in routers]:
            del self._waiting[key]

    def _adopt(
        self, key: AdmissionKey, tokens: int, now: float, *, has_begun: bool
    ) -> None:
        running = RunningRequest(tokens, self._get_backlog_tokens(now), now)
        running.has_begun = has_begun
        self._running[key] = running
        if not has_begun:
            self._read_until = max(self._read_until, now) + tokens / self._rate.rate

    def _admit(self, request: QueuedRequest, now: float) -> None:
        self._adopt(request.key, request.tokens, now, has_begun=False)
        self._cold_pacer.take()
        self._admitted_usage.add(request.workspace, 0.0, request.cost, now)

    def _is_open(self, request: QueuedRequest, now: float) -> bool:
        """Return whether a request may be admitted."""
        return self._cold_pacer.is_open(now) and self._has_room(
            *self._get_limits(request, now), now
        )

    def _has_room(self, limit: float, max_backlog: float, now: float) -> bool:
        return len(self._running) < limit and self._get_backlog(now) <= max_backlog

    def _get_limits(self, request: QueuedRequest, now: float) -> tuple[float, float]:
        """
        Return how much the engine may run, and have to read, for a request.

        One that resumes a stream may use every slot.

        :returns: number of requests, and seconds to read what was admitted.
        """
        if request.resumes:
            return self._slots, MAX_BACKLOG_SECONDS
        limit = self._concurrency.limit
        if not request.is_over_share or now >= self._reserved_until:
            return limit, MAX_BACKLOG_SECONDS
        reserved = max(RESERVED_RATIO * limit, 1.0)
        max_backlog = MAX_BACKLOG_SECONDS * (1.0 - RESERVED_BACKLOG_RATIO)
        return max(limit - reserved, 1.0), max_backlog

    def _get_backlog(self, now: float) -> float:
        return max(self._read_until - now, 0.0)

    def _get_backlog_tokens(self, now: float) -> float:
        return self._get_backlog(now) * self._rate.rate

    def _rank(
        self, requests: Collection[QueuedRequest], get_levels: LevelSource, now: float
    ) -> dict[AdmissionKey, tuple[bool, bool, float, float]]:
        """
        Return the ranks of requests, lower ones first.

        Workspaces within their share go first. A workspace then ranks by what
        it received of the fleet and of this engine. What all engines gave is
        known late, and what this one gave at once. Without the latter, all
        schedulers would prefer the same workspace until the news arrive.
        """
        levels = get_levels({request.workspace for request in requests})
        usage = self._admitted_usage
        total = usage.get_total_received(now) or 1.0
        return {
            request.key: (
                not request.resumes,
                request.is_over_share,
                levels[request.workspace]
                + usage.get_received(request.workspace, now) / total,
                request.asked_at,
            )
            for request in requests
        }

    def _estimate_wait(
        self, request: QueuedRequest, ahead: Iterable[QueuedRequest], now: float
    ) -> float:
        """Return the time until a request is admitted after some others."""
        limit, max_backlog = self._get_limits(request, now)
        tokens_ahead = [other.tokens for other in ahead]
        reading = self._get_backlog(now) + sum(tokens_ahead) / self._rate.rate
        missing_slots = len(self._running) + len(tokens_ahead) + 1 - limit
        ends = self._run_seconds / limit * max(missing_slots, 0.0)
        pacing = self._cold_pacer.get_delay(len(tokens_ahead), now)
        return max(reading - max_backlog, ends, pacing)
