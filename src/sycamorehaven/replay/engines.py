"""
Model engines on a given clock: batches, chunked prefill, prompt memory.

An engine makes steps. In a step every running stream gets a token, and a chunk
of the prompts that are not read yet is read in the order of their arrival, so
reading makes the pauses of all streams longer.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

CHUNK_TOKENS = 4_096
"""Prompt tokens that are read in one step, at most."""
PREFILL_TOKENS_PER_SECOND = 54_600.0
"""Prompt tokens read in a second at speed 1."""
STEP_SECONDS = 0.0056
"""Seconds of a step without streams and prompts at speed 1."""
STEP_SECONDS_PER_STREAM = 0.00012
"""Further seconds of a step for each stream."""
TOKENS_PER_EVENT = 3
"""Tokens in one event."""


class ReplayedRequest(NamedTuple):
    """
    A prompt with its answer.

    :ivar number: names the request.
    :ivar subject: key of the part that other prompts share.
    :ivar shared: tokens of that part.
    :ivar own: further tokens.
    :ivar output: tokens of the answer.
    """

    request_number: int
    subject: int
    shared_prompt_tokens: int
    own_prompt_tokens: int
    output_tokens: int


class RunningRequest:
    """
    A request at an engine.

    :param prompt: the request.
    :param unread: prompt tokens to read.
    :param sent: seconds at which it came.
    """

    def __init__(self, prompt: ReplayedRequest, unread: int, sent: float) -> None:
        self.request = prompt
        self.unread_tokens = unread
        self.started_at = sent
        self.generated_tokens = 0
        self.last_event_at = 0.0


class StreamEvent(NamedTuple):
    """
    An event of a stream.

    :ivar progress: the request.
    :ivar gap: seconds since the event before, 0 for the first.
    :ivar first: whether it is the first.
    :ivar last: whether it is the last.
    """

    running: RunningRequest
    pause: float
    is_first: bool
    is_last: bool


class SimulatedEngine:
    """
    One engine.

    :param speed: factor on all that it does.
    :param memory: prompt tokens that it keeps.
    """

    def __init__(self, speed: float, memory: int) -> None:
        self._speed = speed
        self._cache_capacity_tokens = memory
        self._cached_tokens: OrderedDict[int, int] = OrderedDict()
        self.running: list[RunningRequest] = []
        self._total_cached_tokens = 0

    def has_cached(self, subject: int) -> bool:
        """Return whether it keeps the shared part of a subject."""
        return subject in self._cached_tokens

    def start_request(self, prompt: ReplayedRequest, now: float, copied: bool) -> None:
        """Take a request; ``copied`` if its shared part need not be read."""
        unread = prompt.own_prompt_tokens
        if not copied and not self.has_cached(prompt.subject):
            unread += prompt.shared_prompt_tokens
        self._cache_prompt(prompt)
        self.running.append(RunningRequest(prompt, unread, now))

    def run_step(self, now: float) -> tuple[float, list[StreamEvent]]:
        """Make a step; return when it ends and the events that it makes."""
        left = CHUNK_TOKENS
        streams = 0
        for progress in self.running:
            read = min(progress.unread_tokens, left)
            progress.unread_tokens -= read
            left -= read
            streams += not progress.unread_tokens
        length = (
            STEP_SECONDS
            + STEP_SECONDS_PER_STREAM * streams
            + (CHUNK_TOKENS - left) / PREFILL_TOKENS_PER_SECOND
        )
        ends = now + length / self._speed
        events = [
            event
            for progress in self.running
            if not progress.unread_tokens
            and (event := self._generate_token(progress, ends))
        ]
        self.running = [
            one
            for one in self.running
            if one.generated_tokens < one.request.output_tokens
        ]
        return ends, events

    def _generate_token(
        self, progress: RunningRequest, now: float
    ) -> StreamEvent | None:
        progress.generated_tokens += 1
        last = progress.generated_tokens >= progress.request.output_tokens
        if not last and progress.generated_tokens % TOKENS_PER_EVENT != 1:
            return None
        first = not progress.last_event_at
        gap = 0.0 if first else now - progress.last_event_at
        progress.last_event_at = now
        return StreamEvent(progress, gap, first, last)

    def _cache_prompt(self, prompt: ReplayedRequest) -> None:
        # What only this request needs takes room like everything else.
        for key, tokens in (
            (prompt.subject, prompt.shared_prompt_tokens),
            (-prompt.request_number - 1, prompt.own_prompt_tokens),
        ):
            self._total_cached_tokens += tokens - self._cached_tokens.pop(key, 0)
            self._cached_tokens[key] = tokens
        while self._total_cached_tokens > self._cache_capacity_tokens:
            self._total_cached_tokens -= self._cached_tokens.popitem(last=False)[1]
