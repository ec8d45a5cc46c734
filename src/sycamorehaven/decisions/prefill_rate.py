"""The rate at which one engine reads prompts, learned from first tokens."""

from __future__ import annotations

INITIAL_TOKENS_PER_SECOND = 50_000.0
"""Prefill rate that is assumed until one has been measured."""
MIN_TOKENS_PER_SECOND = 2_000.0
"""Lower bound on a measured prefill rate."""
MAX_TOKENS_PER_SECOND = 200_000.0
"""Upper bound on a measured prefill rate."""
RATE_SMOOTHING_RATIO = 0.2
"""Weight of the newest measurement in the moving average of the rate."""
FIRST_TOKEN_OVERHEAD_SECONDS = 0.07
"""Time to the first token in addition to the prefill of the prompt."""
MIN_SAMPLE_TOKENS = 2_000
"""Prompt tokens below which the time to the first token says too little about
the prefill rate."""


class PrefillRate:
    """Moving average of the prompt tokens that an engine reads per second."""

    def __init__(self) -> None:
        self._rate = INITIAL_TOKENS_PER_SECOND

    @property
    def rate(self) -> float:
        """Prompt tokens per second."""
        return self._rate

    def observe(self, tokens: float, seconds: float) -> None:
        """
        Record the time to a first token.

        :param tokens: prompt tokens that were read until then, those of
            earlier requests included.
        :param seconds: time from the sending of the request.
        """
        if tokens < MIN_SAMPLE_TOKENS:
            return
        elapsed = max(seconds - FIRST_TOKEN_OVERHEAD_SECONDS, 0.01)
        measured = min(
            max(tokens / elapsed, MIN_TOKENS_PER_SECOND), MAX_TOKENS_PER_SECOND
        )
        self._rate += (measured - self._rate) * RATE_SMOOTHING_RATIO

    def replace(self, rate: float) -> None:
        """Replace the average by that of a router that saw more requests."""
        self._rate = min(max(rate, MIN_TOKENS_PER_SECOND), MAX_TOKENS_PER_SECOND)
