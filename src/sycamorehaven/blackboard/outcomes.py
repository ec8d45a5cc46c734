"""
Counters of the outcomes of calls.

Written by the listener for callers and the controllers that execute, relay or
replay calls.
"""

from __future__ import annotations

from collections import Counter


class OutcomesSection:
    """Grow-only counters since the start of the process."""

    def __init__(self) -> None:
        self._answers: Counter[tuple[str, str, int]] = Counter()
        self._refusals: Counter[tuple[str, str]] = Counter()
        self._events: Counter[str] = Counter()

    @property
    def answers(self) -> Counter[tuple[str, str, int]]:
        """Number of answers by service, workspace and HTTP status."""
        return self._answers

    @property
    def refusals(self) -> Counter[tuple[str, str]]:
        """Number of refusals by workspace and code."""
        return self._refusals

    @property
    def events(self) -> Counter[str]:
        """Number of events such as retries and preemptions, by name."""
        return self._events

    def count_answer(self, service: str, workspace: str, status: int) -> None:
        """Count an answer that was completely relayed to the caller."""
        self._answers[service, workspace, status] += 1

    def count_refusal(self, workspace: str, code: str) -> None:
        """Count a refusal; ``workspace`` is "" before authentication."""
        self._refusals[workspace, code] += 1

    def count_event(self, name: str) -> None:
        """Count an event of the given name."""
        self._events[name] += 1
