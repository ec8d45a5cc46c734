"""
Model engines on a given clock: batches, chunked prefill, prompt memory.

An engine makes steps. In a step every running stream gets a token, and a chunk
of the prompts that are not read yet is read in the order of their arrival, so
reading makes the pauses of all streams longer.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

CHUNK = 4_096
"""Prompt tokens that are read in one step, at most."""
READ_RATE = 54_600.0
"""Prompt tokens read in a second at speed 1."""
STEP = 0.0056
"""Seconds of a step without streams and prompts at speed 1."""
STEP_PER_STREAM = 0.00012
"""Further seconds of a step for each stream."""
STRIDE = 3
"""Tokens in one event."""


class Prompt(NamedTuple):
    """
    A prompt with its answer.

    :ivar number: names the request.
    :ivar subject: key of the part that other prompts share.
    :ivar shared: tokens of that part.
    :ivar own: further tokens.
    :ivar output: tokens of the answer.
    """

    number: int
    subject: int
    shared: int
    own: int
    output: int


class Progress:
    """
    A request at an engine.

    :param prompt: the request.
    :param unread: prompt tokens to read.
    :param sent: seconds at which it came.
    """

    def __init__(self, prompt: Prompt, unread: int, sent: float) -> None:
        self.prompt = prompt
        self.unread = unread
        self.sent = sent
        self.tokens = 0
        self.event_at = 0.0


class Event(NamedTuple):
    """
    An event of a stream.

    :ivar progress: the request.
    :ivar gap: seconds since the event before, 0 for the first.
    :ivar first: whether it is the first.
    :ivar last: whether it is the last.
    """

    progress: Progress
    gap: float
    first: bool
    last: bool


class ModelEngine:
    """
    One engine.

    :param speed: factor on all that it does.
    :param memory: prompt tokens that it keeps.
    """

    def __init__(self, speed: float, memory: int) -> None:
        self._speed = speed
        self._memory = memory
        self._kept: OrderedDict[int, int] = OrderedDict()
        self.running: list[Progress] = []
        self._total = 0

    def keeps(self, subject: int) -> bool:
        """Return whether it keeps the shared part of a subject."""
        return subject in self._kept

    def begin(self, prompt: Prompt, now: float, copied: bool) -> None:
        """Take a request; ``copied`` if its shared part need not be read."""
        unread = prompt.own
        if not copied and not self.keeps(prompt.subject):
            unread += prompt.shared
        self._keep(prompt)
        self.running.append(Progress(prompt, unread, now))

    def step(self, now: float) -> tuple[float, list[Event]]:
        """Make a step; return when it ends and the events that it makes."""
        left = CHUNK
        streams = 0
        for progress in self.running:
            read = min(progress.unread, left)
            progress.unread -= read
            left -= read
            streams += not progress.unread
        length = STEP + STEP_PER_STREAM * streams + (CHUNK - left) / READ_RATE
        ends = now + length / self._speed
        events = [
            event
            for progress in self.running
            if not progress.unread and (event := self._generate(progress, ends))
        ]
        self.running = [one for one in self.running if one.tokens < one.prompt.output]
        return ends, events

    def _generate(self, progress: Progress, now: float) -> Event | None:
        progress.tokens += 1
        last = progress.tokens >= progress.prompt.output
        if not last and progress.tokens % STRIDE != 1:
            return None
        first = not progress.event_at
        gap = 0.0 if first else now - progress.event_at
        progress.event_at = now
        return Event(progress, gap, first, last)

    def _keep(self, prompt: Prompt) -> None:
        # What only this request needs takes room like everything else.
        for key, tokens in (
            (prompt.subject, prompt.shared),
            (-prompt.number - 1, prompt.own),
        ):
            self._total += tokens - self._kept.pop(key, 0)
            self._kept[key] = tokens
        while self._total > self._memory:
            self._total -= self._kept.popitem(last=False)[1]
