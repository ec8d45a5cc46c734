"""
Simulated model engines with batching, chunked prefill and a prefix cache.

An engine works in steps. In each step, it generates a token for every request
whose prompt has been read, and reads a chunk of the unread prompts in order of
arrival. Reading prompts therefore lengthens the pauses of all streams. The
caller supplies the time, in seconds since the start of the simulation.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

CHUNK_TOKENS = 4_096
"""Maximum number of prompt tokens that an engine reads per step."""
PREFILL_TOKENS_PER_SECOND = 54_600.0
"""Rate at which an engine of speed 1 reads prompts."""
STEP_SECONDS = 0.0056
"""Duration of an empty step of an engine of speed 1."""
STEP_SECONDS_PER_STREAM = 0.00012
"""Time that each stream adds to a step of an engine of speed 1."""
TOKENS_PER_EVENT = 3
"""Number of generated tokens that a stream sends in one event."""


class ReplayedRequest(NamedTuple):
    """
    A simulated request to a model.

    :ivar request_number: number of the request, unique in a replay.
    :ivar subject: key of the prompt prefix that other requests share.
    :ivar shared_prompt_tokens: length of the shared prefix in tokens.
    :ivar own_prompt_tokens: length of the rest of the prompt in tokens.
    :ivar output_tokens: length of the answer in tokens.
    """

    request_number: int
    subject: int
    shared_prompt_tokens: int
    own_prompt_tokens: int
    output_tokens: int


class RunningRequest:
    """
    A request that an engine is running.

    :param request: the request.
    :param unread_tokens: number of prompt tokens that the engine must read.
    :param started_at: time at which the engine received the request, in
        seconds.
    """

    def __init__(
        self, request: ReplayedRequest, unread_tokens: int, started_at: float
    ) -> None:
        self.request = request
        self.unread_tokens = unread_tokens
        self.started_at = started_at
        self.generated_tokens = 0
        self.last_event_at = 0.0


class StreamEvent(NamedTuple):
    """
    An event that an engine sends on the stream of a request.

    :ivar running_request: the request.
    :ivar pause: time since the previous event of the stream in seconds, 0 for
        the first event.
    :ivar is_first: whether it is the first event of the stream.
    :ivar is_last: whether it is the last event of the stream.
    """

    running_request: RunningRequest
    pause: float
    is_first: bool
    is_last: bool


class SimulatedEngine:
    """
    A simulated model engine.

    :param speed: speed relative to an engine of speed 1.
    :param cache_capacity_tokens: capacity of its prefix cache in tokens.
    """

    def __init__(self, speed: float, cache_capacity_tokens: int) -> None:
        self._speed = speed
        self._cache_capacity_tokens = cache_capacity_tokens
        self._cached_tokens: OrderedDict[int, int] = OrderedDict()
        self.running_requests: list[RunningRequest] = []
        self._total_cached_tokens = 0

    def has_cached(self, subject: int) -> bool:
        """Return whether the shared prefix of a subject is cached."""
        return subject in self._cached_tokens

    def start_request(
        self, request: ReplayedRequest, now: float, is_prefix_copied: bool
    ) -> None:
        """
        Start to run a request.

        :param request: the request.
        :param now: current time in seconds.
        :param is_prefix_copied: whether the shared prefix is copied from
            another engine, so that this engine need not read it.
        """
        unread_tokens = request.own_prompt_tokens
        if not is_prefix_copied and not self.has_cached(request.subject):
            unread_tokens += request.shared_prompt_tokens
        self._cache_prompt(request)
        self.running_requests.append(RunningRequest(request, unread_tokens, now))

    def run_step(self, now: float) -> tuple[float, list[StreamEvent]]:
        """
        Run one step.

        :param now: time at which the step starts, in seconds.
        :return: time at which the step ends, and the events that it sends.
        """
        chunk_tokens_left = CHUNK_TOKENS
        stream_count = 0
        for running_request in self.running_requests:
            read_tokens = min(running_request.unread_tokens, chunk_tokens_left)
            running_request.unread_tokens -= read_tokens
            chunk_tokens_left -= read_tokens
            stream_count += not running_request.unread_tokens
        duration = (
            STEP_SECONDS
            + STEP_SECONDS_PER_STREAM * stream_count
            + (CHUNK_TOKENS - chunk_tokens_left) / PREFILL_TOKENS_PER_SECOND
        )
        end = now + duration / self._speed
        events = [
            event
            for running_request in self.running_requests
            if not running_request.unread_tokens
            and (event := self._generate_token(running_request, end))
        ]
        self.running_requests = [
            running_request
            for running_request in self.running_requests
            if running_request.generated_tokens < running_request.request.output_tokens
        ]
        return end, events

    def _generate_token(
        self, running_request: RunningRequest, now: float
    ) -> StreamEvent | None:
        running_request.generated_tokens += 1
        is_last = (
            running_request.generated_tokens >= running_request.request.output_tokens
        )
        if not is_last and running_request.generated_tokens % TOKENS_PER_EVENT != 1:
            return None
        is_first = not running_request.last_event_at
        pause = 0.0 if is_first else now - running_request.last_event_at
        running_request.last_event_at = now
        return StreamEvent(running_request, pause, is_first, is_last)

    def _cache_prompt(self, request: ReplayedRequest) -> None:
        # The part of the prompt that no other request shares occupies the
        # cache too.
        for key, tokens in (
            (request.subject, request.shared_prompt_tokens),
            (-request.request_number - 1, request.own_prompt_tokens),
        ):
            self._total_cached_tokens += tokens - self._cached_tokens.pop(key, 0)
            self._cached_tokens[key] = tokens
        while self._total_cached_tokens > self._cache_capacity_tokens:
            self._total_cached_tokens -= self._cached_tokens.popitem(last=False)[1]
