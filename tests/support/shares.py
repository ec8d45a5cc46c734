"""Service that workspaces receive, as the engines themselves count it."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, NamedTuple

from tests.support.fleet import POLL

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.support.fleet import Fleet
    from tests.support.ledger import Ledger


class Sample(NamedTuple):
    """
    Tokens given to two workspaces since the engines started.

    :ivar moment: monotonic seconds.
    :ivar tokens: by workspace.
    """

    moment: float
    tokens: dict[str, int]


class Shares:
    """
    Keeps workspaces backlogged and samples what they receive.

    :param fleet: the fleet.
    :param ledger: sends the questions.
    """

    def __init__(self, fleet: Fleet, ledger: Ledger) -> None:
        self._fleet = fleet
        self._ledger = ledger
        self._tasks: list[asyncio.Task[None]] = []
        self._engines = [s.name for s in fleet.servers if s.service == "assistant"]
        self._ended: dict[str, int] = {}
        self.samples: list[Sample] = []

    def flood(
        self, workspace: str, router: int, callers: int, size: Callable[[], int]
    ) -> None:
        """Have so many callers ask one question after the other."""
        for _ in range(callers):
            asking = self._ask_on(workspace, router, size)
            self._tasks.append(asyncio.create_task(asking))

    async def watch(self, seconds: float) -> list[Sample]:
        """Sample for a while; return the samples of it."""
        first = len(self.samples)
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            self.samples.append(await self._sample())
            await asyncio.sleep(POLL)
        return self.samples[first:]

    async def stop(self) -> None:
        """End the callers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _ask_on(
        self, workspace: str, router: int, size: Callable[[], int]
    ) -> None:
        while True:
            entry = await self._ledger.ask(router, workspace, size())
            if entry.outcome != "whole":
                await asyncio.sleep(POLL)

    async def _sample(self) -> Sample:
        runs = await asyncio.gather(*map(self._read, self._engines))
        tokens: dict[str, int] = {}
        for counted in runs:
            for workspace, count in counted.items():
                tokens[workspace] = tokens.get(workspace, 0) + count
        return Sample(time.monotonic(), tokens)

    async def _read(self, engine: str) -> dict[str, int]:
        counted: dict[str, int] = (await self._fleet.list_runs(engine))[
            "tokens_by_prefix"
        ]
        return counted


def measure_gap(
    samples: list[Sample], one: str, other: str, weight: float = 1.0
) -> float:
    """
    Return the largest gap in service between two workspaces, tokens.

    It is the widest difference that any interval of the samples shows.

    :param weight: of ``other``, relative to ``one``.
    """
    leads = [
        sample.tokens.get(one, 0) - sample.tokens.get(other, 0) / weight
        for sample in samples
    ]
    return max(leads) - min(leads)


def count_service(samples: list[Sample], workspace: str) -> int:
    """Return the tokens that a workspace received over the samples."""
    first, last = samples[0].tokens, samples[-1].tokens
    return last.get(workspace, 0) - first.get(workspace, 0)
