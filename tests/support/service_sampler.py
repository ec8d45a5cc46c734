"""Measure the service that workspaces receive, as counted by the engines."""

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
    The service that workspaces have received since the engines started.

    :ivar sampled_at: time of the sample in monotonic seconds.
    :ivar tokens_by_workspace: tokens generated for each workspace.
    """

    sampled_at: float
    tokens_by_workspace: dict[str, int]


class ServiceSampler:
    """
    Keeps workspaces backlogged and samples the service that they receive.

    :param fleet: the fleet whose engines are sampled.
    :param client: client that sends the requests.
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
        """
        Start callers that each send one request after the other.

        :param router: index of the router that receives the requests.
        :param callers: number of callers.
        :param choose_tokens: returns the length of the next completion.
        """
        for _ in range(callers):
            asking = self._send_requests(workspace, router, choose_tokens)
            self._tasks.append(asyncio.create_task(asking))

    async def collect_samples(self, seconds: float) -> list[ServiceSample]:
        """Take samples for a period; return those of this period."""
        first = len(self.samples)
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            self.samples.append(await self._take_sample())
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return self.samples[first:]

    async def stop(self) -> None:
        """Stop the callers."""
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
    Return the largest gap in service between two workspaces, in tokens.

    The gap is the largest difference in weighted service over any interval
    between two samples.

    :param weight: weight of ``other`` relative to ``one``.
    """
    leads = [
        sample.tokens_by_workspace.get(one, 0)
        - sample.tokens_by_workspace.get(other, 0) / weight
        for sample in samples
    ]
    return max(leads) - min(leads)


def count_received_tokens(samples: list[ServiceSample], workspace: str) -> int:
    """Return the tokens that a workspace received between the samples."""
    first, last = samples[0].tokens_by_workspace, samples[-1].tokens_by_workspace
    return last.get(workspace, 0) - first.get(workspace, 0)
