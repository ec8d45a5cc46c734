"""Service that workspaces receive, as the engines themselves count it."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, NamedTuple

from tests.support.fleet import POLL_INTERVAL_SECONDS

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.support.fleet import Fleet
    from tests.support.recording_client import RecordingClient


class ServiceSample(NamedTuple):
    """
    Tokens given to two workspaces since the engines started.

    :ivar moment: monotonic seconds.
    :ivar tokens: by workspace.
    """

    sampled_at: float
    tokens_by_workspace: dict[str, int]


class ServiceSampler:
    """
    Keeps workspaces backlogged and samples what they receive.

    :param fleet: the fleet.
    :param client: sends the questions.
    """

    def __init__(self, fleet: Fleet, client: RecordingClient) -> None:
        self._fleet = fleet
        self._client = client
        self._tasks: list[asyncio.Task[None]] = []
        self._engines = [s.name for s in fleet.servers if s.service == "assistant"]
        self._ended: dict[str, int] = {}
        self.samples: list[ServiceSample] = []

    def start_callers(
        self,
        workspace: str,
        router: int,
        callers: int,
        choose_tokens: Callable[[], int],
    ) -> None:
        """Have so many callers ask one question after the other."""
        for _ in range(callers):
            asking = self._send_requests(workspace, router, choose_tokens)
            self._tasks.append(asyncio.create_task(asking))

    async def collect_samples(self, seconds: float) -> list[ServiceSample]:
        """Sample for a while; return the samples of it."""
        first = len(self.samples)
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            self.samples.append(await self._take_sample())
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return self.samples[first:]

    async def stop(self) -> None:
        """End the callers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send_requests(
        self, workspace: str, router: int, choose_tokens: Callable[[], int]
    ) -> None:
        while True:
            record = await self._client.request_completion(
                router, workspace, choose_tokens()
            )
            if record.outcome != "whole":
                await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _take_sample(self) -> ServiceSample:
        runs = await asyncio.gather(*map(self._fetch_tokens, self._engines))
        tokens: dict[str, int] = {}
        for counted in runs:
            for workspace, count in counted.items():
                tokens[workspace] = tokens.get(workspace, 0) + count
        return ServiceSample(time.monotonic(), tokens)

    async def _fetch_tokens(self, engine: str) -> dict[str, int]:
        counted: dict[str, int] = (await self._fleet.fetch_server_runs(engine))[
            "tokens_by_prefix"
        ]
        return counted


def measure_gap(
    samples: list[ServiceSample], one: str, other: str, weight: float = 1.0
) -> float:
    """
    Return the largest gap in service between two workspaces, tokens.

    It is the widest difference that any interval of the samples shows.

    :param weight: of ``other``, relative to ``one``.
    """
    leads = [
        sample.tokens_by_workspace.get(one, 0)
        - sample.tokens_by_workspace.get(other, 0) / weight
        for sample in samples
    ]
    return max(leads) - min(leads)


def count_received_tokens(samples: list[ServiceSample], workspace: str) -> int:
    """Return the tokens that a workspace received over the samples."""
    first, last = samples[0].tokens_by_workspace, samples[-1].tokens_by_workspace
    return last.get(workspace, 0) - first.get(workspace, 0)
